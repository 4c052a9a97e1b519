"""What a daemon that follows the platform's store passes on to others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..ports.platform import Kind, StoredObject


@attrs.frozen
class RelayListing:
    """All objects of a kind, as of one version of the store."""

    kind: Kind
    version: int
    objects: tuple[StoredObject, ...]


@attrs.frozen
class RelayChange:
    """One object as it is now."""

    stored: StoredObject


@attrs.frozen
class RelayRemoval:
    """An object that is gone."""

    kind: Kind
    name: str


@attrs.frozen
class RelayConfirmation:
    """The store confirmed a kind up to a version; ends a batch of changes."""

    kind: Kind
    version: int


@attrs.frozen
class RelayLoss:
    """The sender does not reach the store."""

    reason: str


@attrs.frozen
class RelayAlive:
    """The sender lives; nothing has changed."""


@attrs.frozen
class SlowLeaf:
    """A leaf that a daemon has just seen to be slow.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    slowness : float
        How many times the usual an answer took, at least.
    """

    leaf_id: str
    slowness: float


@attrs.frozen
class RelayEvidence:
    """What one daemon, or several, have just seen of leafs."""

    leafs: tuple[SlowLeaf, ...]


RelayMessage = (
    RelayListing
    | RelayChange
    | RelayRemoval
    | RelayConfirmation
    | RelayLoss
    | RelayAlive
    | RelayEvidence
)

__all__ = [
    "RelayAlive",
    "RelayChange",
    "RelayConfirmation",
    "RelayEvidence",
    "RelayListing",
    "RelayLoss",
    "RelayMessage",
    "RelayRemoval",
    "SlowLeaf",
]
