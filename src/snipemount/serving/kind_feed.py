"""Feed of one kind of object from the platform's store, directly or over a relay."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.fleet.state_age import CHECK_PERIOD_MS
from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayListing,
    RelayRemoval,
    RelayStoreLost,
)
from ..model.store_version import UNKNOWN_ERA
from ..ports.platform import Changed, Confirmed, Deleted, Expired, Failed, Listed
from .kind_state import KindState

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..decisions.fleet.state_age import StateAgeLimits
    from ..decisions.fleet.store_return import ReturnRule
    from ..model.relay import RelayMessage
    from ..model.store_version import StoreVersion
    from ..ports.platform import (
        Kind,
        ListResult,
        PlatformPort,
        Watch,
        WatchEvent,
    )
    from ..timers import Timer, TimerService
    from .kind_state import Subscriber
    from .store_retries import StoreRetries

FIRST_BACKOFF_MS = 150.0
JITTER_RATIO = 0.4
FAILURES_UNTIL_LOST = 2
RETURN_FOLLOW_LIMIT_MS = 1500.0  # after a return, for another daemon to be followed
MAX_OBJECTS_LISTED = 50  # one page, so that a listing is one call like a watch


class KindFeed:
    """Keeps a copy of all objects of one kind and notifies a subscriber of changes.

    The objects come from the store itself (`follow_store`) or from another daemon that
    relays them (`follow_relay`). Failed calls to the store are retried with backoff.

    Parameters
    ----------
    platform : PlatformPort
        The store to list and to watch.
    kind : Kind
        Kind of the objects.
    subscriber : Subscriber
        Notified of listings, changes and the state of the store.
    timers : TimerService
        Clock and timers of the retries.
    random : Random
        Source of the backoff's jitter, which spreads the retries of many daemons.
    on_update : Callable
        Called with each update that came from the store itself, to relay it.
    logger : FilteringBoundLogger
        Receives the versions of the listings applied.
    age_limits : StateAgeLimits
        How old the known state may become.
    rarely_changes : bool
        Whether a watch may be delayed, as changes are few.
    retries : StoreRetries
        Decides which of the daemon's kinds retries a failed call.
    return_rule : ReturnRule
        What stays known when the store returns from an older copy.

    Attributes
    ----------
    age_limits : StateAgeLimits
        How old the known state may become.
    """

    def __init__(
        self,
        platform: PlatformPort,
        kind: Kind,
        subscriber: Subscriber,
        timers: TimerService,
        random: Random,
        on_update: Callable[[RelayMessage], None],
        logger: FilteringBoundLogger,
        age_limits: StateAgeLimits,
        rarely_changes: bool,
        retries: StoreRetries,
        return_rule: ReturnRule,
    ) -> None:
        self._retries = retries
        self._rarely_changes = rarely_changes
        self.age_limits = age_limits
        self._platform = platform
        self.kind = kind
        self._timers = timers
        self._random = random
        self._on_update = on_update
        self._logger = logger
        self._state = KindState(kind, subscriber, return_rule, timers, logger)
        self._store_era = UNKNOWN_ERA
        self._settling: Timer | None = None
        self._reported_ms = -math.inf
        self._backoff_ms = FIRST_BACKOFF_MS
        self._failures = 0
        self._active_watch: Watch | None = None
        self._timer: Timer | None = None
        self._epoch = 0
        self._follows_store = False

    def follow_store(self) -> None:
        """Follow the store itself.

        A watch starts at the known version; the kind is listed where there is none yet.
        """
        if self._follows_store:
            return
        self._follows_store = True
        self._epoch += 1
        if self.version is None:
            self._list()
        elif self.version.era < self._store_era:
            self._list_after_return()
        elif self._retries.in_doubt:
            self._call_in_turn(self._watch_at_first)
        else:
            self._begin_watch()

    def follow_relay(self) -> None:
        """Stop following the store; updates come from a relay through `apply`."""
        self._follows_store = False
        self._stop()

    def on_era(self, era: int) -> None:
        """List the kind once, as the store has returned from an older copy.

        A kind that follows a relay gets the listing of the daemon that is followed.
        """
        self._store_era = era
        if not self._follows_store or self.version is None or self.version.era == era:
            return
        self._stop()
        self._state.note_return()
        self._list_after_return()

    def _list_after_return(self) -> None:
        # Another daemon of the zone lists the kind first, and may be followed by then.
        waits = self._retries.others_retry
        self._call_after(
            RETURN_FOLLOW_LIMIT_MS if waits else FIRST_BACKOFF_MS, self._list
        )

    def restart_if_silent(self) -> None:
        """List the kind again if neither a watch nor a call has reported for long."""
        silent_ms = self._timers.now_ms() - self._reported_ms
        if not self._follows_store or silent_ms <= self.age_limits.max_silence_ms:
            return
        self._logger.warning(
            "store_feed_silent", kind=self.kind.value, silent_ms=round(silent_ms)
        )
        self._stop()
        self._list()

    def _stop(self) -> None:
        self._epoch += 1
        self._retries.leave(self.kind)
        if self._active_watch is not None:
            self._active_watch.cancel()
            self._active_watch = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    @property
    def version(self) -> StoreVersion | None:
        """Version of the store up to which the objects are known; None at first."""
        return self._state.version

    @property
    def store_reachable(self) -> bool:
        """Whether the store has responded since its last failure."""
        return self._state.store_reachable

    @property
    def reaches_store(self) -> bool:
        """Whether the kind follows the store itself, which answers."""
        return self._follows_store and self.store_reachable

    @property
    def age_ms(self) -> float:
        """Time since the known state was current for certain."""
        return self._timers.now_ms() - self._state.current_at_ms

    def is_outdated(self, listing: RelayListing) -> bool:
        """Return whether a listing is older than the known state and differs."""
        return self._state.is_outdated(listing)

    def listing(self) -> RelayListing:
        """Return all known objects, for a daemon that begins to follow this one."""
        return self._state.listing()

    def apply(self, message: RelayMessage) -> None:
        """Apply an update from the store or from the relaying daemon, and notify."""
        self._state.apply(message, "store" if self._follows_store else "relay")
        if isinstance(message, RelayListing):
            self._settle_later()

    def _settle_later(self) -> None:
        """Wait for the next end of a grace time after a return of the store."""
        if self._settling is not None:
            self._settling.cancel()
            self._settling = None
        delay_ms = self._state.next_settling_ms - self._timers.now_ms()
        if delay_ms < math.inf:
            delay_ms = max(CHECK_PERIOD_MS, delay_ms)
            self._settling = self._timers.call_later(delay_ms, self._settle)

    def _settle(self) -> None:
        """Apply what the store holds of objects whose grace time is over."""
        self._settling = None
        settled = self._state.take_settled()
        version = self.version
        if settled and version is not None:
            settled.append(RelayConfirmation(self.kind, version, self.age_ms))
        for message in settled:
            if self._follows_store:
                self._update(message)
            else:
                self.apply(message)
        self._settle_later()

    def _update(self, message: RelayMessage) -> None:
        self.apply(message)
        self._on_update(message)

    def _list(self) -> None:
        epoch = self._epoch
        called_ms = self._reported_ms = self._timers.now_ms()

        def done(result: ListResult) -> None:
            if epoch == self._epoch:
                self._on_listed(result, self._timers.now_ms() - called_ms)

        self._platform.list_all(self.kind, done)

    def _on_listed(self, result: ListResult, took_ms: float) -> None:
        self._reported_ms = self._timers.now_ms()
        match result:
            case Listed(objects, version):
                self._update(RelayListing(self.kind, version, objects))
                self._update(RelayConfirmation(self.kind, version, took_ms))
                self._on_responded()
                self._begin_watch()
            case Failed(detail):
                self._on_failed(detail)
                self._retry_in_turn(self._list)

    def _begin_watch(self) -> None:
        self._reported_ms = self._timers.now_ms()
        delay_ms = 0.0
        if self._rarely_changes:
            delay_ms = self.age_limits.watch_delay_ms(self.age_ms)
        if delay_ms > 0.0:
            self._timer = self._timers.call_later(delay_ms, self._watch)
        else:
            self._watch()

    def _watch_again(self) -> None:
        """Watch after a failure; the store answers soon, which shows that it can."""
        self._watch(self.age_limits.probe_age_ms)

    def _poll_soon(self) -> None:
        self._call_after(FIRST_BACKOFF_MS, self._poll)

    def _poll(self) -> None:
        """Watch, with a first call that the store answers without waiting."""
        if self._needs_listing:
            self._list()
        else:
            self._watch(math.inf)

    def _watch_at_first(self) -> None:
        """Watch after the loss of a relay; the store answers an old state at once."""
        if self._needs_listing:
            self._list()
        else:
            self._watch(max(self.age_ms, self.age_limits.probe_age_ms))

    @property
    def _needs_listing(self) -> bool:
        """Whether an old state is listed, as a store may answer no watch for a while.

        It may do so before it drops its history, also where a watch need not wait.
        """
        age_limit_ms = self.age_limits.age_limit_ms(first_in_line=True)
        return len(self._state) <= MAX_OBJECTS_LISTED and self.age_ms >= age_limit_ms

    def _watch(self, age_ms: float | None = None) -> None:
        epoch, version = self._epoch, self.version
        if version is None or version.era < self._store_era:
            self._list()
            return
        self._reported_ms = self._timers.now_ms()

        def on_event(event: WatchEvent) -> None:
            if epoch == self._epoch:
                self._on_event(event)

        self._active_watch = self._platform.watch(
            self.kind, version, on_event, self.age_ms if age_ms is None else age_ms
        )

    def _on_event(self, event: WatchEvent) -> None:
        self._reported_ms = self._timers.now_ms()
        match event:
            case Changed(stored):
                self._update(RelayChange(stored))
            case Deleted(kind, name, _):
                self._update(RelayRemoval(kind, name))
            case Confirmed(version, age_ms):
                self._on_responded()
                self._update(RelayConfirmation(self.kind, version, age_ms))
            case Expired():
                # The store answers: only its history is gone.
                self._on_responded()
                self._call_after(FIRST_BACKOFF_MS, self._list)
            case Failed(detail):
                # Any watch that waits may be cut off while the store answers all else.
                may_be_cut = not (self._failures or self._retries.in_doubt)
                self._on_failed(detail)
                if may_be_cut:
                    self._call_in_turn(self._poll_soon)
                else:
                    self._retry_in_turn(self._watch_again)

    def _on_responded(self) -> None:
        self._backoff_ms = FIRST_BACKOFF_MS
        self._failures = 0
        self._retries.answered()

    def _on_failed(self, reason: str) -> None:
        """Record a failure; followers learn of it if the retry fails too.

        Each of them would call the store itself; one failed call is soon made up for.
        """
        lost = RelayStoreLost(reason)
        self.apply(lost)
        self._failures += 1
        if self._failures >= FAILURES_UNTIL_LOST:
            self._on_update(lost)

    def _retry_in_turn(self, retry: Callable[[], None]) -> None:
        """Retry a failed call after a pause, or wait while another kind does."""
        self._call_in_turn(lambda: self._retry_later(retry))

    def _call_in_turn(self, call: Callable[[], None]) -> None:
        """Call the store, or wait while another kind does."""
        self._reported_ms = self._timers.now_ms()
        if self._retries.may_call(self.kind):
            call()
            return
        epoch = self._epoch

        def begin_unless_stopped() -> None:
            if epoch != self._epoch:
                return
            if self.version is None:
                self._list()
            elif self._failures:
                self._poll()
            else:
                self._begin_watch()

        self._retries.wait(self.kind, begin_unless_stopped)

    def _retry_later(self, retry: Callable[[], None]) -> None:
        backoff_ms = max(self._backoff_ms, self._retries.min_backoff_ms)
        self._backoff_ms = min(self._retries.max_backoff_ms, 2.0 * backoff_ms)
        self._call_after(backoff_ms, retry)

    def _call_after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call the store later; the jitter spreads the calls of many daemons."""
        delay_ms *= 1.0 + JITTER_RATIO * self._random.random()
        self._timer = self._timers.call_later(delay_ms, call)


__all__ = ["KindFeed"]
