"""One kind of object in the platform's store, followed directly or over a relay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayListing,
    RelayLoss,
    RelayRemoval,
)
from ..ports.platform import Changed, Deleted, Expired, Failed, Listed, Unchanged

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

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
LONGEST_BACKOFF_MS = 700.0
JITTER = 0.4


class Subscriber(Protocol):
    """What is told of a followed kind."""

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all objects."""

    def changed(self, stored: StoredObject) -> None:
        """Take one object as it is now."""

    def removed(self, name: str) -> None:
        """Take the removal of an object."""

    def contact(self) -> None:
        """Note that what is known is confirmed as of now."""

    def contact_lost(self, reason: str) -> None:
        """Note that the store does not answer."""


class FollowedKind:
    """Keeps a subscriber up to date through failures of the store.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    kind : Kind
        Kind to follow.
    subscriber : Subscriber
        Who is told.
    timers : TimerService
        Time.
    random : Random
        Spreads the retries of many daemons.
    on_news : Callable
        Gets what was heard from the store itself, to pass it on.
    poll_ms : float or None
        Lists the kind so often, seconds old at worst, instead of watching it.
    """

    def __init__(
        self,
        platform: PlatformPort,
        kind: Kind,
        subscriber: Subscriber,
        timers: TimerService,
        random: Random,
        on_news: Callable[[RelayMessage], None],
        poll_ms: float | None = None,
    ) -> None:
        self._platform = platform
        self.kind = kind
        self._subscriber = subscriber
        self._timers = timers
        self._random = random
        self._on_news = on_news
        self._poll_ms = poll_ms
        self._objects: dict[str, StoredObject] = {}
        self.version = 0
        self.in_contact = False
        self._backoff_ms = FIRST_BACKOFF_MS
        self._watching: Watch | None = None
        self._timer: Timer | None = None
        self._epoch = 0
        self._direct = False

    def follow_store(self) -> None:
        """Follow the store itself, from what is known already."""
        if self._direct:
            return
        self._direct = True
        self._epoch += 1
        if self.version == 0 or self._poll_ms is not None:
            self._list()
        else:
            self._watch()

    def follow_relay(self) -> None:
        """Leave the store; what is heard comes over a relay from now on."""
        self._direct = False
        self._epoch += 1
        if self._watching is not None:
            self._watching.cancel()
            self._watching = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def is_past(self, version: int) -> bool:
        """Return whether more is known than a listing of this version tells."""
        return self._poll_ms is None and version < self.version

    def listing(self) -> RelayListing:
        """Return all that is known, for a new follower."""
        return RelayListing(self.kind, self.version, tuple(self._objects.values()))

    def take(self, message: RelayMessage) -> None:
        """Take what the store told, here or at the daemon that is followed."""
        match message:
            case RelayListing(_, version, objects):
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
                self.in_contact = True
                self._subscriber.contact()
            case RelayLoss(reason):
                self.in_contact = False
                self._subscriber.contact_lost(reason)

    def _news(self, message: RelayMessage) -> None:
        self.take(message)
        self._on_news(message)

    def _list(self) -> None:
        epoch = self._epoch
        polled = self._poll_ms is not None

        def done(result: ListResult) -> None:
            if epoch == self._epoch:
                self._listed(result)

        self._platform.list_all(self.kind, done, may_be_stale=polled)

    def _listed(self, result: ListResult) -> None:
        match result:
            case Listed(objects, version):
                self._take_listing(objects, version)
                self._backoff_ms = FIRST_BACKOFF_MS
                if self._poll_ms is None:
                    self._watch()
                else:
                    self._timer = self._timers.call_later(self._poll_ms, self._list)
            case Failed(detail):
                self._news(RelayLoss(detail))
                self._later(self._list)

    def _take_listing(self, objects: tuple[StoredObject, ...], version: int) -> None:
        known = {stored.name: stored for stored in objects}
        if self._poll_ms is None or known != self._objects or self.version == 0:
            self._news(RelayListing(self.kind, version, objects))
        self._news(RelayConfirmation(self.kind, version))

    def _watch(self) -> None:
        epoch = self._epoch

        def on_event(event: WatchEvent) -> None:
            if epoch == self._epoch:
                self._event(event)

        self._watching = self._platform.watch(self.kind, self.version, on_event)

    def _event(self, event: WatchEvent) -> None:
        match event:
            case Changed(stored):
                self._news(RelayChange(stored))
            case Deleted(kind, name, _):
                self._news(RelayRemoval(kind, name))
            case Unchanged(version):
                self._backoff_ms = FIRST_BACKOFF_MS
                self._news(RelayConfirmation(self.kind, version))
            case Expired():
                self._later(self._list)
            case Failed(detail):
                self._news(RelayLoss(detail))
                self._later(self._watch)

    def _later(self, again: Callable[[], None]) -> None:
        delay_ms = self._backoff_ms * (1.0 + JITTER * self._random.random())
        self._backoff_ms = min(LONGEST_BACKOFF_MS, 2.0 * self._backoff_ms)
        self._timer = self._timers.call_later(delay_ms, again)


__all__ = ["FollowedKind", "Subscriber"]
