"""Services, profiles, members and zones as the platform last told them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import cattrs

from ..decisions.membership import Member
from ..model.catalogue import ServiceRecord, ZoneRecord
from ..model.move import MoveRecord
from ..model.profile import Profile
from ..ports.platform import Changed, Deleted, Expired, Failed, Kind, Listed

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..model.fleet import ShardMap
    from ..ports.platform import ListResult, PlatformPort, StoredObject, WatchEvent
    from ..timers import TimerService

FIRST_BACKOFF_MS = 100.0
LONGEST_BACKOFF_MS = 5000.0
RECORD_TYPES = {
    Kind.PROFILE: Profile,
    Kind.SERVICE: ServiceRecord,
    Kind.MEMBER: Member,
    Kind.ZONE: ZoneRecord,
    Kind.MOVE: MoveRecord,
}
Record = Profile | ServiceRecord | Member | ZoneRecord | MoveRecord
converter = cattrs.Converter(forbid_extra_keys=False)


@attrs.define(eq=False)
class KnownKind:
    """What is known of one kind.

    Parameters
    ----------
    version : int
        Platform version up to which changes have been seen.
    records : dict of str to Record
        Objects by name.
    versions : dict of str to int
        Platform version of each object.
    stored : dict of str to StoredObject
        Objects as they were stored.
    failures : int
        Failures in a row.
    listed : bool
        Whether the kind has been listed at least once.
    """

    version: int = 0
    records: dict[str, Record] = attrs.Factory(dict)
    versions: dict[str, int] = attrs.Factory(dict)
    stored: dict[str, StoredObject] = attrs.Factory(dict)
    failures: int = 0
    listed: bool = False


class Catalogue:
    """Lists each kind once and then follows one watch for it.

    After a failure the watch resumes from the version seen last, after a
    jittered pause; only when the platform says that this is too old is the kind
    listed again. An object older than the known one is ignored.

    Parameters
    ----------
    platform : PlatformPort
        The platform's object API.
    timers : TimerService
        Time.
    random : Random
        Source of jitter.
    on_change : Callable
        Called with the kind after each change.
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
        self._kinds = {kind: KnownKind() for kind in RECORD_TYPES}
        self._maps: dict[str, ShardMap | None] = {}

    @property
    def ready(self) -> bool:
        """Whether every kind has been listed at least once."""
        return all(known.listed for known in self._kinds.values())

    def start(self) -> None:
        """List and watch every kind."""
        for kind in self._kinds:
            self._list(kind)

    def service(self, name: str) -> ServiceRecord | None:
        """Return the service called `name`."""
        found = self._kinds[Kind.SERVICE].records.get(name)
        return found if isinstance(found, ServiceRecord) else None

    def services(self) -> tuple[ServiceRecord, ...]:
        """Return all services."""
        found = self._kinds[Kind.SERVICE].records.values()
        return tuple(r for r in found if isinstance(r, ServiceRecord))

    def profile(self, name: str) -> Profile | None:
        """Return the profile called `name` at the highest revision seen."""
        found = self._kinds[Kind.PROFILE].records.get(name)
        return found if isinstance(found, Profile) else None

    def profiles(self) -> tuple[Profile, ...]:
        """Return all profiles."""
        found = self._kinds[Kind.PROFILE].records.values()
        return tuple(r for r in found if isinstance(r, Profile))

    def stored_object(self, kind: Kind, name: str) -> StoredObject | None:
        """Return one object as it was stored, or None."""
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
        """Return the map of a version, by default of the active one."""
        key = f"{service}/{version}"
        if key not in self._maps:
            record = self.service(service)
            found = record.shard_map(version or record.active) if record else None
            if found is None and record is not None:
                found = record.shard_map(record.active)
            self._maps[key] = found
        return self._maps[key]

    def version(self, kind: Kind) -> int:
        """Return the platform version up to which a kind is known."""
        return self._kinds[kind].version

    def stored(self, kind: Kind) -> tuple[StoredObject, ...]:
        """Return the objects of a kind as they were stored."""
        return tuple(self._kinds[kind].stored.values())

    def take_from_peer(
        self, kind: Kind, version: int, objects: tuple[StoredObject, ...]
    ) -> None:
        """Take all objects of a kind from a daemon that knows a higher version."""
        known = self._kinds[kind]
        if version <= known.version:
            return
        known.listed = True
        self._take_all(kind, objects)
        known.version = version
        self._changed(kind)

    def _list(self, kind: Kind) -> None:
        self._platform.list_all(kind, lambda result: self._listed(kind, result))

    def _listed(self, kind: Kind, result: ListResult) -> None:
        if not isinstance(result, Listed):
            self._after_backoff(kind, lambda: self._list(kind))
            return
        known = self._kinds[kind]
        known.failures = 0
        known.listed = True
        if result.version >= known.version:
            self._take_all(kind, result.objects)
        known.version = max(known.version, result.version)
        self._changed(kind)
        self._watch(kind)

    def _watch(self, kind: Kind) -> None:
        version = self._kinds[kind].version
        self._platform.watch(kind, version, lambda event: self._event(kind, event))

    def _event(self, kind: Kind, event: WatchEvent) -> None:
        known = self._kinds[kind]
        match event:
            case Changed(stored):
                known.failures = 0
                known.version = max(known.version, stored.version)
                self._take(stored)
                self._changed(kind)
            case Deleted(_, name, version):
                known.version = max(known.version, version)
                if version > known.versions.get(name, 0):
                    self._drop(kind, name)
                self._changed(kind)
            case Expired():
                self._list(kind)
            case Failed():
                self._after_backoff(kind, lambda: self._watch(kind))

    def _take_all(self, kind: Kind, objects: tuple[StoredObject, ...]) -> None:
        names = {stored.name for stored in objects}
        for name in [n for n in self._kinds[kind].records if n not in names]:
            self._drop(kind, name)
        for stored in objects:
            self._take(stored)

    def _drop(self, kind: Kind, name: str) -> None:
        known = self._kinds[kind]
        known.records.pop(name, None)
        known.versions.pop(name, None)
        known.stored.pop(name, None)

    def _take(self, stored: StoredObject) -> None:
        known = self._kinds[stored.kind]
        if stored.version < known.versions.get(stored.name, 0):
            return
        try:
            record: Record = converter.structure(stored.spec, RECORD_TYPES[stored.kind])
        except (cattrs.BaseValidationError, TypeError, ValueError, KeyError):
            return
        if isinstance(record, Profile):
            record = attrs.evolve(record, revision=stored.version)
        known.records[stored.name] = record
        known.versions[stored.name] = stored.version
        known.stored[stored.name] = stored

    def _changed(self, kind: Kind) -> None:
        self._maps.clear()
        self._on_change(kind)

    def _after_backoff(self, kind: Kind, action: Callable[[], None]) -> None:
        known = self._kinds[kind]
        longest_ms = min(LONGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2.0**known.failures)
        known.failures = min(known.failures + 1, 10)
        self._timers.call_later(longest_ms * self._random.uniform(0.5, 1.0), action)


__all__ = ["Catalogue", "converter"]
