"""`snipemount config check`: check a configuration before it is put in force."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from ..decisions.requests.configuration_check import check_configuration
from ..decisions.requests.configuration_differences import configuration_differences
from ..decisions.requests.configuration_findings import (
    Added,
    Changed,
    Contradiction,
    Invalid,
    MembersChanged,
    NeverMatches,
    Removed,
    Unreadable,
)
from ..errors import DecodeError
from ..platform.configuration_file import field_value, place_name, read_configuration

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.requests.configuration_findings import Difference, Finding
    from ..model.configuration import Configuration

EXIT_ERRORS = 1
EXIT_WARNINGS = 2


@cappa.command(name="check", help="Check a configuration before it is sent.")
@attrs.define
class ConfigCheck:
    """Arguments of `config check`.

    Parameters
    ----------
    new : Path
        File with the configuration to check.
    in_force : Path or None
        File with the configuration that it is to replace.
    """

    new: Annotated[Path, cappa.Arg(help="JSON file in the platform's format.")]
    in_force: Annotated[
        Path | None, cappa.Arg(long="--in-force", help="Configuration to replace.")
    ] = None

    def __call__(self) -> None:
        """Print one line for each finding and for each difference.

        Exits with `EXIT_ERRORS` when there is an error, else with `EXIT_WARNINGS`
        when there is a warning.
        """
        findings: list[Finding] = []
        new = _read(self.new, findings)
        old = _read(self.in_force, findings) if self.in_force else None
        if new is not None:
            findings += check_configuration(new, old)
        for finding in findings:
            print(finding_line(finding))
        if new is not None and old is not None:
            for difference in configuration_differences(old, new):
                print(difference_line(difference))
        status = exit_status(findings)
        if status:
            sys.exit(status)


def _read(path: Path, findings: list[Finding]) -> Configuration | None:
    """Return the configuration in a file, or None and add a finding."""
    try:
        return read_configuration(path)
    except DecodeError as error:
        findings.append(Unreadable(str(path), error.detail))
        return None


def exit_status(findings: Iterable[Finding]) -> int:
    """Return the exit status: 0 without findings, `EXIT_ERRORS` or `EXIT_WARNINGS`."""
    status = 0
    for finding in findings:
        match finding:
            case Unreadable() | Invalid():
                return EXIT_ERRORS
            case NeverMatches() | Contradiction():
                status = EXIT_WARNINGS
    return status


def finding_line(finding: Finding) -> str:
    """Return a finding as a line: severity, place, value and reason."""
    match finding:
        case Unreadable(file, reason):
            return f"error: {file}: {reason}"
        case Invalid(place, value, reason):
            severity = "error"
        case NeverMatches(place, value, reason) | Contradiction(place, value, reason):
            severity = "warning"
    return f"{severity}: {place_name(place)}: {field_value(place, value)}: {reason}"


def difference_line(difference: Difference) -> str:
    """Return a difference as a line: kind, place and, if changed, both values."""
    match difference:
        case Added(place):
            return f"added: {place_name(place)}"
        case Removed(place):
            return f"removed: {place_name(place)}"
        case Changed(place, before, after):
            values = f"{field_value(place, before)} -> {field_value(place, after)}"
            return f"changed: {place_name(place)}: {values}"
        case MembersChanged(place, before, after, added, removed):
            numbers = f"{before} -> {after} ({added} added, {removed} removed)"
            return f"changed: {place_name(place)}: {numbers}"


__all__ = ["ConfigCheck", "difference_line", "exit_status", "finding_line"]
