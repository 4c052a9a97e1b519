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


@cappa.command(name="serve", help="Run one daemon until it is told to stop.")
@attrs.define
class Serve:
    """Arguments of the subcommand.

    Parameters
    ----------
    settings : Path
        Settings file.
    """

    settings: Annotated[Path, cappa.Arg(long=True, help="Settings file (TOML).")]

    def __call__(self) -> None:
        """Run the daemon; ends after SIGTERM or SIGINT."""
        settings = load_settings(self.settings)
        uvloop.run(serve(settings))


async def serve(settings: Settings) -> None:
    """Run a daemon until a signal asks it to stop."""
    daemon = Daemon(settings)
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload_keys)
    await daemon.start()
    await asked.wait()
    await daemon.stop()


__all__ = ["Serve", "serve"]
