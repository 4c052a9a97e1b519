"""Timer services: the only source of time for other modules, real or virtual."""

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
    """A scheduled call that can be cancelled.

    Parameters
    ----------
    callback : Callable[[], None]
        Called once, when the timer fires.
    """

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call; has no effect after the timer has fired."""
        self._callback = None

    def fire(self) -> None:
        """Call the callback unless the timer was cancelled or has fired before."""
        callback = self._callback
        self._callback = None
        if callback is not None:
            callback()


class TimerService(ABC):
    """Monotonic time, wall-clock time and deferred calls."""

    @abstractmethod
    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds."""

    @abstractmethod
    def wall_ms(self) -> float:
        """Return the wall-clock time since the epoch in milliseconds."""

    def boot_ms(self) -> float:
        """Return the monotonic time in milliseconds, suspension of the VM included."""
        return self.now_ms()

    @abstractmethod
    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once after `delay_ms` milliseconds."""

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, after the code that is running now has returned."""
        self.call_later(0.0, callback)

    def call_every(self, period_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` every `period_ms` milliseconds until cancelled.

        The first call comes after one period. A period begins when the call before
        it has returned, so that late calls are not made up for. An error of one call
        does not end the calls.

        Returns
        -------
        Timer
            Cancelling it ends the calls.
        """
        periodic = Timer(callback)

        def tick() -> None:
            if periodic._callback is None:
                return
            try:
                callback()
            finally:
                self.call_later(period_ms, tick)

        self.call_later(period_ms, tick)
        return periodic


class LoopTimers(TimerService):
    """Timer service that uses an asyncio event loop and the system's clocks.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop that makes the deferred calls.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        """Return the monotonic time in milliseconds.

        The system's clock is read, as it has a finer resolution than the loop's.
        """
        return time.monotonic() * MS_PER_S

    def wall_ms(self) -> float:
        """Return the system's wall-clock time in milliseconds."""
        return time.time() * MS_PER_S

    def boot_ms(self) -> float:
        """Return the time since the VM's boot in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once after `delay_ms` milliseconds."""
        timer = Timer(callback)
        self._loop.call_later(max(0.0, delay_ms) / MS_PER_S, timer.fire)
        return timer

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` in the next iteration of the loop."""
        self._loop.call_soon(callback)

    async def sleep(self, delay_ms: float) -> None:
        """Suspend the calling task for `delay_ms` milliseconds."""
        await asyncio.sleep(delay_ms / MS_PER_S)


class VirtualTimers(TimerService):
    """Timer service for tests and simulations; its time moves only on request."""

    def __init__(self) -> None:
        self._now_ms = 0.0
        self._sequence_numbers = count()
        self._heap: list[tuple[float, int, Timer]] = []
        self._suspended_ms = 0.0
        self._wall_step_ms = 0.0

    def now_ms(self) -> float:
        """Return the virtual time in milliseconds."""
        return self._now_ms

    def wall_ms(self) -> float:
        """Return the virtual time in milliseconds; it starts at the epoch."""
        return self._now_ms + self._suspended_ms + self._wall_step_ms

    def boot_ms(self) -> float:
        """Return the virtual time in milliseconds, with that of suspensions."""
        return self._now_ms + self._suspended_ms

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once `delay_ms` virtual milliseconds from now."""
        timer = Timer(callback)
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._heap, (due_ms, next(self._sequence_numbers), timer))
        return timer

    def run_until(self, until_ms: float) -> None:
        """Advance the time to `until_ms` and fire each timer that is due, in order."""
        while self._heap and self._heap[0][0] <= until_ms:
            due_ms, _, timer = heapq.heappop(self._heap)
            self._now_ms = max(self._now_ms, due_ms)
            timer.fire()
        self._now_ms = max(self._now_ms, until_ms)

    def suspend(self, span_ms: float) -> None:
        """Pass `span_ms` as while a VM is suspended: only its steady clock stops."""
        self._suspended_ms += span_ms

    def step_wall(self, step_ms: float) -> None:
        """Move the time of day by `step_ms`, as a clock that is set does."""
        self._wall_step_ms += step_ms

    def advance_blocked(self, span_ms: float) -> None:
        """Advance the time by `span_ms` without firing, as a blocked event loop does.

        Timers that become due meanwhile fire late, in the next `run_until`.
        """
        self._now_ms += span_ms


__all__ = ["LoopTimers", "Timer", "TimerService", "VirtualTimers"]
