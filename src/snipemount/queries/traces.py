"""`snipemount record` and `snipemount replay`: traces of decisions."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from ..client import AdminArguments
from ..errors import DecodeError
from ..node.recorder import replay

EXIT_DIFFERENT = 1
EXIT_INCOMPLETE = 5


@cappa.command(name="record", help="Fetch a daemon's decision events.")
@attrs.define(kw_only=True)
class Record(AdminArguments):
    """Arguments of the subcommand."""

    def __call__(self) -> None:
        """Print the trace as JSON lines."""
        print(asyncio.run(self.ask("GET", "/record")), end="")


@cappa.command(name="replay", help="Run the decisions in a trace again.")
@attrs.define
class Replay:
    """Arguments of the subcommand.

    Parameters
    ----------
    trace : Path
        File with a trace.
    """

    trace: Annotated[Path, cappa.Arg(help="File with a trace.")]

    def __call__(self) -> None:
        """Compare; the exit status tells differences and a missing beginning."""
        try:
            result = replay(self.trace.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise DecodeError(f"{self.trace}: {error}") from error
        print(f"{result.events} events, {len(result.differences)} differences")
        for line in result.differences:
            print(line)
        if result.skipped:
            print(f"{result.skipped} events skipped: their beginning is missing")
            sys.exit(EXIT_INCOMPLETE)
        if result.differences:
            sys.exit(EXIT_DIFFERENT)


__all__ = ["Record", "Replay"]
