"""`snipemount serve`: run one daemon."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path
from typing import Annotated

import attrs
import cappa
import uvloop

from ..daemon import Daemon
from ..settings import Settings, load_settings


@cappa.command(name="serve", help="Run one daemon until SIGTERM or SIGINT.")
@attrs.define
class Serve:
    """Arguments of `serve`.

    Parameters
    ----------
    settings : Path
        Settings file in TOML.
    """

    settings: Annotated[Path, cappa.Arg(long=True, help="Settings file (TOML).")]

    def __call__(self) -> None:
        """Run the daemon until SIGTERM or SIGINT."""
        settings = load_settings(self.settings)
        uvloop.run(serve(settings))


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it.

    SIGHUP makes it read its TLS keys again.
    """
    daemon = Daemon(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload_keys)
    await daemon.start()
    await stop_requested.wait()
    await daemon.stop()


__all__ = ["Serve", "serve"]
