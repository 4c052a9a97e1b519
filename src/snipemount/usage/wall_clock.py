"""True time of day, which a short step of the system's clock does not move."""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..timers import TimerService

SAMPLE_PERIOD_MS = 500.0
MAX_SAMPLES = 120  # a minute


class WallOffset:
    """Median of recent differences between time of day and boot-time clock.

    A clock that is set wrong and set back within half a minute changes fewer than half
    of the differences, so it does not change their median.
    """

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.offset_ms = 0.0

    def add(self, wall_ms: float, boot_ms: float) -> None:
        """Add the two clocks as read at one moment."""
        self._samples.append(wall_ms - boot_ms)
        self.offset_ms = median(self._samples)


class WallClock:
    """True time of this daemon.

    Parameters
    ----------
    timers : TimerService
        Clocks, and the timer of the samples.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._offset = WallOffset()
        self._sample()
        timers.call_every(SAMPLE_PERIOD_MS, self._sample)

    def now_ms(self) -> float:
        """Return the present true time since the epoch."""
        return self._timers.boot_ms() + self._offset.offset_ms

    def at_ms(self, monotonic_ms: float) -> float:
        """Return the true time of a recent moment of the monotonic clock."""
        return self.now_ms() - (self._timers.now_ms() - monotonic_ms)

    def _sample(self) -> None:
        self._offset.add(self._timers.wall_ms(), self._timers.boot_ms())


__all__ = ["MAX_SAMPLES", "SAMPLE_PERIOD_MS", "WallClock", "WallOffset"]
