"""`snipemount story`: collect the log lines of all daemons on one request."""

from __future__ import annotations

import sys
from collections import deque
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from ..errors import NotFoundError
from ..logfmt import parse_line

# State changes of a daemon that can explain the result of a later request.
CONTEXT_EVENTS = frozenset(
    {
        "started",
        "stopping",
        "stopped",
        "store_lost",
        "store_reached",
        "zone_cut_off",
        "zone_reached",
        "zones_closed",
        "configuration_in_force",
        "version_ordered",
        "leaf_draining",
        "leaf_gone",
        "leaf_leaving",
        "leaf_limit",
        "leaf_rests",
        "relay_lost",
        "relay_followed",
    }
)
MAX_KEPT_CONTEXT_LINES = 200
MAX_SHOWN_CONTEXT_LINES = 12


@attrs.define
class RequestTimeline:
    """Log lines on one request, each after the state changes that its daemon logged.

    Parameters
    ----------
    request : str
        The request's id, or a prefix of it.
    lines : list of str
        Lines collected so far: those on the request start with `> `, those on state
        changes (`CONTEXT_EVENTS`) are indented.
    """

    request: str
    lines: list[str] = attrs.field(factory=list)
    _context: dict[str, deque[str]] = attrs.field(factory=dict)

    def add_line(self, line: str) -> None:
        """Process one log line.

        A line on the request is collected after the state changes that the same
        daemon logged since its last collected line, at most
        `MAX_SHOWN_CONTEXT_LINES` of them.
        """
        fields = parse_line(line)
        event = fields.get("event", "")
        daemon = fields.get("daemon", "")
        if fields.get("request", "").startswith(self.request):
            self.lines += list(self._context.get(daemon, ()))[-MAX_SHOWN_CONTEXT_LINES:]
            self.lines.append(f"> {line.rstrip()}")
            self._context.pop(daemon, None)
        elif event in CONTEXT_EVENTS:
            context_lines = self._context.setdefault(
                daemon, deque(maxlen=MAX_KEPT_CONTEXT_LINES)
            )
            context_lines.append(f"  {line.rstrip()}")


@cappa.command(name="story", help="Show the log lines of all daemons on one request.")
@attrs.define
class StoryCommand:
    """Arguments of `story`.

    Parameters
    ----------
    request : str
        The request's id, or a prefix of it.
    logs : list of Path
        Log files of any daemons; standard input when none is given.
    """

    request: Annotated[str, cappa.Arg(help="The request's id, or a prefix of it.")]
    logs: Annotated[list[Path], cappa.Arg(help="Log files.")] = attrs.field(
        factory=list
    )

    def __call__(self) -> None:
        """Print the lines on the request and the state changes before them.

        Raises
        ------
        NotFoundError
            When a file cannot be read or no line is on the request.
        """
        timeline = RequestTimeline(self.request)
        for log in self.logs:
            try:
                text = log.read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                raise NotFoundError(f"{log}: {error}") from error
            for line in text.splitlines():
                timeline.add_line(line)
        if not self.logs:
            for line in sys.stdin:
                timeline.add_line(line)
        if not timeline.lines:
            raise NotFoundError(f"no log line on request {self.request}")
        print("\n".join(timeline.lines))


__all__ = ["RequestTimeline", "StoryCommand"]
