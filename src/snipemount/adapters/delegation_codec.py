"""CBOR codec for the messages between a delegating daemon and a coordinator."""

from __future__ import annotations

from typing import Any

import cbor2

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from ..finite import finite_number
from ..identity.organisation_name import is_organisation_name
from ..model.delegation import (
    ConfigurationAnnounced,
    ConfigurationOffered,
    ConfigurationRequested,
    CoordinatorStopping,
    DeclineReason,
    DelegatedQuery,
    DelegationMessage,
    FurtherAttemptsGranted,
    FurtherAttemptsRequested,
    QueryAccepted,
    QueryCancelled,
    QueryDeclined,
    QueryEnded,
    QueryRunning,
    ZonesCutOff,
)
from ..model.forwarding import (
    FailureReason,
    ForwardRequest,
    Merged,
    RefusalReason,
    RequestFailed,
    RequestOutcome,
    RequestRefused,
)
from ..model.identity import Anonymous, CallerIdentity, OfOrganisation, Unchecked
from ..ports.platform import Kind
from .relay_codec import decode_object, encode_object

QUERY = 0
ACCEPTED = 1
DECLINED = 2
RUNNING = 3
ENDED = 4
CANCELLED = 5
STOPPING = 6
CONFIGURATION_ANNOUNCED = 7
CONFIGURATION_REQUESTED = 8
CONFIGURATION_OFFERED = 9
FURTHER_ATTEMPTS_REQUESTED = 10
FURTHER_ATTEMPTS_GRANTED = 11
ZONES_CUT_OFF = 12

MERGED = 0
REFUSED = 1
FAILED = 2


def encode_delegation(message: DelegationMessage) -> bytes:
    """Encode a message as a frame."""
    return cbor2.dumps(_encode_message(message))


def _encode_message(message: DelegationMessage) -> list[Any]:
    match message:
        case DelegatedQuery():
            return [QUERY, *_encode_query(message)]
        case QueryAccepted(query_id):
            return [ACCEPTED, query_id]
        case FurtherAttemptsRequested(query_id, positions):
            return [FURTHER_ATTEMPTS_REQUESTED, query_id, positions]
        case FurtherAttemptsGranted(query_id, positions):
            return [FURTHER_ATTEMPTS_GRANTED, query_id, positions]
        case QueryDeclined(query_id, reason):
            return [DECLINED, query_id, reason.value]
        case QueryRunning(query_id):
            return [RUNNING, query_id]
        case QueryEnded(query_id, outcome, ran_ms):
            return [ENDED, query_id, _encode_outcome(outcome), ran_ms]
        case QueryCancelled(query_id):
            return [CANCELLED, query_id]
        case CoordinatorStopping():
            return [STOPPING]
        case ZonesCutOff(zones):
            return [ZONES_CUT_OFF, zones]
        case ConfigurationAnnounced(version):
            return [CONFIGURATION_ANNOUNCED, version]
        case ConfigurationRequested():
            return [CONFIGURATION_REQUESTED]
        case ConfigurationOffered(stored):
            # Its own version tells which configuration is newer; earlier builds know no
            # eras of the store.
            era = stored.version.era
            return [CONFIGURATION_OFFERED, encode_object(stored, implied_era=era)]


def decode_delegation(frame: bytes) -> DelegationMessage:
    """Decode the message in a frame.

    Raises
    ------
    DecodeError
        When the frame is not CBOR or not a message of this protocol.
    """
    try:
        return _decode_message(cbor2.loads(frame))
    except (cbor2.CBORDecodeError, *MALFORMED_INPUT_ERRORS) as error:
        raise DecodeError(f"delegation: {error!r}") from error


def _decode_message(document: list[Any]) -> DelegationMessage:
    tag, *fields = document
    if tag == QUERY:
        return _decode_query(fields)
    if tag == ACCEPTED:
        return QueryAccepted(_integer(*fields))
    if tag == FURTHER_ATTEMPTS_REQUESTED:
        query_id, positions = fields
        return FurtherAttemptsRequested(_integer(query_id), _integers(positions))
    if tag == FURTHER_ATTEMPTS_GRANTED:
        query_id, positions = fields
        return FurtherAttemptsGranted(_integer(query_id), _integers(positions))
    if tag == DECLINED:
        query_id, reason = fields
        return QueryDeclined(_integer(query_id), DeclineReason(reason))
    if tag == RUNNING:
        return QueryRunning(_integer(*fields))
    if tag == ENDED:
        query_id, outcome, ran_ms = fields
        return QueryEnded(
            _integer(query_id), _decode_outcome(outcome), finite_number(ran_ms)
        )
    if tag == CANCELLED:
        return QueryCancelled(_integer(*fields))
    if tag == STOPPING and not fields:
        return CoordinatorStopping()
    if tag == ZONES_CUT_OFF:
        (zones,) = fields
        return ZonesCutOff(tuple(str(zone) for zone in zones))
    if tag == CONFIGURATION_ANNOUNCED:
        return ConfigurationAnnounced(_integer(*fields))
    if tag == CONFIGURATION_REQUESTED and not fields:
        return ConfigurationRequested()
    if tag == CONFIGURATION_OFFERED:
        (stored,) = fields
        return ConfigurationOffered(decode_object(Kind.CONFIGURATION, stored))
    raise ValueError(f"unknown message type {tag!r}")


def _encode_query(query: DelegatedQuery) -> list[Any]:
    request = query.request
    headers = request.forwarded_headers
    return [
        query.query_id,
        query.sender,
        query.version,
        query.answer_within_ms,
        query.time_left_ms,
        query.earlier_attempts,
        _to_bytes(request.request_id),
        request.method,
        _to_bytes(request.target),
        _to_bytes(request.host),
        [[_to_bytes(name), _to_bytes(value)] for name, value in headers],
        request.body,
        request.deadline_ms,
        *_encode_caller(request.caller),
    ]


def _decode_query(fields: list[Any]) -> DelegatedQuery:
    query_id, sender, version, answer_within_ms, time_left_ms, attempts = fields[:6]
    request_id, method, target, host, headers, body, deadline_ms = fields[6:13]
    if not isinstance(body, bytes):
        raise TypeError("the request's body is not a byte string")
    request = ForwardRequest(
        request_id=_to_text(request_id),
        method=str(method),
        target=_to_text(target),
        host=_to_text(host),
        headers=tuple((_to_text(name), _to_text(value)) for name, value in headers),
        body=body,
        deadline_ms=None if deadline_ms is None else finite_number(deadline_ms),
        caller=_decode_caller(fields[13:]),
    )
    return DelegatedQuery(
        _integer(query_id),
        str(sender),
        request,
        _integer(version),
        finite_number(answer_within_ms),
        finite_number(time_left_ms),
        _integers(attempts),
    )


def _encode_caller(caller: CallerIdentity) -> list[Any]:
    """Return the last fields of a query: none for a caller that was not checked.

    Builds without organisations decode queries without such a field only, and write
    none themselves.
    """
    match caller:
        case Unchecked():
            return []
        case Anonymous():
            return [[]]
        case OfOrganisation(name, priority):
            return [[name, priority]]


def _decode_caller(fields: list[Any]) -> CallerIdentity:
    match fields:
        case []:
            return Unchecked()
        case [[]]:
            return Anonymous()
        case [[str(name), priority]] if is_organisation_name(name):
            return OfOrganisation(
                name, None if priority is None else _integer(priority)
            )
    raise ValueError("the caller's identity is malformed")


def _encode_outcome(outcome: RequestOutcome) -> list[Any]:
    match outcome:
        case Merged(receipts, missing, body):
            return [MERGED, [_to_bytes(text) for text in receipts], missing, body]
        case RequestRefused(reason, retry_after_ms):
            return [REFUSED, reason.value, retry_after_ms]
        case RequestFailed(failure):
            return [FAILED, failure.value]
        case _:
            raise TypeError(f"{type(outcome).__name__} is not an outcome of a query")


def _refusal_reason(text: Any) -> RefusalReason:
    """Return the reason of this text; one that only later builds know is `NO_LEAF`."""
    try:
        return RefusalReason(text)
    except ValueError:
        return RefusalReason.NO_LEAF


def _decode_outcome(fields: list[Any]) -> RequestOutcome:
    tag, *rest = fields
    if tag == MERGED:
        receipts, missing, body = rest
        if not isinstance(body, bytes):
            raise TypeError("the answer's body is not a byte string")
        texts = tuple(_to_text(receipt) for receipt in receipts)
        return Merged(texts, _integer(missing), body)
    if tag == REFUSED:
        reason, retry_after_ms = rest
        return RequestRefused(_refusal_reason(reason), finite_number(retry_after_ms))
    if tag == FAILED:
        (failure,) = rest
        return RequestFailed(FailureReason(failure))
    raise ValueError(f"unknown outcome {tag!r}")


def _integer(value: Any) -> int:
    if not isinstance(value, int):
        raise TypeError(f"a value of type {type(value).__name__} is not an integer")
    return value


def _integers(values: Any) -> tuple[int, ...]:
    integers = tuple(_integer(value) for value in values)
    if any(value < 0 for value in integers):
        raise ValueError(f"a negative number in {integers[:20]}")
    return integers


def _to_bytes(text: str) -> bytes:
    """Return header text as the caller's bytes, which may not be valid UTF-8."""
    return text.encode("utf-8", "surrogateescape")


def _to_text(data: Any) -> str:
    if not isinstance(data, bytes):
        # Not the value: it may be a header with a key.
        raise TypeError(f"a value of type {type(data).__name__} is not a byte string")
    return data.decode("utf-8", "surrogateescape")


__all__ = ["decode_delegation", "encode_delegation"]
