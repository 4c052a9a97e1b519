"""Counts the requests of organisations at the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..serving.counted_run import RequestCounter

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..timers import TimerService
    from .usage_counter import UsageCounter
    from .wall_clock import WallClock


class RequestUsage(RequestCounter):
    """Passes requests on to the counter, with their true times.

    Parameters
    ----------
    counter : UsageCounter
        Counts the requests.
    timers : TimerService
        Monotonic clock of the gateway.
    clock : WallClock
        True time.
    """

    def __init__(
        self, counter: UsageCounter, timers: TimerService, clock: WallClock
    ) -> None:
        self._counter = counter
        self._timers = timers
        self._clock = clock

    def opened(self, organisation: str, began_ms: Callable[[], float | None]) -> int:
        """Record a request that arrives now."""
        return self._counter.opened(
            organisation, self._clock.now_ms(), lambda: self._true_ms(began_ms())
        )

    def ended(self, number: int, began_ms: float | None) -> None:
        """Count a request that has ended, if a leaf may have run it."""
        self._counter.ended(number, self._true_ms(began_ms))

    def _true_ms(self, monotonic_ms: float | None) -> float | None:
        return None if monotonic_ms is None else self._clock.at_ms(monotonic_ms)


__all__ = ["RequestUsage"]
