"""Wait, with progress output, until an accepted change is in force."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any

from ..errors import RemoteError, ResultCode

if TYPE_CHECKING:
    from ..client import AdminArguments

POLL_INTERVAL_S = 0.2
MAX_WAIT_S = 30.0


async def wait_in_force(arguments: AdminArguments, change: dict[str, Any]) -> None:
    """Poll until every daemon applies a change; print which ones do not yet.

    Parameters
    ----------
    arguments : AdminArguments
        Daemon to call, and whether progress is left out for JSON output.
    change : dict
        Accepted change, with its `kind` and `revision`.

    Raises
    ------
    RemoteError
        When some daemons do not apply it within `MAX_WAIT_S`, or when the called
        daemon refuses or cannot be reached.
    """
    path = f"/in-force/{change['kind']}/{change['revision']}"
    last_line = ""
    end_s = time.monotonic() + MAX_WAIT_S
    while True:
        status = await arguments.call_daemon("GET", path)
        line = f"in force on {status['in_force']} of {status['daemons']}"
        if status["missing"]:
            line += f", missing: {', '.join(status['missing'])}"
        if line != last_line and not arguments.json:
            print(line)
        last_line = line
        if not status["missing"]:
            return
        if time.monotonic() > end_s:
            raise RemoteError(ResultCode.NOT_IN_FORCE, line)
        await asyncio.sleep(POLL_INTERVAL_S)


__all__ = ["wait_in_force"]
