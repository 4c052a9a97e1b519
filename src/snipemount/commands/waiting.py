"""Waiting, with progress, until an accepted change is in force."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from ..errors import RemoteError, ResultCode

if TYPE_CHECKING:
    from ..client import AdminArguments

POLL_S = 0.2
LONGEST_WAIT_S = 30.0


async def wait_in_force(arguments: AdminArguments, change: dict[str, Any]) -> None:
    """Poll until every daemon follows the change; name the missing ones.

    Raises
    ------
    RemoteError
        When some daemons still miss it after the longest wait.
    """
    path = f"/in-force/{change['kind']}/{change['revision']}"
    shown = ""
    end_s = time.monotonic() + LONGEST_WAIT_S
    while True:
        found = await arguments.ask("GET", path)
        line = f"in force on {found['in_force']} of {found['daemons']}"
        if found["missing"]:
            line += f", missing: {', '.join(found['missing'])}"
        if line != shown and not arguments.json:
            print(line)
        shown = line
        if not found["missing"]:
            return
        if time.monotonic() > end_s:
            raise RemoteError(ResultCode.NOT_IN_FORCE, line)
        await asyncio.sleep(POLL_S)


__all__ = ["wait_in_force"]
