"""Feed of one kind of object from the platform's store, directly or over a relay."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayListing,
    RelayRemoval,
    RelayStoreLost,
)
from ..ports.platform import Changed, Confirmed, Deleted, Expired, Failed, Listed

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..decisions.fleet.state_age import StateAgeLimits
    from ..model.relay import RelayMessage
    from ..ports.platform import (
        Kind,
        ListResult,
        PlatformPort,
        StoredObject,
        Watch,
        WatchEvent,
    )
    from ..timers import Timer, TimerService
    from .store_retries import StoreRetries

FIRST_BACKOFF_MS = 150.0
JITTER_RATIO = 0.4
FAILURES_UNTIL_LOST = 2
MAX_OBJECTS_LISTED = 50  # one page, so that a listing is one call like a watch


class Subscriber(Protocol):
    """Receiver of the objects of one kind and of their changes."""

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all known objects by this listing."""

    def changed(self, stored: StoredObject) -> None:
        """Add or replace one object."""

    def removed(self, name: str) -> None:
        """Remove an object."""

    def confirmed(self) -> None:
        """Note that the store has confirmed the known state as current."""

    def store_unreachable(self, reason: str) -> None:
        """Note that the store does not respond."""


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

    Attributes
    ----------
    age_limits : StateAgeLimits
        How old the known state may become.
    version : int
        Version of the store up to which the objects are known; 0 before a listing.
    store_reachable : bool
        Whether the store has responded since its last failure.
    current_at_ms : float
        Monotonic time at which the known state was current for certain; -inf before
        the first confirmation.
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
    ) -> None:
        self._retries = retries
        self._rarely_changes = rarely_changes
        self.age_limits = age_limits
        self._platform = platform
        self.kind = kind
        self._subscriber = subscriber
        self._timers = timers
        self._random = random
        self._on_update = on_update
        self._logger = logger
        self._objects: dict[str, StoredObject] = {}
        self._listing: RelayListing | None = None
        self.version = 0
        self.store_reachable = False
        self.current_at_ms = -math.inf
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
        if self.version == 0:
            self._list()
        elif self._retries.in_doubt:
            self._call_in_turn(self._watch_at_first)
        else:
            self._begin_watch()

    def follow_relay(self) -> None:
        """Stop following the store; updates come from a relay through `apply`."""
        self._follows_store = False
        self._stop()

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
    def reaches_store(self) -> bool:
        """Whether the kind follows the store itself, which answers."""
        return self._follows_store and self.store_reachable

    @property
    def age_ms(self) -> float:
        """Time since the known state was current for certain."""
        return self._timers.now_ms() - self.current_at_ms

    def is_outdated(self, listing: RelayListing) -> bool:
        """Return whether a listing is older than the known state and differs."""
        if listing.version >= self.version:
            return False
        return {stored.name: stored for stored in listing.objects} != self._objects

    def listing(self) -> RelayListing:
        """Return all known objects, for a daemon that begins to follow this one.

        The same listing is returned until something changes.
        """
        if self._listing is None:
            objects = tuple(self._objects.values())
            self._listing = RelayListing(self.kind, self.version, objects)
        return self._listing

    def apply(self, message: RelayMessage) -> None:
        """Apply an update from the store or from the relaying daemon, and notify."""
        self._listing = None
        match message:
            case RelayListing(_, version, objects):
                self._log_listing(version, len(objects))
                self._objects = {stored.name: stored for stored in objects}
                self.version = max(self.version, version)
                self._subscriber.listed(objects)
            case RelayChange(stored) if self._knows_newer(stored):
                pass
            case RelayChange(stored):
                self._objects[stored.name] = stored
                self._subscriber.changed(stored)
            case RelayRemoval(_, name):
                self._objects.pop(name, None)
                self._subscriber.removed(name)
            case RelayConfirmation(_, version, age_ms):
                self.version = max(self.version, version)
                self.store_reachable = True
                current_at_ms = self._timers.now_ms() - age_ms
                self.current_at_ms = max(self.current_at_ms, current_at_ms)
                self._subscriber.confirmed()
            case RelayStoreLost(reason):
                self.store_reachable = False
                self._subscriber.store_unreachable(reason)

    def _knows_newer(self, stored: StoredObject) -> bool:
        known = self._objects.get(stored.name)
        return known is not None and known.version > stored.version

    def _log_listing(self, version: int, count: int) -> None:
        self._logger.info(
            "kind_listed",
            kind=self.kind.value,
            version=version,
            version_known=self.version,
            objects=count,
            source="store" if self._follows_store else "relay",
        )

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
        return len(self._objects) <= MAX_OBJECTS_LISTED and self.age_ms >= age_limit_ms

    def _watch(self, age_ms: float | None = None) -> None:
        epoch = self._epoch
        self._reported_ms = self._timers.now_ms()

        def on_event(event: WatchEvent) -> None:
            if epoch == self._epoch:
                self._on_event(event)

        self._active_watch = self._platform.watch(
            self.kind, self.version, on_event, self.age_ms if age_ms is None else age_ms
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
            if self.version == 0:
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


__all__ = ["KindFeed", "Subscriber"]
