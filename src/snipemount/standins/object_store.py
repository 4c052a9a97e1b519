"""In-memory store with versions, conditional writes and a change log."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import attrs

from ..model.store_version import NO_VERSION, StoreVersion
from ..ports.platform import (
    Changed,
    Conflicted,
    Deleted,
    Found,
    Kind,
    Listed,
    Missing,
    StoredObject,
    Written,
)

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_LOG_ENTRIES = 500
LogEntry = Changed | Deleted


class ObjectStore:
    """Objects of the platform stand-in and the log of their changes.

    As the platform's store does, it compares the numbers of versions and ignores their
    eras.

    Attributes
    ----------
    era : int
        Rises by one with each return from an older copy.
    calls : Counter
        Number of calls by operation; each subscription counts as one "watch".
    """

    def __init__(self) -> None:
        self.era = 1
        self._version = 0
        self._log_start_version = 0
        self._objects: dict[tuple[Kind, str], StoredObject] = {}
        self._log: deque[LogEntry] = deque(maxlen=MAX_LOG_ENTRIES)
        self._watchers: dict[int, tuple[Kind, Callable[[LogEntry], None]]] = {}
        self._last_watcher = 0
        self.calls: Counter[str] = Counter()

    def read(self, kind: Kind, name: str) -> Found | Missing:
        """Return an object, or `Missing` when there is none."""
        self.calls["read"] += 1
        stored = self._objects.get((kind, name))
        return Missing() if stored is None else Found(stored)

    def list_all(self, kind: Kind) -> Listed:
        """Return all objects of a kind and the version of the listing."""
        self.calls["list"] += 1
        objects = tuple(o for key, o in self._objects.items() if key[0] is kind)
        return Listed(objects, self.version)

    def copy(self) -> ObjectStore:
        """Return a store with the same state, for later stale reads or a return."""
        copied = ObjectStore()
        copied.era = self.era
        copied._objects = dict(self._objects)
        copied._version = self._version
        copied._log = self._log.copy()
        copied._log_start_version = self._log_start_version
        return copied

    def return_from(self, copied: ObjectStore) -> None:
        """Take the state of an older copy, in a new era; what came after it is lost."""
        self.era += 1
        self._objects = {
            key: self._in_era(stored) for key, stored in copied._objects.items()
        }
        self._version = copied._version
        self._log.clear()
        self._log_start_version = copied._log_start_version
        for entry in copied._log:
            if isinstance(entry, Changed):
                self._log.append(Changed(self._in_era(entry.stored)))
            else:
                version = StoreVersion(self.era, entry.version.number)
                self._log.append(attrs.evolve(entry, version=version))

    def _in_era(self, stored: StoredObject) -> StoredObject:
        version = StoreVersion(self.era, stored.version.number)
        return attrs.evolve(stored, version=version)

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: StoreVersion | None,
    ) -> Written | Conflicted:
        """Create an object (`version` None) or replace the one with this version.

        Return `Conflicted` when the stored version is another. A replacement that
        changes nothing keeps the version and is not logged.
        """
        self.calls["write"] += 1
        current = self._objects.get((kind, name))
        if _number_of(current.version if current else None) != _number_of(version):
            return Conflicted()
        if current is None:
            created_version = self._version + 1
            created = StoredObject(kind, name, NO_VERSION, spec, None, created_version)
            return self._store(created)
        stored = attrs.evolve(current, spec=spec)
        return self._store(stored) if stored != current else Written(current)

    def _store(self, stored: StoredObject) -> Written:
        self._version += 1
        stored = attrs.evolve(stored, version=self.version)
        self._objects[stored.kind, stored.name] = stored
        self._publish(Changed(stored))
        return Written(stored)

    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: StoreVersion | None,
    ) -> Written | Conflicted:
        """Replace an object's status; `version` None skips the version check."""
        self.calls["write"] += 1
        current = self._objects.get((kind, name))
        if current is None:
            return Conflicted()
        if version is not None and version.number != current.version.number:
            return Conflicted()
        stored = attrs.evolve(current, status=status)
        return self._store(stored) if stored != current else Written(current)

    def put(self, kind: Kind, name: str, spec: dict[str, Any]) -> StoredObject:
        """Create or replace an object unconditionally, as the platform itself does."""
        current = self._objects.get((kind, name))
        written = self.write(kind, name, spec, current.version if current else None)
        if isinstance(written, Conflicted):
            raise AssertionError("an unconditional write was reported as conflicted")
        return written.stored

    def delete(self, kind: Kind, name: str) -> bool:
        """Delete an object; return False when there is none."""
        self.calls["delete"] += 1
        if self._objects.pop((kind, name), None) is None:
            return False
        self._version += 1
        self._publish(Deleted(kind, name, self.version))
        return True

    @property
    def watchers(self) -> int:
        """Number of active subscriptions."""
        return len(self._watchers)

    @property
    def version(self) -> StoreVersion:
        """Version of the last change."""
        return StoreVersion(self.era, self._version)

    def compact(self) -> None:
        """Drop the change log; watches from an earlier version must list again."""
        self._log.clear()
        self._log_start_version = self._version

    def skip_versions(self, count: int) -> None:
        """Raise the version as changes of objects of other kinds would."""
        self._version += count

    def changes_since(self, kind: Kind, version: StoreVersion) -> list[LogEntry] | None:
        """Return the changes after a version; None when the log does not have it."""
        since = version.number
        if not self._log_start_version <= since <= self._version:
            return None
        return [
            entry
            for entry in self._log
            if self._entry_version(entry) > since and self._entry_kind(entry) is kind
        ]

    def subscribe(self, kind: Kind, on_entry: Callable[[LogEntry], None]) -> int:
        """Call `on_entry` on each later change of a kind; return a watcher number."""
        self.calls["watch"] += 1
        self._last_watcher += 1
        self._watchers[self._last_watcher] = (kind, on_entry)
        return self._last_watcher

    def unsubscribe(self, watcher: int) -> None:
        """End a subscription; do nothing when it has ended."""
        self._watchers.pop(watcher, None)

    def _publish(self, entry: LogEntry) -> None:
        if len(self._log) == MAX_LOG_ENTRIES:
            self._log_start_version = self._entry_version(self._log[0])
        self._log.append(entry)
        for kind, on_entry in list(self._watchers.values()):
            if kind is self._entry_kind(entry):
                on_entry(entry)

    @staticmethod
    def _entry_version(entry: LogEntry) -> int:
        version = entry.stored.version if isinstance(entry, Changed) else entry.version
        return version.number

    @staticmethod
    def _entry_kind(entry: LogEntry) -> Kind:
        return entry.stored.kind if isinstance(entry, Changed) else entry.kind


def _number_of(version: StoreVersion | None) -> int | None:
    return None if version is None else version.number


__all__ = ["LogEntry", "ObjectStore"]
