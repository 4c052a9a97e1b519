"""The timer service: the one source of time, real or virtual."""

from __future__ import annotations

import asyncio
import heapq
import time
from abc import ABC, abstractmethod
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1000.0


class Timer:
    """A subscription that can be cancelled.

    Parameters
    ----------
    callback : Callable[[], None]
        Called once, when the time has come.
    """

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Drop the subscription; harmless after the timer has fired."""
        self._callback = None

    def fire(self) -> None:
        """Call the subscriber unless the timer was cancelled."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class TimerService(ABC):
    """Monotonic time and deferred calls for every other part."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""

    @abstractmethod
    def wall_ms(self) -> float:
        """Return the time since the epoch in milliseconds."""

    @abstractmethod
    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once after `delay_ms` milliseconds."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, after the code that is running now."""
        self.call_later(0.0, callback)

    def call_every(self, period_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` each `period_ms` milliseconds until cancelled.

        Returns
        -------
        Timer
            Cancelling it ends the series.
        """
        series = Timer(callback)

        def tick() -> None:
            if series._callback is None:
                return
            callback()
            self.call_later(period_ms, tick)

        self.call_later(period_ms, tick)
        return series


class LoopTimers(TimerService):
    """Timer service over the running event loop.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop whose monotonic clock is used.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return the monotonic time, finer than that of the loop."""
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> float:
        """Return the system's wall-clock time in milliseconds."""
        return time.time() * MS_PER_S

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once after `delay_ms` milliseconds."""
        timer = Timer(callback)
        self._loop.call_later(max(0.0, delay_ms) / MS_PER_S, timer.fire)
        return timer

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next turn of the loop."""
        self._loop.call_soon(callback)

    async def sleep(self, delay_ms: float) -> None:
        """Suspend the calling task for `delay_ms` milliseconds."""
        await asyncio.sleep(delay_ms / MS_PER_S)


class VirtualTimers(TimerService):
    """Timer service whose time moves only when it is told to run."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._sequence = count()
        self._heap: list[tuple[float, int, Timer]] = []

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the virtual time; the virtual epoch is its start."""
        return self._now_ms

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once `delay_ms` virtual milliseconds from now."""
        timer = Timer(callback)
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._sequence), timer))
        return timer

    def run_until(self, until_ms: float) -> None:
        """Fire, in order, each timer that is due by `until_ms`."""
        while self._heap and self._heap[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._heap)
            self._now_ms = max(self._now_ms, due_ms)
            timer.fire()
        self._now_ms = max(self._now_ms, until_ms)

    def stand_still(self, span_ms: float) -> None:
        """Let time pass without firing anything, as a loop that is busy does."""
        self._now_ms += span_ms


__all__ = ["LoopTimers", "Timer", "TimerService", "VirtualTimers"]
