"""`snipemount profile list|show|check|diff`: look at profiles."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from ..client import AdminArguments, table
from ..commands.profile import read_profile


@cappa.command(name="list", help="List the profiles.")
@attrs.define(kw_only=True)
class ProfileList(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the profiles."""
        profiles = asyncio.run(self.ask("GET", "/profiles"))
        rows = [
            (p["name"], p["revision"], " ".join(r["name"] for r in p["routes"]))
            for p in profiles
        ]
        self.show(profiles, table(rows, ("profile", "revision", "routes")))


@cappa.command(name="show", help="Show a profile.")
@attrs.define(kw_only=True)
class ProfileShow(AdminArguments):
    """Arguments of the subcommand.

    Parameters
    ----------
    name : str
        Profile name.
    """

    name: Annotated[str, cappa.Arg(help="Profile name.")]

    def __call__(self) -> None:
        """Print the profile."""
        profile = asyncio.run(self.ask("GET", f"/profiles/{self.name}"))
        rows = [(key, json.dumps(value)) for key, value in profile.items()]
        self.show(profile, table(rows, ("field", "value")))


@attrs.define(kw_only=True)
class ProfileFileArguments(AdminArguments):
    """Arguments of the subcommands that take a file.

    Parameters
    ----------
    name : str
        Profile name.
    file : Path
        TOML file with the profile.
    """

    name: Annotated[str, cappa.Arg(help="Profile name.")]
    file: Annotated[Path, cappa.Arg(help="TOML file.")]

    def check(self) -> None:
        """Have a daemon check the file and print what it would change."""
        body = {"profile": read_profile(self.file)}
        checked = asyncio.run(self.ask("POST", f"/profiles/{self.name}/check", body))
        self.show(checked, checked["changes"] or ["no change"])


@cappa.command(name="check", help="Check a profile without setting it.")
@attrs.define(kw_only=True)
class ProfileCheck(ProfileFileArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Check the profile."""
        self.check()


@cappa.command(name="diff", help="Show what a profile would change.")
@attrs.define(kw_only=True)
class ProfileDiff(ProfileFileArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Show the differences."""
        self.check()


__all__ = ["ProfileCheck", "ProfileDiff", "ProfileList", "ProfileShow"]
