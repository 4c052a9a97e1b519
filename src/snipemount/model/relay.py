"""Messages by which a daemon that follows the platform's store updates others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from .crash import CrashReport

if TYPE_CHECKING:
    from ..ports.platform import Kind, StoredObject
    from .store_version import StoreVersion


@attrs.frozen
class RelayListing:
    """All objects of a kind at one version of the store."""

    kind: Kind
    version: StoreVersion
    objects: tuple[StoredObject, ...]


@attrs.frozen
class RelayChange:
    """An object was created or changed; carries its present state."""

    stored: StoredObject


@attrs.frozen
class RelayRemoval:
    """An object was deleted."""

    kind: Kind
    name: str


@attrs.frozen
class RelayConfirmation:
    """Confirms a kind up to a version of the store; ends a batch of changes.

    Parameters
    ----------
    kind : Kind
        Kind whose changes have been sent.
    version : StoreVersion
        Version of the store.
    age_ms : float
        Time since the sender knew that state to be current.
    """

    kind: Kind
    version: StoreVersion
    age_ms: float = 0.0


@attrs.frozen
class RelayStoreLost:
    """The sender cannot reach the store, or no longer follows it itself."""

    reason: str


@attrs.frozen
class RelayHeartbeat:
    """Heartbeat of the sender, sent periodically also when nothing changes."""


@attrs.frozen
class SlowLeaf:
    """A leaf whose recent responses to one daemon were slow.

    Parameters
    ----------
    leaf_id : str
        Id of the leaf.
    slowness : float
        Lower bound of the ratio of a response's latency to the typical latency.
    """

    leaf_id: str
    slowness: float


@attrs.frozen
class LeafEstimate:
    """A leaf's capacity as one daemon has learnt it from its own attempts.

    Parameters
    ----------
    leaf_id : str
        Id of the leaf.
    service_ratio : float
        Service time relative to the typical latency.
    limit : float
        Number of requests that it handles well at a time.
    """

    leaf_id: str
    service_ratio: float
    limit: float


@attrs.frozen
class RelayEvidence:
    """What one or more daemons have recently observed of leafs.

    Parameters
    ----------
    leafs : tuple of SlowLeaf
        Slow leafs.
    estimates : tuple of LeafEstimate
        Leafs whose learnt capacity has changed.
    crashes : CrashReport
        Crashes of leafs, and the requests that they were running.
    """

    leafs: tuple[SlowLeaf, ...]
    estimates: tuple[LeafEstimate, ...] = ()
    crashes: CrashReport = CrashReport()


@attrs.frozen
class RelayUsage:
    """What one process has counted in one window of the usage report, so far.

    Parameters
    ----------
    daemon : str
        Name of the daemon.
    run : str
        Random id of its process.
    window : int
        Number of the window.
    closed : bool
        Whether the counts are final.
    counts : tuple of (str, int)
        Organisations and the number of their requests. The counts only grow, so
        messages may be repeated and reordered.
    """

    daemon: str
    run: str
    window: int
    closed: bool
    counts: tuple[tuple[str, int], ...]


RelayMessage = (
    RelayListing
    | RelayChange
    | RelayRemoval
    | RelayConfirmation
    | RelayStoreLost
    | RelayHeartbeat
    | RelayEvidence
)
FollowerMessage = RelayMessage | RelayUsage

__all__ = [
    "FollowerMessage",
    "LeafEstimate",
    "RelayChange",
    "RelayConfirmation",
    "RelayEvidence",
    "RelayHeartbeat",
    "RelayListing",
    "RelayMessage",
    "RelayRemoval",
    "RelayStoreLost",
    "RelayUsage",
    "SlowLeaf",
]
