"""Turns in which chunked bodies are parsed, so that other callers are not delayed."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..timers import TimerService

# Small chunks cost far more time than a plain body. All chunked bodies together take at
# most a third of the processor's time, in short turns.
TURN_MS = 1.0
PAUSE_MS = 2.0


class SliceParser(Protocol):
    """Something that parses a part of what it has received."""

    def parse_slice(self) -> bool:
        """Parse a slice; return whether there is more to parse now."""


class ParseTurns:
    """Lets connections parse in turn, for a bounded time at once.

    Parameters
    ----------
    timers : TimerService
        Clock, and timers of the pauses.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._waiting: deque[SliceParser] = deque()
        self._is_running = False

    def add(self, parser: SliceParser) -> None:
        """Let a connection parse, at once if no other waits; once until it is done."""
        self._waiting.append(parser)
        if not self._is_running:
            self._run()

    def _run(self) -> None:
        self._is_running = True
        end_ms = self._timers.now_ms() + TURN_MS
        try:
            while self._waiting and self._timers.now_ms() < end_ms:
                parser = self._waiting.popleft()
                if parser.parse_slice():
                    self._waiting.append(parser)
        finally:
            # Also without a backlog: the next bytes to arrive would begin another turn.
            self._timers.call_later(PAUSE_MS, self._run_on)

    def _run_on(self) -> None:
        if self._waiting:
            self._run()
        else:
            self._is_running = False


__all__ = ["ParseTurns", "SliceParser"]
