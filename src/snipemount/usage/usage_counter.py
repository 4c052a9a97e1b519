"""Requests of organisations that this process has counted, by window."""

from __future__ import annotations

from collections import Counter
from itertools import count
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from .window_times import WindowTimes

CLOSE_DELAY_MS = 300.0  # for the requests of a window's last moments to be counted
# A request that is open for longer is counted as it stands, so that the report is not
# held up by it.
CLOSE_LIMIT_MS = 2000.0


@attrs.frozen
class WindowCounts:
    """What one process has counted in one window.

    Parameters
    ----------
    window : int
        Number of the window.
    closed : bool
        Whether the counts are final.
    counts : dict of str to int
        Requests so far, by organisation.
    """

    window: int
    closed: bool
    counts: dict[str, int]


@attrs.define(eq=False)
class _OpenRequest:
    organisation: str
    arrived_ms: float
    began_ms: Callable[[], float | None]
    counted: bool = False


@attrs.define(eq=False)
class _Window:
    counts: Counter[str] = attrs.field(factory=Counter)
    closed: bool = False
    changed: bool = True


class UsageCounter:
    """Counts each request once, in the window in which its first attempt was made.

    All times are true times. The counts of a window only grow.

    Parameters
    ----------
    times : WindowTimes
        Numbers and ends of the windows.
    now_ms : float
        Present time. Windows before it, whose report is not due yet, are closed
        without counts: another process of this daemon may have run in them.
    """

    def __init__(self, times: WindowTimes, now_ms: float) -> None:
        self._times = times
        self._current = times.at(now_ms)
        self._windows = {
            window: _Window(closed=window < self._current)
            for window in range(times.first_due(now_ms), self._current + 1)
        }
        self._open: dict[int, _OpenRequest] = {}
        self._numbers = count()

    def opened(
        self,
        organisation: str,
        arrived_ms: float,
        began_ms: Callable[[], float | None],
    ) -> int:
        """Record a request that has arrived; return its number for `ended`.

        Parameters
        ----------
        organisation : str
            Organisation that the request belongs to.
        arrived_ms : float
            Time of its arrival.
        began_ms : Callable
            Returns the time of its first attempt; None while it is certain that no
            leaf has run it.
        """
        number = next(self._numbers)
        self._open[number] = _OpenRequest(organisation, arrived_ms, began_ms)
        return number

    def ended(self, number: int, began_ms: float | None) -> None:
        """Count a request at its first attempt; None if no leaf has run it."""
        request = self._open.pop(number, None)
        if request is not None and not request.counted and began_ms is not None:
            self.began(request.organisation, began_ms)

    def began(self, organisation: str, at_ms: float) -> None:
        """Count a request whose first attempt was made at a time."""
        number = self._times.at(at_ms)
        if not self._is_kept(number):
            return
        window = self._windows.setdefault(number, _Window())
        window.counts[organisation] += 1
        window.changed = True

    def advance(self, now_ms: float) -> None:
        """Begin the present window, close earlier ones and remove the oldest."""
        self._current = self._times.at(now_ms)
        self._windows.setdefault(self._current, _Window())
        # Later windows remain when the time of day was wrong for long and is set back.
        for number in [n for n in self._windows if not self._is_kept(n)]:
            del self._windows[number]
        for number, window in self._windows.items():
            if not window.closed and self._may_close(number, now_ms):
                self._close(number, window)
        self._forget_old()

    def close_all(self) -> None:
        """Close all windows, as this process counts no more."""
        for number, window in self._windows.items():
            if not window.closed:
                self._close(number, window)

    def mark_unsent(self) -> None:
        """Include all kept windows in the next result of `take_changed`."""
        for window in self._windows.values():
            window.changed = True

    def take_changed(self) -> list[WindowCounts]:
        """Return the windows that have changed since the last call, oldest first."""
        changed = [
            WindowCounts(number, window.closed, dict(window.counts))
            for number, window in sorted(self._windows.items())
            if window.changed
        ]
        for window in self._windows.values():
            window.changed = False
        return changed

    def _is_kept(self, number: int) -> bool:
        return self._current - self._times.kept < number <= self._current + 1

    def _forget_old(self) -> None:
        """Forget requests that arrived before the kept windows.

        They are over; one whose end was not told, by a fault of the program, would
        otherwise delay the close of each window.
        """
        first_kept = self._current - self._times.kept + 1
        for number, request in list(self._open.items()):
            if self._times.at(request.arrived_ms) >= first_kept:
                break
            del self._open[number]

    def _may_close(self, number: int, now_ms: float) -> bool:
        end_ms = self._times.end_ms(number)
        if now_ms < end_ms + CLOSE_DELAY_MS:
            return False
        uncounted = (r for r in self._open.values() if not r.counted)
        oldest = next(uncounted, None)
        has_open = oldest is not None and oldest.arrived_ms < end_ms
        return not has_open or now_ms >= end_ms + CLOSE_LIMIT_MS

    def _close(self, number: int, window: _Window) -> None:
        """Close a window; open requests that began in it are counted now."""
        window.closed = window.changed = True
        for request in self._open.values():
            began_ms = None if request.counted else request.began_ms()
            if began_ms is not None and self._times.at(began_ms) == number:
                request.counted = True
                window.counts[request.organisation] += 1


__all__ = ["CLOSE_DELAY_MS", "CLOSE_LIMIT_MS", "UsageCounter", "WindowCounts"]
