"""Local copy of the services, profiles, members, zones and moves in the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cattrs

from ..decisions.fleet.membership import Member
from ..model.catalogue import ServiceRecord, ZoneRecord
from ..model.move import MoveRecord
from ..model.profile import Profile
from ..model.store_version import NO_VERSION, StoreVersion, later_of
from ..ports.platform import Changed, Deleted, Expired, Failed, Kind, Listed

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..model.fleet import ShardMap
    from ..ports.platform import ListResult, PlatformPort, StoredObject, WatchEvent
    from ..timers import TimerService

INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 5000.0
RECORD_TYPES = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: ServiceRecord,
    Kind.MEMBER: Member,
    Kind.ZONE: ZoneRecord,
    Kind.MOVE: MoveRecord,
}
CatalogueRecord = Profile | ServiceRecord | Member | ZoneRecord | MoveRecord
record_converter = cattrs.Converter(forbid_extra_keys=False)


@attrs.define(eq=False)
class KindState:
    """Local copy of the objects of one kind.

    Parameters
    ----------
    version : StoreVersion
        Store version up to which changes have been received.
    records : dict of str to CatalogueRecord
        Decoded objects by name.
    versions : dict of str to StoreVersion
        Store version of each object by name.
    stored : dict of str to StoredObject
        Objects by name, as the platform stores them.
    failures : int
        Consecutive failed calls, at most 10; sets the backoff.
    listed : bool
        Whether all objects of the kind have been received at least once, from
        the platform or from another daemon.
    """

    version: StoreVersion = NO_VERSION
    records: dict[str, CatalogueRecord] = attrs.Factory(dict)
    versions: dict[str, StoreVersion] = attrs.Factory(dict)
    stored: dict[str, StoredObject] = attrs.Factory(dict)
    failures: int = 0
    listed: bool = False


class Catalogue:
    """Local copy of the platform's objects, kept up to date by one watch per kind.

    Each kind is listed once and then watched. After a failure the watch resumes
    from the last version received, after a jittered backoff; the kind is listed
    again only if the platform no longer has the changes since that version. An
    object that is older than the local copy is ignored.

    Parameters
    ----------
    platform : PlatformPort
        Store that is listed and watched.
    timers : TimerService
        Timer for the backoff.
    random : Random
        Source of jitter.
    on_change : Callable
        Called with the kind after each listing, watch event or report of a peer
        that was applied.
    """

    def __init__(
        self,
        platform: PlatformPort,
        timers: TimerService,
        random: Random,
        on_change: Callable[[Kind], None],
    ) -> None:
        self._platform = platform
        self._timers = timers
        self._random = random
        self._on_change = on_change
        self._kinds = {kind: KindState() for kind in RECORD_TYPES}
        self._shard_maps: dict[str, ShardMap | None] = {}

    @property
    def ready(self) -> bool:
        """Whether all objects of every kind have been received at least once."""
        return all(state.listed for state in self._kinds.values())

    def start(self) -> None:
        """Start to list and watch every kind."""
        for kind in self._kinds:
            self._list(kind)

    def service(self, name: str) -> ServiceRecord | None:
        """Return the service called `name`; None if unknown."""
        found = self._kinds[Kind.SERVICE].records.get(name)
        return found if isinstance(found, ServiceRecord) else None

    def services(self) -> tuple[ServiceRecord, ...]:
        """Return all services."""
        found = self._kinds[Kind.SERVICE].records.values()
        return tuple(r for r in found if isinstance(r, ServiceRecord))

    def profile(self, name: str) -> Profile | None:
        """Return the highest known revision of the profile `name`; None if unknown."""
        found = self._kinds[Kind.PROFILE].records.get(name)
        return found if isinstance(found, Profile) else None

    def profiles(self) -> tuple[Profile, ...]:
        """Return all profiles."""
        found = self._kinds[Kind.PROFILE].records.values()
        return tuple(r for r in found if isinstance(r, Profile))

    def stored_object(self, kind: Kind, name: str) -> StoredObject | None:
        """Return one object as the platform stores it; None if unknown."""
        return self._kinds[kind].stored.get(name)

    def members(self) -> tuple[Member, ...]:
        """Return the daemons that the platform lists."""
        found = self._kinds[Kind.MEMBER].records.values()
        return tuple(r for r in found if isinstance(r, Member))

    def zones_out(self) -> frozenset[str]:
        """Return the availability zones that operators have taken out."""
        found = self._kinds[Kind.ZONE].records.values()
        return frozenset(r.name for r in found if isinstance(r, ZoneRecord) and r.out)

    def moves(self) -> tuple[MoveRecord, ...]:
        """Return all version moves."""
        found = self._kinds[Kind.MOVE].records.values()
        return tuple(r for r in found if isinstance(r, MoveRecord))

    def shard_map(self, service: str, version: str | None = None) -> ShardMap | None:
        """Return the shard map of a version, by default of the active one.

        Falls back to the active version if `version` is not running. None if the
        service is unknown or has no running version.
        """
        key = f"{service}/{version}"
        if key not in self._shard_maps:
            record = self.service(service)
            found = record.shard_map(version or record.active) if record else None
            if found is None and record is not None:
                found = record.shard_map(record.active)
            self._shard_maps[key] = found
        return self._shard_maps[key]

    def version(self, kind: Kind) -> StoreVersion:
        """Return the store version up to which changes of a kind are known."""
        return self._kinds[kind].version

    def stored(self, kind: Kind) -> tuple[StoredObject, ...]:
        """Return the objects of a kind as the platform stores them."""
        return tuple(self._kinds[kind].stored.values())

    def apply_peer_listing(
        self, kind: Kind, version: StoreVersion, objects: tuple[StoredObject, ...]
    ) -> None:
        """Replace all objects of a kind by those of a peer if its version is higher."""
        state = self._kinds[kind]
        if not state.version.precedes(version):
            return
        state.listed = True
        self._apply_all(kind, objects)
        state.version = version
        self._notify_change(kind)

    def _list(self, kind: Kind) -> None:
        self._platform.list_all(kind, lambda result: self._on_listed(kind, result))

    def _on_listed(self, kind: Kind, result: ListResult) -> None:
        if not isinstance(result, Listed):
            self._retry_after_backoff(kind, lambda: self._list(kind))
            return
        state = self._kinds[kind]
        state.failures = 0
        state.listed = True
        if not result.version.precedes(state.version):
            self._apply_all(kind, result.objects)
        state.version = later_of(state.version, result.version)
        self._notify_change(kind)
        self._watch(kind)

    def _watch(self, kind: Kind) -> None:
        version = self._kinds[kind].version
        self._platform.watch(kind, version, lambda event: self._on_event(kind, event))

    def _on_event(self, kind: Kind, event: WatchEvent) -> None:
        state = self._kinds[kind]
        match event:
            case Changed(stored):
                state.failures = 0
                state.version = later_of(state.version, stored.version)
                self._apply(stored)
                self._notify_change(kind)
            case Deleted(_, name, version):
                state.version = later_of(state.version, version)
                if state.versions.get(name, NO_VERSION).precedes(version):
                    self._remove(kind, name)
                self._notify_change(kind)
            case Expired():
                self._list(kind)
            case Failed():
                self._retry_after_backoff(kind, lambda: self._watch(kind))

    def _apply_all(self, kind: Kind, objects: tuple[StoredObject, ...]) -> None:
        names = {stored.name for stored in objects}
        for name in [n for n in self._kinds[kind].records if n not in names]:
            self._remove(kind, name)
        for stored in objects:
            self._apply(stored)

    def _remove(self, kind: Kind, name: str) -> None:
        state = self._kinds[kind]
        state.records.pop(name, None)
        state.versions.pop(name, None)
        state.stored.pop(name, None)

    def _apply(self, stored: StoredObject) -> None:
        state = self._kinds[stored.kind]
        if stored.version.precedes(state.versions.get(stored.name, NO_VERSION)):
            return
        try:
            record: CatalogueRecord = record_converter.structure(
                stored.spec, RECORD_TYPES[stored.kind]
            )
        except (cattrs.BaseValidationError, TypeError, ValueError, KeyError):
            return
        if isinstance(record, Profile):
            record = attrs.evolve(record, revision=stored.version.number)
        state.records[stored.name] = record
        state.versions[stored.name] = stored.version
        state.stored[stored.name] = stored

    def _notify_change(self, kind: Kind) -> None:
        self._shard_maps.clear()
        self._on_change(kind)

    def _retry_after_backoff(self, kind: Kind, action: Callable[[], None]) -> None:
        state = self._kinds[kind]
        max_delay_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0**state.failures)
        state.failures = min(state.failures + 1, 10)
        self._timers.call_later(max_delay_ms * self._random.uniform(0.5, 1.0), action)


__all__ = ["Catalogue", "record_converter"]
