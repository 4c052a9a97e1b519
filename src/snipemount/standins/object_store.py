"""In-memory store with versions, conditional writes and a change log."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import attrs

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

    Attributes
    ----------
    calls : Counter
        Number of calls by operation; each subscription counts as one "watch".
    """

    def __init__(self) -> None:
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
        return Listed(objects, self._version)

    def copy(self) -> ObjectStore:
        """Return a store with the same objects and version, for later stale reads."""
        copied = ObjectStore()
        copied._objects = dict(self._objects)
        copied._version = self._version
        return copied

    def write(
        self, kind: Kind, name: str, spec: dict[str, Any], version: int | None
    ) -> Written | Conflicted:
        """Create an object (`version` None) or replace the one with this version.

        Return `Conflicted` when the stored version is another. A replacement that
        changes nothing keeps the version and is not logged.
        """
        self.calls["write"] += 1
        current = self._objects.get((kind, name))
        if (current.version if current else None) != version:
            return Conflicted()
        if current is None:
            created_version = self._version + 1
            return self._store(StoredObject(kind, name, 0, spec, None, created_version))
        stored = attrs.evolve(current, spec=spec)
        return self._store(stored) if stored != current else Written(current)

    def _store(self, stored: StoredObject) -> Written:
        self._version += 1
        stored = attrs.evolve(stored, version=self._version)
        self._objects[stored.kind, stored.name] = stored
        self._publish(Changed(stored))
        return Written(stored)

    def write_status(
        self, kind: Kind, name: str, status: dict[str, Any], version: int | None
    ) -> Written | Conflicted:
        """Replace an object's status; `version` None skips the version check."""
        self.calls["write"] += 1
        current = self._objects.get((kind, name))
        if current is None or version not in (None, current.version):
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
        self._publish(Deleted(kind, name, self._version))
        return True

    @property
    def watchers(self) -> int:
        """Number of active subscriptions."""
        return len(self._watchers)

    @property
    def version(self) -> int:
        """Version of the last change."""
        return self._version

    def compact(self) -> None:
        """Drop the change log; watches from an earlier version must list again."""
        self._log.clear()
        self._log_start_version = self._version

    def changes_since(self, kind: Kind, version: int) -> list[LogEntry] | None:
        """Return the changes after a version; None when the log starts later."""
        if version < self._log_start_version:
            return None
        return [
            entry
            for entry in self._log
            if self._entry_version(entry) > version and self._entry_kind(entry) is kind
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
        return entry.stored.version if isinstance(entry, Changed) else entry.version

    @staticmethod
    def _entry_kind(entry: LogEntry) -> Kind:
        return entry.stored.kind if isinstance(entry, Changed) else entry.kind


__all__ = ["LogEntry", "ObjectStore"]
