"""Interface to the platform's object store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.store_version import StoreVersion


class Kind(Enum):
    """Kinds of objects in the store; each value is the plural name.

    `MEMBER` lists the daemons that exchange messages as peers; a `DAEMON` object is
    the entry under which an entry daemon registers itself. `DUTY_LEASE` holds who
    performs each duty, `USAGE_COUNTS` what daemons have counted for organisations,
    `CRASH_REPORT` which requests leafs of a zone have crashed on.

    The last four are written by operators and leafs, and the platform uses names
    of its own for them in its paths.
    """

    PROFILE = "profiles"
    SERVICE = "services"
    MEMBER = "members"
    CLAIM_BUCKET = "claimbuckets"
    ZONE = "zones"
    MOVE = "moves"
    EVENT = "events"
    DAEMON = "daemons"
    DUTY_LEASE = "dutyleases"
    USAGE_COUNTS = "usagecounts"
    CRASH_REPORT = "crashreports"
    CONFIGURATION = "configuration"
    LEAF = "leafs"
    VERSION_ORDER = "versionorders"
    ZONE_ORDER = "zoneorders"


@attrs.frozen
class StoredObject:
    """An object in the platform's store.

    Parameters
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name, unique in the kind.
    version : StoreVersion
        Store version of the object's last write.
    spec : dict
        JSON document, decoded by the reader of the kind.
    status : dict or None
        JSON document in which daemons report on the object; None when it has none.
    created_version : int
        Number of the store version at which the object was created.
    """

    kind: Kind
    name: str
    version: StoreVersion
    # Not in texts: a configuration holds API keys.
    spec: dict[str, Any] = attrs.field(repr=False)
    status: dict[str, Any] | None = attrs.field(default=None, repr=False)
    created_version: int = 0


@attrs.frozen
class Found:
    """Result of a read: the object exists."""

    stored: StoredObject


@attrs.frozen
class Missing:
    """Result of a read: the object does not exist."""


@attrs.frozen
class Listed:
    """Result of a listing: all objects of a kind at one version of the store."""

    objects: tuple[StoredObject, ...]
    version: StoreVersion


@attrs.frozen
class Written:
    """Result of a conditional write that took effect."""

    stored: StoredObject


@attrs.frozen
class Conflicted:
    """Result of a conditional write that did nothing: the stored version differs.

    So it does when the store has returned from an older copy since that version.
    """


@attrs.frozen
class Failed:
    """The call failed or timed out; a write may have taken effect."""

    detail: str


@attrs.frozen
class Changed:
    """Watch event: an object was created or changed; carries its present state."""

    stored: StoredObject


@attrs.frozen
class Deleted:
    """Watch event: an object was deleted."""

    kind: Kind
    name: str
    version: StoreVersion


@attrs.frozen
class Confirmed:
    """Watch event: all changes up to `version` have been reported.

    Parameters
    ----------
    version : StoreVersion
        Version of the store.
    age_ms : float
        Longest time for which that may have been out of date when it was reported.
    """

    version: StoreVersion
    age_ms: float = 0.0


@attrs.frozen
class Expired:
    """Watch event: the store does not have the changes since the given version.

    It has dropped them, or has returned from an older copy, with another history.
    """


ReadResult = Found | Missing | Failed
ListResult = Listed | Failed
WriteResult = Written | Conflicted | Failed
WatchEvent = Changed | Deleted | Confirmed | Expired | Failed


class Watch:
    """An active watch.

    Parameters
    ----------
    stop : Callable
        Ends the watch.
    """

    def __init__(self, stop: Callable[[], None]) -> None:
        self._stop = stop

    def cancel(self) -> None:
        """End the watch; no further events are reported."""
        self._stop()


class PlatformPort(ABC):
    """Reads, writes and watches objects of the platform's store."""

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
        """Read all objects of a kind.

        Parameters
        ----------
        kind : Kind
            Kind to list.
        done : Callable
            Called with the result.
        may_be_stale : bool
            Whether the listing may be some seconds old.
        """

    @abstractmethod
    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: StoreVersion | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create an object, or replace it if it has not changed.

        Parameters
        ----------
        kind : Kind
            Kind of the object.
        name : str
            Name of the object.
        spec : dict
            JSON document to store.
        version : StoreVersion or None
            Version that the object must have; None creates it.
        done : Callable
            Called with the result.
        """

    @abstractmethod
    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: StoreVersion,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object if it still has this version."""

    @abstractmethod
    def watch(
        self,
        kind: Kind,
        version: StoreVersion,
        on_event: Callable[[WatchEvent], None],
        state_age_ms: float = 0.0,
    ) -> Watch:
        """Report each change of a kind that is later than `version`.

        An `Expired` or `Failed` event is the last one of the watch.

        Parameters
        ----------
        kind : Kind
            Kind to watch.
        version : StoreVersion
            Version up to which its changes are known.
        on_event : Callable
            Called with each event.
        state_age_ms : float
            Age of the known state; the older it is, the sooner it is confirmed.
        """

    @abstractmethod
    def subscribe_era(self, on_era: Callable[[int, int], None]) -> None:
        """Call back when an answer is the first of an era of the store.

        Parameters
        ----------
        on_era : Callable
            Called with the era and the one known before, after the answer's receiver.
        """


__all__ = [
    "Changed",
    "Confirmed",
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
    "Watch",
    "WatchEvent",
    "WriteResult",
    "Written",
]
