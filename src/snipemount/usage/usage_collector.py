"""Collects the counts of a daemon and its followers, and writes them to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from .counts_object import CountsObject
from .stored_counts import decode_counts, encode_counts
from .usage_collection import UsageCollection

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.relay import RelayUsage
    from ..ports.platform import PlatformPort
    from ..timers import TimerService
    from .wall_clock import WallClock
    from .window_times import WindowTimes

WRITE_PERIOD_MS = 2000.0
# A daemon that has lost its relay follows another one soon; it writes nothing before.
STORE_FOLLOWED_MS = 2000.0
LOG_PERIOD_MS = 1000.0  # of lines about dropped counts


class UsageCollector:
    """Merges counts, and keeps the daemon's object in the store up to date.

    Parameters
    ----------
    times : WindowTimes
        Numbers of the windows whose counts are of use.
    clock : WallClock
        True time.
    timers : TimerService
        Monotonic clock.
    platform : PlatformPort
        The store.
    own_name : str
        Name of this daemon.
    logger : FilteringBoundLogger
        Receives dropped counts and failed writes.

    Attributes
    ----------
    dropped : int
        Counts that were dropped because they were malformed or of no known window.
    """

    def __init__(
        self,
        times: WindowTimes,
        clock: WallClock,
        timers: TimerService,
        platform: PlatformPort,
        own_name: str,
        logger: FilteringBoundLogger,
    ) -> None:
        self._times = times
        self._clock = clock
        self._timers = timers
        self._own_name = own_name
        self._logger = logger
        self._collection = UsageCollection()
        self._object = CountsObject(platform, own_name, timers, self._on_read)
        self._has_unwritten = False
        self._has_unwritten_of_others = False
        self._has_stored_windows = False
        self._written_ms = timers.now_ms() - WRITE_PERIOD_MS
        self._store_since_ms: float | None = None
        self._complete_window = -1  # last one that was written when all had closed it
        self._logged_ms = timers.now_ms() - LOG_PERIOD_MS
        self.dropped = 0

    @property
    def is_writing(self) -> bool:
        """Whether a write is pending."""
        return self._object.is_busy

    @property
    def has_unwritten_of_others(self) -> bool:
        """Whether the store lacks some counts that followers have sent."""
        return self._has_unwritten_of_others

    def add(self, usage: RelayUsage) -> None:
        """Merge what a process has counted in a window."""
        now_ms = self._clock.now_ms()
        if usage.window < self._times.first_due(now_ms):
            return
        try:
            if not self._times.is_current(usage.window, now_ms):
                raise ValueError(f"window {usage.window} is in the future")
            run = (usage.daemon, usage.run)
            changed = self._collection.add(
                usage.window, run, usage.closed, usage.counts
            )
        except ValueError as error:
            self._drop([str(error)], usage.daemon)
            return
        if changed:
            self._has_unwritten = True
            if usage.daemon != self._own_name:
                self._has_unwritten_of_others = True

    def store_returned(self) -> None:
        """Write all counts again, as the store may have lost what it had confirmed."""
        if not self._collection.windows:
            return
        self._has_unwritten = True
        daemons = set().union(*map(self._collection.daemons, self._collection.windows))
        if daemons - {self._own_name}:
            self._has_unwritten_of_others = True

    def check(self, follows_store: bool) -> None:
        """Write if that is due.

        Parameters
        ----------
        follows_store : bool
            Whether no other daemon is followed. Otherwise only what followers have
            sent before is written; the own counts go to the daemon that is followed.
        """
        self._collection.remove_before(self._times.first_due(self._clock.now_ms()))
        self._note_following(follows_store)
        now_ms = self._timers.now_ms()
        if self._has_stored_windows and not self._collection.windows:
            # It collects no more: what is stored would be in each listing for ever.
            if now_ms - self._written_ms >= WRITE_PERIOD_MS:
                self._has_unwritten = True
                self.write()
            return
        if self._object.is_busy or not self._has_unwritten or not self._may_write():
            return
        window = self._times.at(self._clock.now_ms()) - 1
        completes = window > self._complete_window and self._is_complete(window)
        if completes:
            self._complete_window = window
        if completes or now_ms - self._written_ms >= WRITE_PERIOD_MS:
            self.write()

    def write(self) -> None:
        """Write what is not written yet, unless a write is pending."""
        if self._object.is_busy or not self._has_unwritten:
            return
        self._written_ms = self._timers.now_ms()
        self._object.save(self._document, self._on_written)

    def _note_following(self, follows_store: bool) -> None:
        if not follows_store:
            self._store_since_ms = None
        elif self._store_since_ms is None:
            self._store_since_ms = self._timers.now_ms()

    def _may_write(self) -> bool:
        if self._store_since_ms is None:
            return self._has_unwritten_of_others
        return self._timers.now_ms() - self._store_since_ms >= STORE_FOLLOWED_MS

    def _is_complete(self, window: int) -> bool:
        """Return whether all daemons with counts in it or the one before closed it."""
        before = self._collection.daemons(window - 1)
        return not self._collection.missing(window, before)

    def _document(self) -> dict[str, Any]:
        """Return what is written now; later counts need another write."""
        self._has_unwritten = self._has_unwritten_of_others = False
        self._has_stored_windows = bool(self._collection.windows)
        return encode_counts(self._collection)

    def _on_read(self, document: dict[str, Any]) -> None:
        """Keep what an earlier process of this daemon has written."""
        now_ms = self._clock.now_ms()
        first, last = self._times.first_due(now_ms), self._times.at(now_ms) + 1
        faults = decode_counts(document, self._collection, first, last)
        self._drop(faults, self._own_name)

    def _on_written(self, fault: str) -> None:
        if fault:
            self._has_unwritten = self._has_unwritten_of_others = True
            self._has_stored_windows = True
            self._logger.warning("usage_not_written", reason=fault)

    def _drop(self, causes: list[str], sender: str) -> None:
        self.dropped += len(causes)
        now_ms = self._timers.now_ms()
        if causes and now_ms - self._logged_ms >= LOG_PERIOD_MS:
            self._logged_ms = now_ms
            self._logger.warning("usage_dropped", sender=sender, reason=causes[0])


__all__ = ["WRITE_PERIOD_MS", "UsageCollector"]
