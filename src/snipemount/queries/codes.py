"""`snipemount codes`: show the result codes."""

from __future__ import annotations

import attrs
import cappa

from ..errors import ResultCode


@cappa.command(name="codes", help="Show every result code as a table.")
@attrs.define
class Codes:
    """The subcommand has no arguments."""

    def __call__(self) -> None:
        """Print the table."""
        print("\n".join(code_table()))


def code_table() -> list[str]:
    """Return the lines of the table of result codes, in Markdown."""
    lines = ["| code | name | HTTP | cause |", "| --- | --- | --- | --- |"]
    for code in sorted(ResultCode):
        row = f"| {code.value} | {code.name} | {code.http_status} "
        lines.append(f"{row}| {code.description} |")
    return lines


__all__ = ["Codes", "code_table"]
