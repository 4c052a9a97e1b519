"""`snipemount profile apply`: validate a profile and store it."""

from __future__ import annotations

import asyncio
import tomllib
import uuid
from pathlib import Path
from typing import Annotated, Any

import attrs
import cappa

from ..client import AdminArguments
from ..errors import RequestError, ResultCode
from .in_force import wait_in_force


def read_profile(path: Path) -> dict[str, Any]:
    """Return the content of a TOML file with a profile, not validated.

    Raises
    ------
    RequestError
        When the file cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise RequestError(ResultCode.MALFORMED_BODY, f"{path}: {error}") from error


@cappa.command(name="apply", help="Validate a profile and store it.")
@attrs.define(kw_only=True)
class ProfileApply(AdminArguments):
    """Arguments of `profile apply`.

    Parameters
    ----------
    name : str
        Profile name.
    file : Path
        TOML file with the profile.
    revision : int or None
        Revision that the stored profile must have, else the daemon refuses; None
        for any.
    wait : bool
        Wait until the profile is in force on every daemon.
    """

    name: Annotated[str, cappa.Arg(help="Profile name.")]
    file: Annotated[Path, cappa.Arg(help="TOML file.")]
    revision: Annotated[int | None, cappa.Arg(long=True, help="Expected revision.")] = (
        None
    )
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait until in force.")] = False

    def __call__(self) -> None:
        """Store the profile.

        Raises
        ------
        RequestError
            When the file cannot be read or is not TOML.
        RemoteError
            When the daemon refuses the profile or cannot be reached, or when `wait` is
            set and the profile is not in force on every daemon in time.
        """
        asyncio.run(self._run())

    async def _run(self) -> None:
        body = {
            "profile": read_profile(self.file),
            "operation": uuid.uuid4().hex,
            "expected_revision": self.revision,
        }
        change = await self.call_daemon("PUT", f"/profiles/{self.name}", body)
        self.print_result(
            change, [f"accepted: {self.name} revision {change['revision']}"]
        )
        if self.wait:
            await wait_in_force(self, change)


__all__ = ["ProfileApply", "read_profile"]
