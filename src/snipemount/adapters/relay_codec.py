"""CBOR codec for the messages of the relay between daemons."""

from __future__ import annotations

from typing import Any

import attrs
import cbor2

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from ..finite import finite_number
from ..model.crash import CrashReport
from ..model.relay import (
    LeafEstimate,
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayHeartbeat,
    RelayListing,
    RelayMessage,
    RelayRemoval,
    RelayStoreLost,
    SlowLeaf,
)
from ..model.store_version import UNKNOWN_ERA, StoreVersion
from ..ports.platform import Kind, StoredObject
from .crash_codec import (
    decode_answer,
    decode_strike,
    encode_answer,
    encode_strike,
    readable,
)
from .store_version_codec import decode_version, encode_version

LISTING = 0
CHANGE = 1
REMOVAL = 2
CONFIRMATION = 3
STORE_LOST = 4
HEARTBEAT = 5
EVIDENCE = 6
BATCH = 7
# Estimates are sent as whole percent and tenths.
PER_RATIO = 100.0
PER_LIMIT = 10.0
MAX_SERVICE_RATIO = 1000.0
MAX_LIMIT = 100_000.0


def encode_relay(message: RelayMessage, with_eras: bool = True) -> bytes:
    """Encode a message as a frame.

    Parameters
    ----------
    message : RelayMessage
        The message.
    with_eras : bool
        Whether to state the eras of versions, which earlier builds cannot read.
    """
    if not with_eras:
        message = _without_eras(message)
    return cbor2.dumps(_encode_message(message))


def encode_batch(frames: list[bytes]) -> bytes:
    """Encode the frames of several messages as one frame."""
    return cbor2.dumps([BATCH, frames])


def decode_batch(frame: bytes) -> list[RelayMessage]:
    """Decode the messages in a frame of one or several.

    Raises
    ------
    DecodeError
        When the frame is not CBOR or holds anything but messages of the relay.
    """
    try:
        document = cbor2.loads(frame)
        match document:
            case [7, frames]:
                return [_decode_message(cbor2.loads(inner)) for inner in frames]
        return [_decode_message(document)]
    except (cbor2.CBORDecodeError, *MALFORMED_INPUT_ERRORS) as error:
        raise DecodeError(f"relay: {error!r}") from error


def _without_eras(message: RelayMessage) -> RelayMessage:
    """Return a message whose versions are of no known era."""
    match message:
        case RelayListing(_, version, objects):
            plain = tuple(
                attrs.evolve(o, version=_without_era(o.version)) for o in objects
            )
            return attrs.evolve(message, version=_without_era(version), objects=plain)
        case RelayChange(stored):
            version = _without_era(stored.version)
            return RelayChange(attrs.evolve(stored, version=version))
        case RelayConfirmation(_, version):
            return attrs.evolve(message, version=_without_era(version))
        case _:
            return message


def _without_era(version: StoreVersion) -> StoreVersion:
    return StoreVersion(UNKNOWN_ERA, version.number)


def _encode_message(message: RelayMessage) -> list[Any]:
    match message:
        case RelayListing(kind, version, objects):
            encoded = [encode_object(stored, version.era) for stored in objects]
            return [LISTING, kind.value, encode_version(version), encoded]
        case RelayChange(stored):
            return [CHANGE, stored.kind.value, encode_object(stored)]
        case RelayRemoval(kind, name):
            return [REMOVAL, kind.value, name]
        case RelayConfirmation(kind, version, age_ms):
            return [CONFIRMATION, kind.value, encode_version(version), age_ms]
        case RelayStoreLost(reason):
            return [STORE_LOST, reason]
        case RelayHeartbeat():
            return [HEARTBEAT]
        case RelayEvidence():
            return [EVIDENCE, _encode_evidence(message)]


def decode_relay(frame: bytes) -> RelayMessage:
    """Decode the message in a frame.

    Raises
    ------
    DecodeError
        When the frame is not CBOR or not a message of the relay.
    """
    try:
        return _decode_message(cbor2.loads(frame))
    except (cbor2.CBORDecodeError, *MALFORMED_INPUT_ERRORS) as error:
        raise DecodeError(f"relay: {error!r}") from error


def _decode_message(document: list[Any]) -> RelayMessage:
    match document:
        case [0, kind, version, objects]:
            object_kind, listed = Kind(kind), decode_version(version)
            decoded = (decode_object(object_kind, o, listed.era) for o in objects)
            return RelayListing(object_kind, listed, tuple(decoded))
        case [1, kind, stored]:
            return RelayChange(decode_object(Kind(kind), stored))
        case [2, kind, name]:
            return RelayRemoval(Kind(kind), str(name))
        case [3, kind, version]:  # from a build that states no age
            return RelayConfirmation(Kind(kind), decode_version(version))
        case [3, kind, version, age_ms]:
            return RelayConfirmation(
                Kind(kind), decode_version(version), _age_ms(age_ms)
            )
        case [4, reason]:
            return RelayStoreLost(str(reason))
        case [5]:
            return RelayHeartbeat()
        case [6, leafs]:
            return _decode_evidence(leafs)
    raise ValueError("unknown message type or wrong number of fields")


def _encode_evidence(evidence: RelayEvidence) -> list[Any]:
    """Return pairs, of which a build that knows only slow leafs ignores the others.

    It reads the first field of a pair as an id, and no leaf has that of the others.
    """
    pairs: list[Any] = [[leaf.leaf_id, leaf.slowness] for leaf in evidence.leafs]
    for leaf in evidence.estimates:
        ratio = round(leaf.service_ratio * PER_RATIO)
        pairs.append([[leaf.leaf_id, ratio, round(leaf.limit * PER_LIMIT)], 0])
    pairs += ([encode_strike(strike), 0] for strike in evidence.crashes.strikes)
    pairs += ([encode_answer(answer), 0] for answer in evidence.crashes.answers)
    return pairs


def _decode_evidence(pairs: list[Any]) -> RelayEvidence:
    leafs = []
    estimates = []
    strikes = []
    answers = []
    for key, value in pairs:
        match key:
            case [leaf_id, ratio, limit]:
                estimates.append(_decode_estimate(leaf_id, ratio, limit))
            case [_, _, _, _, _, _]:
                strikes.extend(readable(decode_strike, key))
            case [_, _, _, _]:
                answers.extend(readable(decode_answer, key))
            case _:
                leafs.append(SlowLeaf(str(key), finite_number(value)))
    crashes = CrashReport(tuple(strikes), tuple(answers))
    return RelayEvidence(tuple(leafs), tuple(estimates), crashes)


def _decode_estimate(leaf_id: Any, ratio: Any, limit: Any) -> LeafEstimate:
    service_ratio = finite_number(ratio) / PER_RATIO
    if not 0.0 < service_ratio <= MAX_SERVICE_RATIO:
        raise ValueError(f"service ratio {service_ratio} is out of range")
    bounded_limit = finite_number(limit) / PER_LIMIT
    if not 1.0 <= bounded_limit <= MAX_LIMIT:
        raise ValueError(f"limit {bounded_limit} is out of range")
    return LeafEstimate(str(leaf_id), service_ratio, bounded_limit)


def _age_ms(value: Any) -> float:
    age_ms = finite_number(value)
    if age_ms < 0.0:
        raise ValueError(f"age of {age_ms} ms is negative")
    return age_ms


def encode_object(stored: StoredObject, implied_era: int = UNKNOWN_ERA) -> list[Any]:
    """Return the fields of a stored object, without its kind and an implied era."""
    return [
        stored.name,
        encode_version(stored.version, implied_era),
        stored.spec,
        stored.status,
        stored.created_version,
    ]


def decode_object(
    kind: Kind, fields: list[Any], implied_era: int = UNKNOWN_ERA
) -> StoredObject:
    """Return the stored object of these fields.

    Parameters
    ----------
    kind : Kind
        Kind of the object.
    fields : list
        Its other fields.
    implied_era : int
        Era of a version that states none.

    Raises
    ------
    TypeError, ValueError
        When a field is missing or malformed.
    """
    name, version, spec, status, created = fields
    if not isinstance(spec, dict) or not isinstance(status, dict | None):
        raise TypeError("spec or status is not a map")
    stored_version = decode_version(version, implied_era)
    return StoredObject(kind, str(name), stored_version, spec, status, int(created))


__all__ = [
    "decode_batch",
    "decode_object",
    "decode_relay",
    "encode_batch",
    "encode_object",
    "encode_relay",
]
