"""Objects with versions, conditional writes and a resumable change log."""

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

LOG_LENGTH = 500
LogEntry = Changed | Deleted


class ObjectStore:
    """The state of the platform stand-in, without any transport.

    Attributes
    ----------
    calls : Counter
        Calls by verb; a waiting watch counts as one.
    """

    def __init__(self) -> None:
        self._version = 0
        self._oldest = 0
        self._objects: dict[tuple[Kind, str], StoredObject] = {}
        self._log: deque[LogEntry] = deque(maxlen=LOG_LENGTH)
        self._watchers: dict[int, tuple[Kind, Callable[[LogEntry], None]]] = {}
        self._next_watcher = 0
        self.calls: Counter[str] = Counter()

    def read(self, kind: Kind, name: str) -> Found | Missing:
        """Return one object."""
        self.calls["read"] += 1
        stored = self._objects.get((kind, name))
        return Missing() if stored is None else Found(stored)

    def list_all(self, kind: Kind) -> Listed:
        """Return all objects of a kind."""
        self.calls["list"] += 1
        objects = tuple(o for key, o in self._objects.items() if key[0] is kind)
        return Listed(objects, self._version)

    def write(
        self, kind: Kind, name: str, spec: dict[str, Any], version: int | None
    ) -> Written | Conflicted:
        """Create (`version` None) or replace an object at this version."""
        self.calls["write"] += 1
        known = self._objects.get((kind, name))
        if (known.version if known else None) != version:
            return Conflicted()
        if known is None:
            created_version = self._version + 1
            return self._store(StoredObject(kind, name, 0, spec, None, created_version))
        stored = attrs.evolve(known, spec=spec)
        return self._store(stored) if stored != known else Written(known)

    def _store(self, stored: StoredObject) -> Written:
        self._version += 1
        stored = attrs.evolve(stored, version=self._version)
        self._objects[stored.kind, stored.name] = stored
        self._publish(Changed(stored))
        return Written(stored)

    def write_status(
        self, kind: Kind, name: str, status: dict[str, Any], version: int | None
    ) -> Written | Conflicted:
        """Replace an object's status; `version` None writes without a condition."""
        self.calls["write"] += 1
        known = self._objects.get((kind, name))
        if known is None or version not in (None, known.version):
            return Conflicted()
        stored = attrs.evolve(known, status=status)
        return self._store(stored) if stored != known else Written(known)

    def put(self, kind: Kind, name: str, spec: dict[str, Any]) -> StoredObject:
        """Write without a condition, as the platform itself does."""
        known = self._objects.get((kind, name))
        written = self.write(kind, name, spec, known.version if known else None)
        if isinstance(written, Conflicted):
            raise AssertionError("an unconditional write cannot conflict")
        return written.stored

    def delete(self, kind: Kind, name: str) -> bool:
        """Delete an object; False when there is none."""
        self.calls["delete"] += 1
        if self._objects.pop((kind, name), None) is None:
            return False
        self._version += 1
        self._publish(Deleted(kind, name, self._version))
        return True

    @property
    def watchers(self) -> int:
        """Watches that wait."""
        return len(self._watchers)

    @property
    def version(self) -> int:
        """Version of the last change."""
        return self._version

    def compact(self) -> None:
        """Forget the history: a watch from an earlier version has to list anew."""
        self._log.clear()
        self._oldest = self._version

    def changes_since(self, kind: Kind, version: int) -> list[LogEntry] | None:
        """Return later changes; None when the log does not reach back so far."""
        if version < self._oldest:
            return None
        return [
            entry
            for entry in self._log
            if self._entry_version(entry) > version and self._entry_kind(entry) is kind
        ]

    def subscribe(self, kind: Kind, on_entry: Callable[[LogEntry], None]) -> int:
        """Report each later change of a kind; returns a watcher number."""
        self.calls["watch"] += 1
        self._next_watcher += 1
        self._watchers[self._next_watcher] = (kind, on_entry)
        return self._next_watcher

    def unsubscribe(self, watcher: int) -> None:
        """End a watch."""
        self._watchers.pop(watcher, None)

    def _publish(self, entry: LogEntry) -> None:
        if len(self._log) == LOG_LENGTH:
            self._oldest = self._entry_version(self._log[0])
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
