"""`snipemount move start|hold|resume|take-back`: move traffic to a version."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Annotated, Any

import attrs
import cappa

from ..client import AdminArguments
from ..errors import RemoteError, ResultCode

POLL_S = 0.5
MS_PER_S = 1000.0
FINAL = ("done", "taken_back")


@attrs.define(kw_only=True)
class MoveArguments(AdminArguments):
    """Arguments of every subcommand.

    Parameters
    ----------
    service : str
        Service name.
    """

    service: Annotated[str, cappa.Arg(help="Service.")]

    async def change(self, action: str) -> None:
        """Ask a daemon to change the running move."""
        body = {"operation": uuid.uuid4().hex}
        change = await self.ask("POST", f"/moves/{self.service}/{action}", body)
        self.show(change, [f"accepted: {self.service} {action}"])


@cappa.command(name="start", help="Move traffic to a version by a stated time.")
@attrs.define(kw_only=True)
class MoveStart(MoveArguments):
    """Arguments of the subcommand.

    Parameters
    ----------
    version : str
        Version that is to carry the traffic.
    within_s : float
        Time from now until the move is to be done, in seconds.
    wait : bool
        Wait until the move is done or taken back.
    """

    version: Annotated[str, cappa.Arg(help="New version.")]
    within_s: Annotated[float, cappa.Arg(long="--within-s", help="Seconds.")]
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait for the end.")] = False

    def __call__(self) -> None:
        """Start the move."""
        asyncio.run(self._run())

    async def _run(self) -> None:
        body = {
            "to_version": self.version,
            "finish_in_ms": self.within_s * MS_PER_S,
            "operation": uuid.uuid4().hex,
        }
        change = await self.ask("POST", f"/moves/{self.service}", body)
        self.show(change, [f"accepted: {self.service} to {self.version}"])
        if self.wait:
            await self._wait(body["operation"])

    async def _wait(self, move_id: Any) -> None:
        end_s = time.monotonic() + self.within_s + 60.0
        shown = ""
        while time.monotonic() < end_s:
            moves = await self.ask("GET", "/moves")
            move = next((m for m in moves if m["move_id"] == move_id), None)
            if move is not None:
                line = f"{move['state']}, share {move['share']:.2f}"
                if line != shown and not self.json:
                    print(line)
                shown = line
                if move["state"] in FINAL:
                    break
            await asyncio.sleep(POLL_S)
        if not shown.startswith("done"):
            raise RemoteError(
                ResultCode.MOVE_TAKEN_BACK, shown or "the move is unknown"
            )


@cappa.command(name="hold", help="Keep the share where it is.")
@attrs.define(kw_only=True)
class MoveHold(MoveArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Hold the move."""
        asyncio.run(self.change("hold"))


@cappa.command(name="resume", help="Let a held move go on.")
@attrs.define(kw_only=True)
class MoveResume(MoveArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Resume the move."""
        asyncio.run(self.change("resume"))


@cappa.command(name="take-back", help="Give all traffic back to the old version.")
@attrs.define(kw_only=True)
class MoveTakeBack(MoveArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Take the move back."""
        asyncio.run(self.change("take-back"))


__all__ = ["MoveHold", "MoveResume", "MoveStart", "MoveTakeBack"]
