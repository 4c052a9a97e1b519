"""`snipemount zone out|back`: take an availability zone out or bring it back."""

from __future__ import annotations

import asyncio
import uuid
from typing import Annotated

import attrs
import cappa

from ..client import AdminArguments
from .in_force import wait_in_force


@attrs.define(kw_only=True)
class ZoneArguments(AdminArguments):
    """Arguments shared by `zone out` and `zone back`.

    Parameters
    ----------
    zone : str
        Availability zone.
    wait : bool
        Wait until the change is in force on every daemon.
    """

    zone: Annotated[str, cappa.Arg(help="Availability zone.")]
    wait: Annotated[bool, cappa.Arg(long=True, help="Wait until in force.")] = False

    async def set_zone(self, out: bool, force: bool) -> None:
        """Take the zone out or bring it back.

        Parameters
        ----------
        out : bool
            Whether the zone is taken out.
        force : bool
            Take it out even when it is the last zone of a service.

        Raises
        ------
        RemoteError
            When the daemon refuses the change or cannot be reached, or when `wait` is
            set and the change is not in force on every daemon in time.
        """
        body = {"out": out, "force": force, "operation": uuid.uuid4().hex}
        change = await self.call_daemon("PUT", f"/zones/{self.zone}", body)
        state = "out" if out else "back"
        line = f"accepted: {self.zone} {state}, revision {change['revision']}"
        self.print_result(change, [line])
        if self.wait:
            await wait_in_force(self, change)


@cappa.command(name="out", help="Take a zone out: no new work within 3 s.")
@attrs.define(kw_only=True)
class ZoneOut(ZoneArguments):
    """Arguments of `zone out`.

    Parameters
    ----------
    force : bool
        Take the zone out even when it is the last zone of a service.
    """

    force: Annotated[bool, cappa.Arg(long=True, help="Even the last zone.")] = False

    def __call__(self) -> None:
        """Take the zone out."""
        asyncio.run(self.set_zone(True, self.force))


@cappa.command(name="back", help="Bring a zone back; its servers warm up.")
@attrs.define(kw_only=True)
class ZoneBack(ZoneArguments):
    """Arguments of `zone back`."""

    def __call__(self) -> None:
        """Bring the zone back."""
        asyncio.run(self.set_zone(False, False))


__all__ = ["ZoneBack", "ZoneOut"]
