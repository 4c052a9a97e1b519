"""Port to the platform's object API."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


class Kind(Enum):
    """Kinds of object that the system reads or writes; values are plurals.

    The last four are written by operators and leafs; the platform has names of
    its own for them.
    """

    PROFILE = "profiles"
    SERVICE = "services"
    MEMBER = "members"
    CLAIM_BUCKET = "claimbuckets"
    ZONE = "zones"
    MOVE = "moves"
    EVENT = "events"
    DAEMON = "daemons"
    CONFIGURATION = "configuration"
    LEAF = "leafs"
    VERSION_ORDER = "versionorders"
    ZONE_ORDER = "zoneorders"


@attrs.frozen
class StoredObject:
    """One object of the platform.

    Parameters
    ----------
    kind : Kind
        Kind of object.
    name : str
        Unique in its kind.
    version : int
        Grows with each write to the platform.
    spec : dict
        JSON document; typed by the codec of its kind.
    status : dict or None
        What the system reports about the object.
    created : int
        Version of its creation.
    """

    kind: Kind
    name: str
    version: int
    spec: dict[str, Any]
    status: dict[str, Any] | None = None
    created: int = 0


@attrs.frozen
class Found:
    """A read found the object."""

    stored: StoredObject


@attrs.frozen
class Missing:
    """A read found no such object."""


@attrs.frozen
class Listed:
    """All objects of a kind, as of one version."""

    objects: tuple[StoredObject, ...]
    version: int


@attrs.frozen
class Written:
    """A conditional write took effect."""

    stored: StoredObject


@attrs.frozen
class Conflicted:
    """A conditional write found another version and did nothing."""


@attrs.frozen
class Failed:
    """No answer came; a write may have taken effect."""

    detail: str


@attrs.frozen
class Changed:
    """A watch event: the object as it is now."""

    stored: StoredObject


@attrs.frozen
class Deleted:
    """A watch event: the object is gone."""

    kind: Kind
    name: str
    version: int


@attrs.frozen
class Unchanged:
    """The store confirms that nothing has changed up to `version`."""

    version: int


@attrs.frozen
class Expired:
    """The watch cannot resume from so old a version."""


ReadResult = Found | Missing | Failed
ListResult = Listed | Failed
WriteResult = Written | Conflicted | Failed
WatchEvent = Changed | Deleted | Unchanged | Expired | Failed


class Watch:
    """A watch under way.

    Parameters
    ----------
    stop : Callable
        Ends it.
    """

    def __init__(self, stop: Callable[[], None]) -> None:
        self._stop = stop

    def cancel(self) -> None:
        """End the watch; nothing is reported any more."""
        self._stop()


class PlatformPort(ABC):
    """Reads, conditional writes and watches."""

    @abstractmethod
    def read(self, kind: Kind, name: str, done: Callable[[ReadResult], None]) -> None:
        """Read one object."""

    @abstractmethod
    def list_all(
        self,
        kind: Kind,
        done: Callable[[ListResult], None],
        may_be_stale: bool = False,
    ) -> None:
        """Read all objects of a kind; a stale list may be seconds old."""

    @abstractmethod
    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: int | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create (`version` None) or replace an object at this version."""

    @abstractmethod
    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: int,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object at this version."""

    @abstractmethod
    def watch(
        self, kind: Kind, version: int, on_event: Callable[[WatchEvent], None]
    ) -> Watch:
        """Report each later change; `Expired` or `Failed` ends the watch."""


__all__ = [
    "Changed",
    "Conflicted",
    "Deleted",
    "Expired",
    "Failed",
    "Found",
    "Kind",
    "ListResult",
    "Listed",
    "Missing",
    "PlatformPort",
    "ReadResult",
    "StoredObject",
    "Unchanged",
    "Watch",
    "WatchEvent",
    "WriteResult",
    "Written",
]
