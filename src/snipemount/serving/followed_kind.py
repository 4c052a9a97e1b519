"""One kind of object in the platform's store, listed once and then followed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..ports.platform import Changed, Deleted, Expired, Failed, Listed, Unchanged

if TYPE_CHECKING:
    from random import Random

    from ..ports.platform import (
        Kind,
        ListResult,
        PlatformPort,
        StoredObject,
        WatchEvent,
    )
    from ..timers import TimerService

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
    """

    def __init__(
        self,
        platform: PlatformPort,
        kind: Kind,
        subscriber: Subscriber,
        timers: TimerService,
        random: Random,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._subscriber = subscriber
        self._timers = timers
        self._random = random
        self._version = 0
        self._backoff_ms = FIRST_BACKOFF_MS

    def start(self) -> None:
        """List all objects, then follow their changes."""
        self._platform.list_all(self._kind, self._listed)

    def _listed(self, result: ListResult) -> None:
        match result:
            case Listed(objects, version):
                self._in_contact(version)
                self._subscriber.listed(objects)
                self._subscriber.contact()
                self._watch()
            case Failed(detail):
                self._subscriber.contact_lost(detail)
                self._later(self.start)

    def _watch(self) -> None:
        self._platform.watch(self._kind, self._version, self._event)

    def _event(self, event: WatchEvent) -> None:
        match event:
            case Changed(stored):
                self._subscriber.changed(stored)
            case Deleted(_, name, _):
                self._subscriber.removed(name)
            case Unchanged(version):
                self._in_contact(version)
                self._subscriber.contact()
            case Expired():
                self._later(self.start)
            case Failed(detail):
                self._subscriber.contact_lost(detail)
                self._later(self._watch)

    def _in_contact(self, version: int) -> None:
        self._version = version
        self._backoff_ms = FIRST_BACKOFF_MS

    def _later(self, again: object) -> None:
        delay_ms = self._backoff_ms * (1.0 + JITTER * self._random.random())
        self._backoff_ms = min(LONGEST_BACKOFF_MS, 2.0 * self._backoff_ms)
        self._timers.call_later(delay_ms, again)  # type: ignore[arg-type]


__all__ = ["FollowedKind", "Subscriber"]
