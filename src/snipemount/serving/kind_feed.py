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

FIRST_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 700.0
JITTER_RATIO = 0.4


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
    poll_ms : float or None
        Period at which the kind is listed instead of watched; such a listing may be
        seconds old. None to watch.

    Attributes
    ----------
    version : int
        Version of the store up to which the objects are known; 0 before a listing.
    store_reachable : bool
        Whether the store has responded since its last failure.
    confirmed_ms : float
        Monotonic time of the last confirmation; -inf before the first.
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
        poll_ms: float | None = None,
    ) -> None:
        self._platform = platform
        self.kind = kind
        self._subscriber = subscriber
        self._timers = timers
        self._random = random
        self._on_update = on_update
        self._logger = logger
        self._poll_ms = poll_ms
        self._objects: dict[str, StoredObject] = {}
        self.version = 0
        self.store_reachable = False
        self.confirmed_ms = -math.inf
        self._backoff_ms = FIRST_BACKOFF_MS
        self._active_watch: Watch | None = None
        self._timer: Timer | None = None
        self._epoch = 0
        self._follows_store = False

    def follow_store(self) -> None:
        """Follow the store itself.

        A watch starts at the known version; the kind is listed where there is none yet,
        or where it is polled.
        """
        if self._follows_store:
            return
        self._follows_store = True
        self._epoch += 1
        if self.version == 0 or self._poll_ms is not None:
            self._list()
        else:
            self._watch()

    def follow_relay(self) -> None:
        """Stop following the store; updates come from a relay through `apply`."""
        self._follows_store = False
        self._epoch += 1
        if self._active_watch is not None:
            self._active_watch.cancel()
            self._active_watch = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_newer_than(self, version: int) -> bool:
        """Return whether a listing of this version is older than the known state.

        Never for a polled kind: its listings may be stale.
        """
        return self._poll_ms is None and version < self.version

    def listing(self) -> RelayListing:
        """Return all known objects, for a daemon that begins to follow this one."""
        return RelayListing(self.kind, self.version, tuple(self._objects.values()))

    def apply(self, message: RelayMessage) -> None:
        """Apply an update from the store or from the relaying daemon, and notify."""
        match message:
            case RelayListing(_, version, objects):
                self._log_listing(version, len(objects))
                self._objects = {stored.name: stored for stored in objects}
                self.version = version
                self._subscriber.listed(objects)
            case RelayChange(stored):
                self._objects[stored.name] = stored
                self._subscriber.changed(stored)
            case RelayRemoval(_, name):
                self._objects.pop(name, None)
                self._subscriber.removed(name)
            case RelayConfirmation(_, version):
                self.version = max(self.version, version)
                self.store_reachable = True
                self.confirmed_ms = self._timers.now_ms()
                self._subscriber.confirmed()
            case RelayStoreLost(reason):
                self.store_reachable = False
                self._subscriber.store_unreachable(reason)

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
        is_polled = self._poll_ms is not None

        def done(result: ListResult) -> None:
            if epoch == self._epoch:
                self._on_listed(result)

        self._platform.list_all(self.kind, done, may_be_stale=is_polled)

    def _on_listed(self, result: ListResult) -> None:
        match result:
            case Listed(objects, version):
                self._apply_listing(objects, version)
                self._backoff_ms = FIRST_BACKOFF_MS
                if self._poll_ms is None:
                    self._watch()
                else:
                    self._timer = self._timers.call_later(self._poll_ms, self._list)
            case Failed(detail):
                self._update(RelayStoreLost(detail))
                self._retry_later(self._list)

    def _apply_listing(self, objects: tuple[StoredObject, ...], version: int) -> None:
        new_objects = {stored.name: stored for stored in objects}
        if self._poll_ms is None or new_objects != self._objects or self.version == 0:
            self._update(RelayListing(self.kind, version, objects))
        self._update(RelayConfirmation(self.kind, version))

    def _watch(self) -> None:
        epoch = self._epoch

        def on_event(event: WatchEvent) -> None:
            if epoch == self._epoch:
                self._on_event(event)

        self._active_watch = self._platform.watch(self.kind, self.version, on_event)

    def _on_event(self, event: WatchEvent) -> None:
        match event:
            case Changed(stored):
                self._update(RelayChange(stored))
            case Deleted(kind, name, _):
                self._update(RelayRemoval(kind, name))
            case Confirmed(version):
                self._backoff_ms = FIRST_BACKOFF_MS
                self._update(RelayConfirmation(self.kind, version))
            case Expired():
                self._retry_later(self._list)
            case Failed(detail):
                self._update(RelayStoreLost(detail))
                self._retry_later(self._watch)

    def _retry_later(self, retry: Callable[[], None]) -> None:
        delay_ms = self._backoff_ms * (1.0 + JITTER_RATIO * self._random.random())
        self._backoff_ms = min(MAX_BACKOFF_MS, 2.0 * self._backoff_ms)
        self._timer = self._timers.call_later(delay_ms, retry)


__all__ = ["KindFeed", "Subscriber"]
