"""Windows of the usage report: their numbers, starts, ends and due times."""

from __future__ import annotations

import math

import attrs

MIN_KEPT_WINDOWS = 6


@attrs.frozen
class WindowTimes:
    """Times of the windows, in true time since the epoch.

    Parameters
    ----------
    window_ms : float
        Length of a window; window k begins k times this after the epoch.
    due_ms : float
        Time from the end of a window until its report is due.
    """

    window_ms: float
    due_ms: float

    @property
    def kept(self) -> int:
        """Number of windows whose counts a process keeps, to send them again.

        Those whose reports are not late yet, the present one, and one more.
        """
        return max(MIN_KEPT_WINDOWS, math.ceil(self.due_ms / self.window_ms) + 2)

    def at(self, true_ms: float) -> int:
        """Return the number of the window that contains a time."""
        return int(true_ms // self.window_ms)

    def end_ms(self, window: int) -> float:
        """Return the end of a window."""
        return (window + 1) * self.window_ms

    def is_past_due(self, window: int, true_ms: float) -> bool:
        """Return whether a report of the window would be late."""
        return true_ms >= self.end_ms(window) + self.due_ms

    def first_due(self, true_ms: float) -> int:
        """Return the earliest window whose report would not be late."""
        return max(0, self.at(true_ms - self.due_ms))

    def is_current(self, window: int, true_ms: float) -> bool:
        """Return whether counts of the window are of use.

        The next window is included: the sender's clock may be slightly ahead.
        """
        return self.first_due(true_ms) <= window <= self.at(true_ms) + 1


__all__ = ["WindowTimes"]
