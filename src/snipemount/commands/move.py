"""`snipemount move start|hold|resume|take-back`: move traffic between versions."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Annotated, Any

import attrs
import cappa

from ..client import AdminArguments
from ..errors import RemoteError, ResultCode

POLL_INTERVAL_S = 0.5
MS_PER_S = 1000.0
FINAL_STATES = ("done", "taken_back")


@attrs.define(kw_only=True)
class MoveArguments(AdminArguments):
    """Arguments shared by the subcommands of `move`.

    Parameters
    ----------
    service : str
        Service whose traffic moves.
    """

    service: Annotated[str, cappa.Arg(help="Service name.")]

    async def change_move(self, action: str) -> None:
        """Apply `hold`, `resume` or `take-back` to the running move.

        Raises
        ------
        RemoteError
            When the daemon refuses the action or cannot be reached.
        """
        body = {"operation": uuid.uuid4().hex}
        change = await self.call_daemon("POST", f"/moves/{self.service}/{action}", body)
        self.print_result(change, [f"accepted: {self.service} {action}"])


@cappa.command(name="start", help="Move all traffic to a version within a time.")
@attrs.define(kw_only=True)
class MoveStart(MoveArguments):
    """Arguments of `move start`.

    Parameters
    ----------
    version : str
        Version that gets all traffic when the move is done.
    within_s : float
        Time from now by which the move has to be done, in seconds.
    wait : bool
        Print the progress until the move is done or taken back.
    """

    version: Annotated[str, cappa.Arg(help="New version.")]
    within_s: Annotated[
        float, cappa.Arg(long="--within-s", help="Time limit, seconds.")
    ]
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait until it ends.")] = False

    def __call__(self) -> None:
        """Start the move.

        Raises
        ------
        RemoteError
            When the daemon refuses the move or cannot be reached, or when `wait` is
            set and the move is taken back or not done 60 s after its time limit.
        """
        asyncio.run(self._run())

    async def _run(self) -> None:
        body = {
            "to_version": self.version,
            "finish_in_ms": self.within_s * MS_PER_S,
            "operation": uuid.uuid4().hex,
        }
        change = await self.call_daemon("POST", f"/moves/{self.service}", body)
        self.print_result(change, [f"accepted: {self.service} to {self.version}"])
        if self.wait:
            await self._wait(body["operation"])

    async def _wait(self, move_id: Any) -> None:
        end_s = time.monotonic() + self.within_s + 60.0
        last_line = ""
        while time.monotonic() < end_s:
            moves = await self.call_daemon("GET", "/moves")
            move = next((m for m in moves if m["move_id"] == move_id), None)
            if move is not None:
                line = f"{move['state']}, share {move['share']:.2f}"
                if line != last_line and not self.json:
                    print(line)
                last_line = line
                if move["state"] in FINAL_STATES:
                    break
            await asyncio.sleep(POLL_INTERVAL_S)
        if not last_line.startswith("done"):
            raise RemoteError(
                ResultCode.MOVE_TAKEN_BACK,
                last_line or "the daemon does not list the move",
            )


@cappa.command(name="hold", help="Hold the traffic share of a running move.")
@attrs.define(kw_only=True)
class MoveHold(MoveArguments):
    """Arguments of `move hold`."""

    def __call__(self) -> None:
        """Hold the move."""
        asyncio.run(self.change_move("hold"))


@cappa.command(name="resume", help="Continue a held move.")
@attrs.define(kw_only=True)
class MoveResume(MoveArguments):
    """Arguments of `move resume`."""

    def __call__(self) -> None:
        """Resume the move."""
        asyncio.run(self.change_move("resume"))


@cappa.command(name="take-back", help="Return all traffic to the old version.")
@attrs.define(kw_only=True)
class MoveTakeBack(MoveArguments):
    """Arguments of `move take-back`."""

    def __call__(self) -> None:
        """Return all traffic to the old version."""
        asyncio.run(self.change_move("take-back"))


__all__ = ["MoveHold", "MoveResume", "MoveStart", "MoveTakeBack"]
