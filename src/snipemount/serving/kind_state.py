"""Known objects of one kind of the platform's store."""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

import attrs

from ..decisions.fleet.store_return import (
    KeepForGrace,
    KeepNewest,
    merge_listing,
    outranks,
)
from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayListing,
    RelayRemoval,
    RelayStoreLost,
)
from ..model.store_version import later_of

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..decisions.fleet.store_return import ReturnRule, UnsettledObject
    from ..model.relay import RelayMessage
    from ..model.store_version import StoreVersion
    from ..ports.platform import Kind, StoredObject
    from ..timers import TimerService

# A copy from which the store returns is some seconds old.
REMOVED_KEPT_MS = 30_000.0
MAX_REMOVED = 500


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


@attrs.frozen
class RemovedObject:
    """An object that was removed, and when."""

    stored: StoredObject
    at_ms: float


class KindState:
    """Applies updates of one kind, and notifies a subscriber of them.

    Parameters
    ----------
    kind : Kind
        Kind of the objects.
    subscriber : Subscriber
        Notified of listings, changes and the state of the store.
    rule : ReturnRule
        What stays known when the store returns from an older copy.
    timers : TimerService
        Monotonic clock.
    logger : FilteringBoundLogger
        Receives the listings applied.

    Attributes
    ----------
    version : StoreVersion or None
        Version of the store up to which the objects are known; None before a listing.
    store_reachable : bool
        Whether the store has responded since its last failure.
    current_at_ms : float
        Monotonic time at which the known state was current for certain; -inf before
        the first confirmation.
    """

    def __init__(
        self,
        kind: Kind,
        subscriber: Subscriber,
        rule: ReturnRule,
        timers: TimerService,
        logger: FilteringBoundLogger,
    ) -> None:
        self._kind = kind
        self._subscriber = subscriber
        self._rule = rule
        self._timers = timers
        self._logger = logger
        self._objects: dict[str, StoredObject] = {}
        self._removed: OrderedDict[str, RemovedObject] = OrderedDict()
        self._unsettled: dict[str, UnsettledObject] = {}
        self._listing: RelayListing | None = None
        self._return_noted_ms: float | None = None
        self.version: StoreVersion | None = None
        self.store_reachable = False
        self.current_at_ms = -math.inf

    def __len__(self) -> int:
        return len(self._objects)

    @property
    def next_settling_ms(self) -> float:
        """Time at which the next grace time ends; inf if nothing is unsettled."""
        return min((u.until_ms for u in self._unsettled.values()), default=math.inf)

    def note_return(self) -> None:
        """Let grace times count from now, though the listing comes later."""
        self._return_noted_ms = self._timers.now_ms()

    def is_outdated(self, listing: RelayListing) -> bool:
        """Return whether a listing is older than the known state and differs.

        One of an earlier era is outdated also if it does not differ: what confirms it
        later is worth nothing.
        """
        if self.version is None or not listing.version.precedes(self.version):
            return False
        if not listing.version.is_same_history(self.version):
            return True
        return {stored.name: stored for stored in listing.objects} != self._objects

    def listing(self) -> RelayListing:
        """Return all known objects, for a daemon that begins to follow this one.

        The same listing is returned until something changes.

        Raises
        ------
        ValueError
            When no listing has been applied yet.
        """
        if self.version is None:
            raise ValueError(f"{self._kind.value} have not been listed yet")
        if self._listing is None:
            objects = tuple(self._objects.values())
            self._listing = RelayListing(self._kind, self.version, objects)
        return self._listing

    def apply(self, message: RelayMessage, source: str) -> None:
        """Apply an update, and notify.

        Parameters
        ----------
        message : RelayMessage
            The update.
        source : str
            Who has sent it, for the log.
        """
        self._listing = None
        match message:
            case RelayListing(_, version, objects):
                self._replace(version, objects, source)
            case RelayChange(stored) if self._knows_newer(stored):
                pass
            case RelayChange(stored):
                self._unsettled.pop(stored.name, None)
                self._objects[stored.name] = stored
                self._subscriber.changed(stored)
            case RelayRemoval(_, name):
                self._unsettled.pop(name, None)
                self._note_removed(self._objects.pop(name, None))
                self._subscriber.removed(name)
            case RelayConfirmation(_, version, age_ms):
                self._confirm(version, age_ms)
            case RelayStoreLost(reason):
                self.store_reachable = False
                self._subscriber.store_unreachable(reason)

    def take_settled(self) -> list[RelayMessage]:
        """Return updates to what the store holds of objects whose grace time is over.

        A store that does not answer may not hold that any more.
        """
        if not self.store_reachable:
            return []
        now_ms = self._timers.now_ms()
        updates: list[RelayMessage] = []
        for name, unsettled in list(self._unsettled.items()):
            if now_ms < unsettled.until_ms:
                continue
            del self._unsettled[name]
            if unsettled.stored is not None:
                updates.append(RelayChange(unsettled.stored))
            else:
                updates.append(RelayRemoval(self._kind, name))
        return updates

    def _replace(
        self, version: StoreVersion, objects: tuple[StoredObject, ...], source: str
    ) -> None:
        self._log_listing(version, len(objects), source)
        known = self.version
        if known is not None and not version.is_same_history(known):
            objects = self._merge_return(known, version, objects)
            self.version = version
        else:
            objects = self._with_unsettled(objects)
            self.version = version if known is None else later_of(known, version)
        by_name = {stored.name: stored for stored in objects}
        for name, stored in self._objects.items():
            if name not in by_name:
                self._note_removed(stored)
        self._objects = by_name
        self._subscriber.listed(objects)

    def _merge_return(
        self,
        known: StoreVersion,
        version: StoreVersion,
        objects: tuple[StoredObject, ...],
    ) -> tuple[StoredObject, ...]:
        since_ms = self._return_noted_ms or self._timers.now_ms()
        self._return_noted_ms = None
        removed = {name: gone.stored for name, gone in self._removed.items()}
        merged = merge_listing(self._rule, self._objects, removed, objects, since_ms)
        self._unsettled = dict(merged.unsettled)
        self._logger.warning(
            "kind_returned",
            kind=self._kind.value,
            era=version.era,
            era_known=known.era,
            version=version.number,
            version_known=known.number,
            unsettled=len(merged.unsettled),
        )
        return merged.objects

    def _with_unsettled(
        self, objects: tuple[StoredObject, ...]
    ) -> tuple[StoredObject, ...]:
        """Return a later listing of the era, with the known state of what stays so."""
        if not self._unsettled:
            return objects
        by_name = {stored.name: stored for stored in objects}
        for name, unsettled in list(self._unsettled.items()):
            if by_name.get(name) != unsettled.stored:
                del self._unsettled[name]
            elif name in self._objects:
                by_name[name] = self._objects[name]
            else:
                del by_name[name]
        return tuple(by_name.values())

    def _confirm(self, version: StoreVersion, age_ms: float) -> None:
        if self.version is None or not version.is_same_history(self.version):
            return
        self.version = later_of(self.version, version)
        self.store_reachable = True
        current_at_ms = self._timers.now_ms() - age_ms
        self.current_at_ms = max(self.current_at_ms, current_at_ms)
        self._subscriber.confirmed()

    def _knows_newer(self, stored: StoredObject) -> bool:
        known = self._objects.get(stored.name)
        if known is None:
            return False
        match self._rule:
            case KeepNewest(rank) if not known.version.is_same_history(stored.version):
                return outranks(rank, known, stored)
            case _:
                return stored.version.precedes(known.version)

    def _note_removed(self, stored: StoredObject | None) -> None:
        """Remember a removed object: a copy may hold it still."""
        if stored is None or not isinstance(self._rule, KeepForGrace):
            return
        now_ms = self._timers.now_ms()
        self._removed[stored.name] = RemovedObject(stored, now_ms)
        self._removed.move_to_end(stored.name)
        while self._removed:
            oldest = next(iter(self._removed.values()))
            is_recent = now_ms - oldest.at_ms <= REMOVED_KEPT_MS
            if is_recent and len(self._removed) <= MAX_REMOVED:
                return
            self._removed.popitem(last=False)

    def _log_listing(self, version: StoreVersion, count: int, source: str) -> None:
        known = self.version
        self._logger.info(
            "kind_listed",
            kind=self._kind.value,
            era=version.era,
            version=version.number,
            version_known=0 if known is None else known.number,
            objects=count,
            source=source,
        )


__all__ = ["KindState", "Subscriber"]
