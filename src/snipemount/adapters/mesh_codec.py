"""CBOR form of the messages between daemons, many to a frame."""

from __future__ import annotations

import math
from enum import IntEnum
from typing import Any

import attrs
import cbor2

from ..decisions.canary_analysis import EvidenceReport
from ..decisions.membership import Member
from ..decisions.quarantine import StrikeNotice
from ..errors import DecodeError
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

WIRE_VERSION = 1
MAX_FRAME_BYTES = 4_000_000
MAX_MESSAGES = 4096


class Tag(IntEnum):
    """First field of each message: its kind."""

    HEARTBEAT = 1
    DAEMON_STOPPED = 2
    SUBMIT = 3
    WITHDRAW = 4
    REPORT = 5
    STRIKE = 6
    WARM = 7
    EVIDENCE = 8
    BAD_MOVE = 9
    REQUEST_CATALOGUE = 10
    REPORT_CATALOGUE = 11
    UNRESPONSIVE = 12


class FrameEncoder:
    """Collects messages; texts that repeat in a frame are sent once."""

    def __init__(self) -> None:
        self._texts: dict[str, int] = {}
        self._messages: list[list[Any]] = []

    def __len__(self) -> int:
        return len(self._messages)

    def add(self, message: PeerMessage) -> None:
        """Add a message to the frame."""
        match message:
            case SubmitExchange(exchange):
                self._messages.append([Tag.SUBMIT.value, *self._exchange(exchange)])
            case ReportExchange(reply):
                self._messages.append([Tag.REPORT.value, *self._reply(reply)])
            case WithdrawExchange(exchange_id, server):
                text = self._text(server)
                self._messages.append([Tag.WITHDRAW.value, exchange_id, text])
            case Heartbeat(member, versions):
                fields = [member.name, member.zone, member.host, member.mesh_port]
                fields += [member.leaving, versions]
                self._messages.append([Tag.HEARTBEAT.value, *fields])
            case DaemonStopped(name):
                self._messages.append([Tag.DAEMON_STOPPED.value, name])
            case ReportUnresponsive(name):
                self._messages.append([Tag.UNRESPONSIVE.value, name])
            case ReportStrike(notice):
                fields = [notice.notice_id, notice.fingerprint, notice.server]
                self._messages.append([Tag.STRIKE.value, *fields])
            case ReportWarm(servers):
                self._messages.append([Tag.WARM.value, servers])
            case ReportEvidence(report):
                self._messages.append([Tag.EVIDENCE.value, *attrs.astuple(report)])
            case ReportBadMove(move_id, reason):
                self._messages.append([Tag.BAD_MOVE.value, move_id, reason])
            case RequestCatalogue(kind, version):
                self._messages.append(
                    [Tag.REQUEST_CATALOGUE.value, kind.value, version]
                )
            case ReportCatalogue(kind, version, objects):
                specs = [[o.name, o.version, o.spec] for o in objects]
                self._messages.append(
                    [Tag.REPORT_CATALOGUE.value, kind.value, version, specs]
                )

    def take(self) -> bytes:
        """Return the frame and begin a new one."""
        frame = cbor2.dumps([WIRE_VERSION, list(self._texts), self._messages])
        self._texts = {}
        self._messages = []
        return frame

    def _text(self, text: str) -> int:
        return self._texts.setdefault(text, len(self._texts))

    def _exchange(self, exchange: Exchange) -> list[Any]:
        return [
            exchange.exchange_id,
            self._text(exchange.request_id),
            self._text(exchange.service),
            self._text(exchange.server),
            self._text(exchange.snapshot),
            exchange.shards,
            self._text(exchange.route),
            self._text(exchange.query),
            self._text(exchange.caller),
            exchange.priority.value,
            exchange.budget_ms,
            exchange.top_k,
            exchange.repeatable,
            self._text(exchange.fingerprint),
            exchange.attempt.value,
            exchange.proven,
            exchange.last_resort,
        ]

    def _reply(self, reply: ExchangeReply) -> list[Any]:
        return [
            reply.exchange_id,
            self._text(reply.request_id),
            self._text(reply.server),
            reply.fate.value,
            reply.reason.value,
            [self._partial(partial) for partial in reply.partials],
            None if reply.load is None else self._load(reply.load),
            reply.waited_ms,
        ]

    def _partial(self, partial: Partial) -> list[Any]:
        documents = [hit.document for hit in partial.hits]
        scores = [hit.score for hit in partial.hits]
        snapshot = self._text(partial.snapshot)
        return [partial.shard, snapshot, partial.complete, documents, scores]

    @staticmethod
    def _load(load: ServerLoad) -> list[Any]:
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
    """Return the messages in a frame.

    Raises
    ------
    DecodeError
        When the frame is malformed, too large or of another wire version.
    """
    if len(frame) > MAX_FRAME_BYTES:
        raise DecodeError("the frame is too large")
    try:
        version, texts, messages = cbor2.loads(frame)
        if version != WIRE_VERSION:
            raise DecodeError(f"wire version {version!r} is not {WIRE_VERSION}")
        if len(messages) > MAX_MESSAGES or not all(type(t) is str for t in texts):
            raise DecodeError("the frame has too many messages or bad texts")
        return [_decode(message, texts) for message in messages]
    except DecodeError:
        raise
    except Exception as error:
        raise DecodeError(f"malformed frame: {type(error).__name__}") from error


def _decode(fields: list[Any], texts: list[str]) -> PeerMessage:
    tag, *rest = fields
    match tag:
        case Tag.SUBMIT:
            return SubmitExchange(_exchange(rest, texts))
        case Tag.REPORT:
            return ReportExchange(_reply(rest, texts))
        case Tag.WITHDRAW:
            exchange_id, server = rest
            return WithdrawExchange(_integer(exchange_id), texts[server])
        case Tag.HEARTBEAT:
            name, zone, host, port, leaving, versions = rest
            member = Member(
                _string(name),
                _string(zone),
                _string(host),
                _integer(port),
                bool(leaving),
            )
            return Heartbeat(member, tuple(_integer(v) for v in versions))
        case Tag.DAEMON_STOPPED:
            (name,) = rest
            return DaemonStopped(_string(name))
        case Tag.UNRESPONSIVE:
            (name,) = rest
            return ReportUnresponsive(_string(name))
        case Tag.STRIKE:
            notice_id, fingerprint, server = rest
            notice = StrikeNotice(
                _string(notice_id), _string(fingerprint), _string(server)
            )
            return ReportStrike(notice)
        case Tag.WARM:
            (servers,) = rest
            return ReportWarm(tuple(_string(server) for server in servers))
        case Tag.EVIDENCE:
            return ReportEvidence(_evidence(rest))
        case Tag.BAD_MOVE:
            move_id, reason = rest
            return ReportBadMove(_string(move_id), _string(reason))
        case Tag.REQUEST_CATALOGUE:
            kind, known = rest
            return RequestCatalogue(Kind(kind), _integer(known))
        case Tag.REPORT_CATALOGUE:
            kind, known, specs = rest
            objects = tuple(_stored(Kind(kind), item) for item in specs)
            return ReportCatalogue(Kind(kind), _integer(known), objects)
    raise DecodeError(f"unknown message tag {tag!r}")


def _evidence(fields: list[Any]) -> EvidenceReport:
    move_id, route, zone, seen, samples, failures, slowness = fields
    return EvidenceReport(
        _string(move_id),
        _string(route),
        _string(zone),
        _integer(seen),
        _integer(samples),
        _finite(failures),
        _finite(slowness),
    )


def _stored(kind: Kind, fields: list[Any]) -> StoredObject:
    name, version, spec = fields
    if type(spec) is not dict:
        raise DecodeError("an object's spec must be a map")
    return StoredObject(kind, _string(name), _integer(version), spec)


def _exchange(fields: list[Any], texts: list[str]) -> Exchange:
    shards = tuple(_integer(shard) for shard in fields[5])
    return Exchange(
        exchange_id=_integer(fields[0]),
        request_id=texts[fields[1]],
        service=texts[fields[2]],
        server=texts[fields[3]],
        snapshot=texts[fields[4]],
        shards=shards,
        route=texts[fields[6]],
        query=texts[fields[7]],
        caller=texts[fields[8]],
        priority=Priority(fields[9]),
        budget_ms=float(fields[10]),
        top_k=_integer(fields[11]),
        repeatable=bool(fields[12]),
        fingerprint=texts[fields[13]],
        attempt=Attempt(fields[14]),
        proven=bool(fields[15]),
        last_resort=bool(fields[16]),
    )


def _reply(fields: list[Any], texts: list[str]) -> ExchangeReply:
    exchange_id, request_id, server, fate, reason, partials, load, waited_ms = fields
    return ExchangeReply(
        exchange_id=_integer(exchange_id),
        request_id=texts[request_id],
        server=texts[server],
        fate=Fate(fate),
        reason=Reason(reason),
        partials=tuple(_partial(item, texts) for item in partials),
        load=None if load is None else _load(load),
        waited_ms=float(waited_ms),
    )


def _partial(fields: list[Any], texts: list[str]) -> Partial:
    shard, snapshot, complete, documents, scores = fields
    hits = tuple(
        Hit(_string(document), float(score))
        for document, score in zip(documents, scores, strict=True)
    )
    return Partial(_integer(shard), texts[snapshot], hits, bool(complete))


def _load(fields: list[Any]) -> ServerLoad:
    in_flight, queued, limit, service_ms, cold, draining, pause_ms = fields
    return ServerLoad(
        _integer(in_flight),
        _integer(queued),
        float(limit),
        float(service_ms),
        bool(cold),
        bool(draining),
        float(pause_ms),
    )


def _integer(value: object) -> int:
    if type(value) is not int:
        raise DecodeError("a whole number is expected")
    return value


def _finite(value: object) -> float:
    if type(value) is not float or not math.isfinite(value):
        raise DecodeError("a finite number is expected")
    return value


def _string(value: object) -> str:
    if type(value) is not str:
        raise DecodeError("a text is expected")
    return value


__all__ = ["MAX_FRAME_BYTES", "FrameEncoder", "decode_frame"]
