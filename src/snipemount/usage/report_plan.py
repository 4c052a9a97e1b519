"""What the holder of the duty does next, so that each window is reported once."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .report_checkpoint import ReportCheckpoint

if TYPE_CHECKING:
    from random import Random

    from .usage_collection import WindowReport
    from .window_times import WindowTimes

FIRST_LISTING_MS = 2500.0  # after a window's end; all daemons have closed it then
# Until the next listing; doubled each time, as the store charges for calls and a
# daemon that is down stays registered.
LISTING_PERIOD_MS = 700.0
LAST_LISTING_MS = 6000.0  # after it nothing is waited for, so that a retry still fits
MIN_BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 2000.0
STAND_BACK_MS = 4000.0


@attrs.frozen
class Wait:
    """Nothing is to be done now."""


@attrs.frozen
class ListCounts:
    """List the stored counts of a window."""

    window: int


@attrs.frozen
class SaveCheckpoint:
    """Save a checkpoint with the lease."""

    checkpoint: ReportCheckpoint


@attrs.frozen
class SendReport:
    """Send the report of the confirmed checkpoint."""

    window: int
    counts: dict[str, int]


@attrs.frozen
class GiveUpWindows:
    """Reports that would be late; they are not sent any more.

    Parameters
    ----------
    first, last : int
        Numbers of the windows.
    had_counts : bool
        Whether the report of the first one was ready.
    """

    first: int
    last: int
    had_counts: bool


Action = Wait | ListCounts | SaveCheckpoint | SendReport | GiveUpWindows


class _Phase(Enum):
    COLLECT = "collect"
    SAVE = "save"
    SEND = "send"
    RECORD = "record"  # save that the report was taken


class ReportPlan:
    """Windows in order: collect, save the checkpoint, send until it is taken.

    One action at a time: each one but `Wait` and `GiveUpWindows` ends with a call of
    the method for its result. All times are true times.

    Parameters
    ----------
    times : WindowTimes
        Ends and due times of the windows.
    random : Random
        Source of jitter.
    """

    def __init__(self, times: WindowTimes, random: Random) -> None:
        self._times = times
        self._random = random
        self._window = 0
        self._phase = _Phase.COLLECT
        self._counts: dict[str, int] = {}
        self._is_busy = False
        self._next_ms = 0.0
        self._listings = 0
        self._failures = 0
        self._failing_since_ms: float | None = None

    @property
    def window(self) -> int:
        """Number of the window that is reported now."""
        return self._window

    def acquired(self, checkpoint: ReportCheckpoint | None, now_ms: float) -> None:
        """Begin as the new holder of the duty.

        Parameters
        ----------
        checkpoint : ReportCheckpoint or None
            What the holder before has saved; its report is repeated first, as it may
            not have been taken.
        now_ms : float
            Present time.
        """
        self._failing_since_ms = None
        if checkpoint is None:
            self._begin(self._times.first_due(now_ms))
        elif checkpoint.sent:
            self._begin(checkpoint.window + 1)
        else:
            self._begin(checkpoint.window)
            self._phase, self._counts = _Phase.SEND, checkpoint.counts

    def next_action(self, now_ms: float) -> Action:
        """Return what is to be done now."""
        if self._is_busy:
            return Wait()
        if self._phase is _Phase.RECORD:
            if now_ms < self._next_ms:
                return Wait()
            self._is_busy = True
            return SaveCheckpoint(
                ReportCheckpoint(self._window, self._counts, sent=True)
            )
        if self._times.is_past_due(self._window, now_ms):
            return self._give_up(now_ms)
        if now_ms < max(self._next_ms, self._first_listing_ms):
            return Wait()
        self._is_busy = True
        match self._phase:
            case _Phase.COLLECT:
                return ListCounts(self._window)
            case _Phase.SAVE:
                return SaveCheckpoint(ReportCheckpoint(self._window, self._counts))
            case _:
                return SendReport(self._window, self._counts)

    def _give_up(self, now_ms: float) -> GiveUpWindows:
        """Go on with the first window whose report would be in time.

        All at once: after an outage the duty would else be late for further windows.
        """
        first, next_window = self._window, self._times.first_due(now_ms)
        had_counts = self._phase is not _Phase.COLLECT
        self._begin(next_window)
        return GiveUpWindows(first, next_window - 1, had_counts)

    def listed(self, report: WindowReport, now_ms: float) -> bool:
        """Take the counts of a listing.

        Returns
        -------
        bool
            Whether they are reported: all daemons have closed the window, or there is
            no more time to wait for them.
        """
        self._succeeded()
        last_ms = self._times.end_ms(self._window) + LAST_LISTING_MS
        if report.missing and now_ms < last_ms:
            period_ms = LISTING_PERIOD_MS * 2.0**self._listings
            self._listings += 1
            self._next_ms = min(now_ms + period_ms, last_ms)
            return False
        self._phase, self._counts = _Phase.SAVE, report.counts
        return True

    def saved(self, confirmed: bool, now_ms: float) -> None:
        """Take the result of saving a checkpoint; one not confirmed is saved again."""
        self._is_busy = False
        if not confirmed:
            self._next_ms = now_ms + MIN_BACKOFF_MS
        elif self._phase is _Phase.RECORD:
            self._begin(self._window + 1)
        else:
            self._phase = _Phase.SEND

    def accepted(self) -> None:
        """Record that the report was taken."""
        self._succeeded()
        self._phase, self._next_ms = _Phase.RECORD, 0.0

    def failed(self, now_ms: float) -> None:
        """Record that a listing or a send has failed; it is tried again later."""
        if self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        self._retry_later(now_ms, 0.0)

    def refused(self, now_ms: float, retry_after_ms: float) -> None:
        """Record that the service takes no report from any daemon for now.

        It responds to this daemon, so another holder would get the same, and nobody
        would report while the duty passes on.
        """
        self._failing_since_ms = None
        self._retry_later(now_ms, retry_after_ms)

    def _retry_later(self, now_ms: float, retry_after_ms: float) -> None:
        self._is_busy = False
        limit_ms = min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2.0**self._failures)
        self._failures = min(self._failures + 1, 8)
        delay_ms = self._random.uniform(0.0, limit_ms)
        self._next_ms = now_ms + max(delay_ms, min(retry_after_ms, MAX_BACKOFF_MS))

    def postponed(self) -> None:
        """Record that a send was not made: the lease or the rate did not allow it."""
        self._is_busy = False

    def should_stand_back(self, now_ms: float) -> bool:
        """Return whether another daemon should try, as nothing succeeds here."""
        since_ms = self._failing_since_ms
        return since_ms is not None and now_ms - since_ms >= STAND_BACK_MS

    def stood_back(self) -> None:
        """Record that the duty is being left; failures count anew."""
        self._failing_since_ms = None

    @property
    def _first_listing_ms(self) -> float:
        if self._phase is not _Phase.COLLECT:
            return 0.0
        return self._times.end_ms(self._window) + FIRST_LISTING_MS

    def _begin(self, window: int) -> None:
        self._window = window
        self._phase, self._counts = _Phase.COLLECT, {}
        self._is_busy = False
        self._next_ms = 0.0
        self._listings = 0
        self._failures = 0

    def _succeeded(self) -> None:
        self._is_busy = False
        self._failures = 0
        self._failing_since_ms = None


__all__ = [
    "Action",
    "GiveUpWindows",
    "ListCounts",
    "ReportPlan",
    "SaveCheckpoint",
    "SendReport",
    "Wait",
]
