"""All connections of callers to a process, and the memory that they share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..memory.allocator import return_freed_memory
from ..memory.byte_budget import ByteBudget
from ..memory.unfinished_requests import Overdue, Stage, UnfinishedRequests
from .caller_refusals import CutOff
from .cut_off_log import CutOffLog
from .parse_turns import ParseTurns

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import CallerLimits
    from ..timers import TimerService
    from .caller_bounds import CallerBounds
    from .refusing_handler import RefusingHandler

CHECK_PERIOD_MS = 100.0
# Below this age an unfinished request is not cut off to make room for a new connection.
MIN_CUT_AGE_MS = 1000.0
TRIM_AFTER_BYTES = 2**22  # freed since the last time; returning them takes milliseconds
TRIM_PERIOD_MS = 500.0
REASON_OF = {
    Overdue.HEAD: CutOff.HEADER_TIMEOUT,
    Overdue.BODY: CutOff.BODY_TIMEOUT,
    Overdue.RESPONSE: CutOff.RESPONSE_TIMEOUT,
}


class CallerConnections:
    """Keeps the connections of callers and their unfinished requests within bounds.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    bounds : CallerBounds
        What all callers together may use.
    limits : Callable
        Returns the limits on one caller, of the configuration in force.
    logger : FilteringBoundLogger or None
        Receives counts of the callers that were cut off.
    """

    def __init__(
        self,
        timers: TimerService,
        bounds: CallerBounds,
        limits: Callable[[], CallerLimits],
        logger: FilteringBoundLogger | None = None,
    ) -> None:
        self.timers = timers
        self.limits = limits
        self.turns = ParseTurns(timers)
        self.cut_offs = CutOffLog(timers, logger)
        self._bounds = bounds
        self._budget = ByteBudget(bounds.unfinished_bytes)
        self._unfinished: UnfinishedRequests[RefusingHandler] = UnfinishedRequests(
            self._budget, bounds.timeouts
        )
        self._open: set[RefusingHandler] = set()
        self._idle: dict[RefusingHandler, None] = {}  # the longest idle first
        self._freed = 0
        self._trimmed_ms = timers.now_ms()
        self._is_checking = False

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def held_bytes(self) -> int:
        """Bytes held for unfinished requests and unread responses."""
        return self._budget.held

    @property
    def unfinished_bodies(self) -> int:
        """Number of requests whose body is incomplete."""
        return len(self._unfinished.in_stage(Stage.BODY))

    def opened(self, connection: RefusingHandler) -> bool:
        """Add a connection; return whether it may stay.

        Beyond the bound the longest idle one is closed, then the oldest unfinished one.
        """
        if len(self._open) >= self._bounds.max_connections and not self._make_room():
            return False
        self._open.add(connection)
        self._idle[connection] = None
        return True

    def closed(self, connection: RefusingHandler) -> None:
        """Forget a connection and what it held."""
        self._open.discard(connection)
        self._idle.pop(connection, None)
        self.end(connection)

    def became_idle(self, connection: RefusingHandler) -> None:
        """Record that a connection waits for its next request."""
        if connection in self._open:
            self._idle[connection] = None

    def became_busy(self, connection: RefusingHandler) -> None:
        """Record that a connection has begun a request."""
        self._idle.pop(connection, None)

    def note(
        self,
        connection: RefusingHandler,
        stage: Stage,
        held: int,
        progressed: bool = True,
    ) -> None:
        """Record what a connection holds; shed others, or it, if that is too much."""
        now_ms = self.timers.now_ms()
        if not self._unfinished.note(connection, stage, held, progressed, now_ms):
            shed = self._unfinished.to_shed(connection, now_ms)
            for other in shed:
                other.cut_off(CutOff.MEMORY)
            if connection not in shed:
                self._unfinished.note(connection, stage, held, progressed, now_ms)
        self._check_later()

    def end(self, connection: RefusingHandler) -> None:
        """Record that a connection holds nothing any more."""
        self._freed += self._unfinished.end(connection)

    def _make_room(self) -> bool:
        for connection in self._idle:
            connection.close_idle()
            return True
        oldest = self._unfinished.oldest_unfinished(
            self.timers.now_ms(), MIN_CUT_AGE_MS
        )
        if oldest is None:
            return False
        oldest.cut_off(CutOff.CONNECTIONS)
        self._open.discard(oldest)
        return True

    def _check_later(self) -> None:
        if not self._is_checking:
            self._is_checking = True
            self.timers.call_later(CHECK_PERIOD_MS, self._check)

    def _check(self) -> None:
        self._is_checking = False
        now_ms = self.timers.now_ms()
        for connection in self._unfinished.in_stage(Stage.RESPONSE):
            connection.note_unread()
        header_timeout_ms = self.limits().header_timeout_ms
        for connection, overdue in self._unfinished.overdue(now_ms, header_timeout_ms):
            connection.cut_off(REASON_OF[overdue])
        if self._freed >= TRIM_AFTER_BYTES:
            self._trim(now_ms)
        if len(self._unfinished) or self._freed >= TRIM_AFTER_BYTES:
            self._check_later()

    def _trim(self, now_ms: float) -> None:
        if now_ms - self._trimmed_ms >= TRIM_PERIOD_MS:
            return_freed_memory()
            self._trimmed_ms = now_ms
            self._freed = 0


__all__ = ["CallerConnections"]
