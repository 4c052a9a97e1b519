"""`snipemount record` and `snipemount replay`: fetch and replay decision traces."""

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

EXIT_DIFFERENCES = 1
EXIT_EVENTS_SKIPPED = 5


@cappa.command(name="record", help="Print a daemon's decision events as a trace.")
@attrs.define(kw_only=True)
class Record(AdminArguments):
    """Arguments of `record`."""

    def __call__(self) -> None:
        """Print the trace of the daemon's recent decision events as JSON lines."""
        print(asyncio.run(self.call_daemon("GET", "/record")), end="")


@cappa.command(name="replay", help="Replay the decisions in a trace.")
@attrs.define
class Replay:
    """Arguments of `replay`.

    Parameters
    ----------
    trace : Path
        File with a trace that `record` printed.
    """

    trace: Annotated[Path, cappa.Arg(help="File with a trace.")]

    def __call__(self) -> None:
        """Replay the trace and print the events with other actions than recorded.

        Exits with `EXIT_EVENTS_SKIPPED` when events were skipped because the trace
        lacks the first event of their server, else with `EXIT_DIFFERENCES` when
        actions differ.

        Raises
        ------
        DecodeError
            When the file cannot be read or is not a trace.
        """
        try:
            result = replay(self.trace.read_text(encoding="utf-8"))
        except (OSError, UnicodeDecodeError) as error:
            raise DecodeError(f"{self.trace}: {error}") from error
        print(f"{result.events} events, {len(result.differences)} differences")
        for line in result.differences:
            print(line)
        if result.skipped:
            print(
                f"{result.skipped} events skipped: the first event of their server "
                "is missing"
            )
            sys.exit(EXIT_EVENTS_SKIPPED)
        if result.differences:
            sys.exit(EXIT_DIFFERENCES)


__all__ = ["Record", "Replay"]
