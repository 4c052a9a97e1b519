"""CBOR codec for messages between daemons; a frame contains many messages."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import Any

import attrs
import cbor2

from ..decisions.fleet.membership import Member
from ..decisions.moves.canary_analysis import EvidenceReport
from ..errors import DecodeError
from ..model.crash import StrikeNotice
from ..model.exchange import (
    Attempt,
    Exchange,
    ExchangeReply,
    Fate,
    Hit,
    Partial,
    Reason,
    ServerLoad,
)
from ..model.request import Priority
from ..model.store_version import StoreVersion
from ..ports.peer import (
    DaemonStopped,
    Heartbeat,
    PeerMessage,
    ReportBadMove,
    ReportCatalogue,
    ReportEvidence,
    ReportExchange,
    ReportStrike,
    ReportUnresponsive,
    ReportWarm,
    RequestCatalogue,
    SubmitExchange,
    WithdrawExchange,
)
from ..ports.platform import Kind, StoredObject
from .store_version_codec import decode_version, encode_version

WIRE_VERSION = 1
MAX_FRAME_BYTES = 4_000_000
MAX_MESSAGES_PER_FRAME = 4096


class MessageTag(IntEnum):
    """Message type; the first field of each encoded message."""

    HEARTBEAT = 1
    DAEMON_STOPPED = 2
    SUBMIT_EXCHANGE = 3
    WITHDRAW_EXCHANGE = 4
    REPORT_EXCHANGE = 5
    STRIKE = 6
    WARM_SERVERS = 7
    EVIDENCE = 8
    BAD_MOVE = 9
    REQUEST_CATALOGUE = 10
    REPORT_CATALOGUE = 11
    UNRESPONSIVE = 12


class FrameEncoder:
    """Collects messages into a frame.

    A frame contains the wire version, a table of strings and the messages. Strings
    that occur in many messages are stored once in the table, and the messages
    refer to them by index.
    """

    def __init__(self) -> None:
        self._string_indexes: dict[str, int] = {}
        self._messages: list[list[Any]] = []

    def __len__(self) -> int:
        return len(self._messages)

    def add(self, message: PeerMessage) -> None:
        """Add a message to the frame."""
        match message:
            case SubmitExchange(exchange):
                self._messages.append(
                    [MessageTag.SUBMIT_EXCHANGE.value, *self._encode_exchange(exchange)]
                )
            case ReportExchange(reply):
                self._messages.append(
                    [MessageTag.REPORT_EXCHANGE.value, *self._encode_reply(reply)]
                )
            case WithdrawExchange(exchange_id, server):
                server_index = self._string_index(server)
                self._messages.append(
                    [MessageTag.WITHDRAW_EXCHANGE.value, exchange_id, server_index]
                )
            case Heartbeat(member, versions):
                fields = [member.name, member.zone, member.host, member.mesh_port]
                fields += [member.leaving, [encode_version(v) for v in versions]]
                self._messages.append([MessageTag.HEARTBEAT.value, *fields])
            case DaemonStopped(name):
                self._messages.append([MessageTag.DAEMON_STOPPED.value, name])
            case ReportUnresponsive(name):
                self._messages.append([MessageTag.UNRESPONSIVE.value, name])
            case ReportStrike(notice):
                fields = [notice.notice_id, notice.fingerprint, notice.server]
                self._messages.append([MessageTag.STRIKE.value, *fields])
            case ReportWarm(servers):
                self._messages.append([MessageTag.WARM_SERVERS.value, servers])
            case ReportEvidence(report):
                self._messages.append(
                    [MessageTag.EVIDENCE.value, *attrs.astuple(report)]
                )
            case ReportBadMove(move_id, reason):
                self._messages.append([MessageTag.BAD_MOVE.value, move_id, reason])
            case RequestCatalogue(kind, version):
                self._messages.append(
                    [
                        MessageTag.REQUEST_CATALOGUE.value,
                        kind.value,
                        encode_version(version),
                    ]
                )
            case ReportCatalogue(kind, version, objects):
                items = [[o.name, encode_version(o.version), o.spec] for o in objects]
                self._messages.append(
                    [
                        MessageTag.REPORT_CATALOGUE.value,
                        kind.value,
                        encode_version(version),
                        items,
                    ]
                )

    def take(self) -> bytes:
        """Return the encoded frame and start an empty one."""
        frame = cbor2.dumps([WIRE_VERSION, list(self._string_indexes), self._messages])
        self._string_indexes = {}
        self._messages = []
        return frame

    def _string_index(self, string: str) -> int:
        return self._string_indexes.setdefault(string, len(self._string_indexes))

    def _encode_exchange(self, exchange: Exchange) -> list[Any]:
        return [
            exchange.exchange_id,
            self._string_index(exchange.request_id),
            self._string_index(exchange.service),
            self._string_index(exchange.server),
            self._string_index(exchange.snapshot),
            exchange.shards,
            self._string_index(exchange.route),
            self._string_index(exchange.query),
            self._string_index(exchange.caller),
            exchange.priority.value,
            exchange.budget_ms,
            exchange.top_k,
            exchange.repeatable,
            self._string_index(exchange.fingerprint),
            exchange.attempt.value,
            exchange.proven,
            exchange.last_resort,
        ]

    def _encode_reply(self, reply: ExchangeReply) -> list[Any]:
        return [
            reply.exchange_id,
            self._string_index(reply.request_id),
            self._string_index(reply.server),
            reply.fate.value,
            reply.reason.value,
            [self._encode_partial(partial) for partial in reply.partials],
            None if reply.load is None else self._encode_load(reply.load),
            reply.waited_ms,
        ]

    def _encode_partial(self, partial: Partial) -> list[Any]:
        documents = [hit.document for hit in partial.hits]
        scores = [hit.score for hit in partial.hits]
        snapshot = self._string_index(partial.snapshot)
        return [partial.shard, snapshot, partial.complete, documents, scores]

    @staticmethod
    def _encode_load(load: ServerLoad) -> list[Any]:
        return [
            load.in_flight,
            load.queued,
            load.limit,
            load.service_ms,
            load.cold,
            load.draining,
            load.pause_ms,
        ]


def decode_frame(frame: bytes) -> list[PeerMessage]:
    """Decode the messages in a frame.

    Raises
    ------
    DecodeError
        When the frame is malformed, exceeds `MAX_FRAME_BYTES` or has another wire
        version.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise DecodeError(f"frame of {len(frame)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        version, strings, messages = cbor2.loads(frame)
        if version != WIRE_VERSION:
            raise DecodeError(f"wire version {version!r} is not {WIRE_VERSION}")
        if len(messages) > MAX_MESSAGES_PER_FRAME or not all(
            type(s) is str for s in strings
        ):
            raise DecodeError(
                f"more than {MAX_MESSAGES_PER_FRAME} messages, or a string table "
                "with other types"
            )
        return [_decode_message(message, strings) for message in messages]
    except DecodeError:
        raise
    except Exception as error:  # malformed input raises exceptions of many types
        raise DecodeError(f"malformed frame: {type(error).__name__}") from error


def _decode_message(fields: list[Any], strings: list[str]) -> PeerMessage:
    tag, *rest = fields
    match tag:
        case MessageTag.SUBMIT_EXCHANGE:
            return SubmitExchange(_decode_exchange(rest, strings))
        case MessageTag.REPORT_EXCHANGE:
            return ReportExchange(_decode_reply(rest, strings))
        case MessageTag.WITHDRAW_EXCHANGE:
            exchange_id, server = rest
            return WithdrawExchange(_require_integer(exchange_id), strings[server])
        case MessageTag.HEARTBEAT:
            name, zone, host, port, leaving, versions = rest
            member = Member(
                _require_string(name),
                _require_string(zone),
                _require_string(host),
                _require_integer(port),
                bool(leaving),
            )
            return Heartbeat(member, tuple(_decode_version(v) for v in versions))
        case MessageTag.DAEMON_STOPPED:
            (name,) = rest
            return DaemonStopped(_require_string(name))
        case MessageTag.UNRESPONSIVE:
            (name,) = rest
            return ReportUnresponsive(_require_string(name))
        case MessageTag.STRIKE:
            notice_id, fingerprint, server = rest
            notice = StrikeNotice(
                _require_string(notice_id),
                _require_string(fingerprint),
                _require_string(server),
            )
            return ReportStrike(notice)
        case MessageTag.WARM_SERVERS:
            (servers,) = rest
            return ReportWarm(tuple(_require_string(server) for server in servers))
        case MessageTag.EVIDENCE:
            return ReportEvidence(_decode_evidence(rest))
        case MessageTag.BAD_MOVE:
            move_id, reason = rest
            return ReportBadMove(_require_string(move_id), _require_string(reason))
        case MessageTag.REQUEST_CATALOGUE:
            kind, version = rest
            return RequestCatalogue(Kind(kind), _decode_version(version))
        case MessageTag.REPORT_CATALOGUE:
            kind, version, items = rest
            objects = tuple(_decode_object(Kind(kind), item) for item in items)
            return ReportCatalogue(Kind(kind), _decode_version(version), objects)
    raise DecodeError(f"unknown message tag {tag!r}")


def _decode_evidence(fields: list[Any]) -> EvidenceReport:
    move_id, route, zone, seen, samples, failures, slowness = fields
    return EvidenceReport(
        _require_string(move_id),
        _require_string(route),
        _require_string(zone),
        _require_integer(seen),
        _require_integer(samples),
        _require_finite(failures),
        _require_finite(slowness),
    )


def _decode_object(kind: Kind, fields: list[Any]) -> StoredObject:
    name, version, spec = fields
    if type(spec) is not dict:
        raise DecodeError(f"expected a map as spec, got {type(spec).__name__}")
    return StoredObject(kind, _require_string(name), _decode_version(version), spec)


def _decode_version(value: Any) -> StoreVersion:
    """Return a version, given as its number or as its era and number."""
    numbers = value if isinstance(value, list) else [value]
    for number in numbers:
        _require_integer(number)
    return decode_version(value)


def _decode_exchange(fields: list[Any], strings: list[str]) -> Exchange:
    shards = tuple(_require_integer(shard) for shard in fields[5])
    return Exchange(
        exchange_id=_require_integer(fields[0]),
        request_id=strings[fields[1]],
        service=strings[fields[2]],
        server=strings[fields[3]],
        snapshot=strings[fields[4]],
        shards=shards,
        route=strings[fields[6]],
        query=strings[fields[7]],
        caller=strings[fields[8]],
        priority=Priority(fields[9]),
        budget_ms=float(fields[10]),
        top_k=_require_integer(fields[11]),
        repeatable=bool(fields[12]),
        fingerprint=strings[fields[13]],
        attempt=Attempt(fields[14]),
        proven=bool(fields[15]),
        last_resort=bool(fields[16]),
    )


def _decode_reply(fields: list[Any], strings: list[str]) -> ExchangeReply:
    exchange_id, request_id, server, fate, reason, partials, load, waited_ms = fields
    return ExchangeReply(
        exchange_id=_require_integer(exchange_id),
        request_id=strings[request_id],
        server=strings[server],
        fate=Fate(fate),
        reason=Reason(reason),
        partials=tuple(_decode_partial(item, strings) for item in partials),
        load=None if load is None else _decode_load(load),
        waited_ms=float(waited_ms),
    )


def _decode_partial(fields: list[Any], strings: list[str]) -> Partial:
    shard, snapshot, complete, documents, scores = fields
    hits = tuple(
        Hit(_require_string(document), float(score))
        for document, score in zip(documents, scores, strict=True)
    )
    return Partial(_require_integer(shard), strings[snapshot], hits, bool(complete))


def _decode_load(fields: list[Any]) -> ServerLoad:
    in_flight, queued, limit, service_ms, cold, draining, pause_ms = fields
    return ServerLoad(
        _require_integer(in_flight),
        _require_integer(queued),
        float(limit),
        float(service_ms),
        bool(cold),
        bool(draining),
        float(pause_ms),
    )


def _require_integer(value: object) -> int:
    if type(value) is not int:
        raise DecodeError(f"expected an integer, got {type(value).__name__}")
    return value


def _require_finite(value: object) -> float:
    if type(value) is not float or not math.isfinite(value):
        raise DecodeError("expected a finite float")
    return value


def _require_string(value: object) -> str:
    if type(value) is not str:
        raise DecodeError(f"expected a string, got {type(value).__name__}")
    return value


__all__ = ["MAX_FRAME_BYTES", "FrameEncoder", "decode_frame"]
