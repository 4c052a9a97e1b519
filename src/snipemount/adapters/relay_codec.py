"""Messages of the relay as CBOR."""

from __future__ import annotations

from typing import Any

import cbor2

from ..errors import DecodeError
from ..model.relay import (
    RelayAlive,
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayListing,
    RelayLoss,
    RelayMessage,
    RelayRemoval,
    SlowLeaf,
)
from ..ports.platform import Kind, StoredObject

LISTING = 0
CHANGE = 1
REMOVAL = 2
CONFIRMATION = 3
LOSS = 4
ALIVE = 5
EVIDENCE = 6


def encode_relay(message: RelayMessage) -> bytes:
    """Return a message's frame."""
    return cbor2.dumps(_document(message))


def _document(message: RelayMessage) -> list[Any]:
    match message:
        case RelayListing(kind, version, objects):
            return [LISTING, kind.value, version, [_object(o) for o in objects]]
        case RelayChange(stored):
            return [CHANGE, stored.kind.value, _object(stored)]
        case RelayRemoval(kind, name):
            return [REMOVAL, kind.value, name]
        case RelayConfirmation(kind, version):
            return [CONFIRMATION, kind.value, version]
        case RelayLoss(reason):
            return [LOSS, reason]
        case RelayAlive():
            return [ALIVE]
        case RelayEvidence(leafs):
            return [EVIDENCE, [[leaf.leaf_id, leaf.slowness] for leaf in leafs]]


def decode_relay(frame: bytes) -> RelayMessage:
    """Return the message in a frame.

    Raises
    ------
    DecodeError
        When the frame holds no message.
    """
    try:
        return _message(cbor2.loads(frame))
    except (cbor2.CBORDecodeError, ValueError, TypeError, IndexError) as error:
        raise DecodeError(f"relay: {error!r}") from error


def _message(document: list[Any]) -> RelayMessage:
    match document:
        case [0, kind, version, objects]:
            named = Kind(kind)
            return RelayListing(
                named, int(version), tuple(_stored(named, o) for o in objects)
            )
        case [1, kind, stored]:
            return RelayChange(_stored(Kind(kind), stored))
        case [2, kind, name]:
            return RelayRemoval(Kind(kind), str(name))
        case [3, kind, version]:
            return RelayConfirmation(Kind(kind), int(version))
        case [4, reason]:
            return RelayLoss(str(reason))
        case [5]:
            return RelayAlive()
        case [6, leafs]:
            return RelayEvidence(
                tuple(SlowLeaf(str(leaf_id), float(x)) for leaf_id, x in leafs)
            )
    raise ValueError("unknown message")


def _object(stored: StoredObject) -> list[Any]:
    return [
        stored.name,
        stored.version,
        stored.spec,
        stored.status,
        stored.created_version,
    ]


def _stored(kind: Kind, fields: list[Any]) -> StoredObject:
    name, version, spec, status, created = fields
    if not isinstance(spec, dict) or not isinstance(status, dict | None):
        raise TypeError("spec or status")
    return StoredObject(kind, str(name), int(version), spec, status, int(created))


__all__ = ["decode_relay", "encode_relay"]
