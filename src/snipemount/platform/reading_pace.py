"""Pace at which a daemon reads large responses, so that other requests go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.estimates.token_bucket import TokenBucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..timers import TimerService

FREE_COST_BYTES = 2**17  # of each response, whatever the others cost
MAX_COST_PER_MS = 2**16
MAX_BURST_MS = 20.0
MIN_PAUSE_MS = 1.0


class ReadingPace:
    """Bounds what all responses together cost a second, but for the first part of each.

    A cost is a time, stated as the bytes of a plain body that are read in it.

    Parameters
    ----------
    timers : TimerService
        Clock, and timers of the pauses.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        burst = MAX_BURST_MS * MAX_COST_PER_MS
        self._bucket = TokenBucket(burst, MAX_COST_PER_MS, timers.now_ms())

    def allows(self, cost: int, spent: int) -> bool:
        """Return whether a response may be read on now, and count it if so.

        Parameters
        ----------
        cost : int
            Cost of the bytes to read next.
        spent : int
            Cost of the response so far.
        """
        if spent + cost <= FREE_COST_BYTES:
            return True
        if self._bucket.available(self._timers.now_ms()) <= 0.0:
            return False
        self._bucket.spend(cost)
        return True

    def call_later(self, read_on: Callable[[], None]) -> None:
        """Call `read_on` when a response may be read on."""
        wait_ms = self._bucket.ms_until(1.0, self._timers.now_ms())
        self._timers.call_later(max(MIN_PAUSE_MS, wait_ms), read_on)


__all__ = ["ReadingPace"]
