"""`snipemount story`: what the logs of all daemons tell of one request."""

from __future__ import annotations

import sys
from collections import deque
from pathlib import Path
from typing import Annotated

import attrs
import cappa

from ..errors import NotFoundError
from ..logfmt import parse_line

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
        "relay_lost",
        "relay_followed",
    }
)
MOST_CONTEXT = 200
SHOWN_CONTEXT = 12


@attrs.define
class Story:
    """Lines on one request, each with what its daemon believed before.

    Parameters
    ----------
    request : str
        The request's id, or the beginning of it.
    """

    request: str
    found: list[str] = attrs.field(factory=list)
    _context: dict[str, deque[str]] = attrs.field(factory=dict)

    def read(self, line: str) -> None:
        """Take one line of a log."""
        fields = parse_line(line)
        event = fields.get("event", "")
        daemon = fields.get("daemon", "")
        if fields.get("request", "").startswith(self.request):
            self.found += list(self._context.get(daemon, ()))[-SHOWN_CONTEXT:]
            self.found.append(f"> {line.rstrip()}")
            self._context.pop(daemon, None)
        elif event in CONTEXT_EVENTS:
            kept = self._context.setdefault(daemon, deque(maxlen=MOST_CONTEXT))
            kept.append(f"  {line.rstrip()}")


@cappa.command(name="story", help="Tell one request's story from the daemons' logs.")
@attrs.define
class StoryCommand:
    """Arguments of the subcommand.

    Parameters
    ----------
    request : str
        The request's id, or the beginning of it.
    logs : list of Path
        Files with logs of any daemons; standard input where none is named.
    """

    request: Annotated[str, cappa.Arg(help="The request's id, or its beginning.")]
    logs: Annotated[list[Path], cappa.Arg(help="Files with logs.")] = attrs.field(
        factory=list
    )

    def __call__(self) -> None:
        """Print the story; the exit status tells when there is none."""
        story = Story(self.request)
        for log in self.logs:
            try:
                text = log.read_text(encoding="utf-8", errors="replace")
            except OSError as error:
                raise NotFoundError(f"{log}: {error}") from error
            for line in text.splitlines():
                story.read(line)
        if not self.logs:
            for line in sys.stdin:
                story.read(line)
        if not story.found:
            raise NotFoundError(f"no line on request {self.request}")
        print("\n".join(story.found))


__all__ = ["Story", "StoryCommand"]
