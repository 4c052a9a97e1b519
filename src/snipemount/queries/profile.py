"""`snipemount profile list|show|check|diff`: inspect and validate profiles."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from ..client import AdminArguments, format_table
from ..commands.profile import read_profile


@cappa.command(name="list", help="List the profiles.")
@attrs.define(kw_only=True)
class ProfileList(AdminArguments):
    """Arguments of `profile list`."""

    def __call__(self) -> None:
        """Print name, revision and routes of each profile."""
        profiles = asyncio.run(self.call_daemon("GET", "/profiles"))
        rows = [
            (p["name"], p["revision"], " ".join(r["name"] for r in p["routes"]))
            for p in profiles
        ]
        self.print_result(
            profiles, format_table(rows, ("profile", "revision", "routes"))
        )


@cappa.command(name="show", help="Show a profile.")
@attrs.define(kw_only=True)
class ProfileShow(AdminArguments):
    """Arguments of `profile show`.

    Parameters
    ----------
    name : str
        Profile name.
    """

    name: Annotated[str, cappa.Arg(help="Profile name.")]

    def __call__(self) -> None:
        """Print the fields of the profile."""
        profile = asyncio.run(self.call_daemon("GET", f"/profiles/{self.name}"))
        rows = [(key, json.dumps(value)) for key, value in profile.items()]
        self.print_result(profile, format_table(rows, ("field", "value")))


@attrs.define(kw_only=True)
class ProfileFileArguments(AdminArguments):
    """Arguments shared by `profile check` and `profile diff`.

    Parameters
    ----------
    name : str
        Name of the stored profile to compare with.
    file : Path
        TOML file with the profile.
    """

    name: Annotated[str, cappa.Arg(help="Profile name.")]
    file: Annotated[Path, cappa.Arg(help="TOML file.")]

    def print_changes(self) -> None:
        """Let a daemon validate the file; print the fields that differ.

        Raises
        ------
        RequestError
            When the file cannot be read or is not TOML.
        RemoteError
            When the daemon rejects the profile or cannot be reached.
        """
        body = {"profile": read_profile(self.file)}
        result = asyncio.run(
            self.call_daemon("POST", f"/profiles/{self.name}/check", body)
        )
        self.print_result(result, result["changes"] or ["no change"])


@cappa.command(name="check", help="Validate a profile without storing it.")
@attrs.define(kw_only=True)
class ProfileCheck(ProfileFileArguments):
    """Arguments of `profile check`."""

    def __call__(self) -> None:
        """Validate the profile; print the fields that it would change."""
        self.print_changes()


@cappa.command(name="diff", help="Show what a profile would change.")
@attrs.define(kw_only=True)
class ProfileDiff(ProfileFileArguments):
    """Arguments of `profile diff`."""

    def __call__(self) -> None:
        """Print the fields that the profile would change."""
        self.print_changes()


__all__ = ["ProfileCheck", "ProfileDiff", "ProfileList", "ProfileShow"]
