"""HTTP connection to a leaf: one request at a time, responses matched by id."""

from __future__ import annotations

import asyncio
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, cast

from aiohttp.base_protocol import BaseProtocol

from ..errors import MalformedResponseError
from ..model.forwarding import (
    LeafAnswer,
    LoadReport,
    NotRun,
    NotRunReason,
    NoValidResponse,
    NoValidResponseReason,
)
from ..model.identity import OfOrganisation
from ..ports.leaf import AttemptReport
from . import headers as names
from .leaf_notices import parse_notice
from .response_reader import ResponseReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import AttemptOutcome, ForwardRequest
    from ..model.leaf import Leaf
    from ..model.leaf_notice import LeafNotice
    from .pending_bytes import PendingBytes
    from .reading_pace import ReadingPace

MISDIRECTED_STATUS = 421
DEFAULT_IDLE_LIMIT_MS = 3000.0  # for a leaf that states no Keep-Alive timeout
# Before the first response, which states the leaf's timeout; a leaf with a shorter one
# closes the connection itself.
UNUSED_IDLE_LIMIT_MS = 8000.0
MAX_IDLE_LIMIT_MS = 3_600_000.0
MAX_LOAD = 100_000  # requests or slots of one leaf
MAX_WORK_PERCENT = 100_000
PERCENT = 100.0
IDLE_LIMIT_SHARE = 0.8  # of the leaf's timeout, which is stated in whole seconds
# Few are needed, because the legs of a query are sent one after the other.
MAX_CACHED_HEADS = 8
MAX_CACHED_IDLE_LIMITS = 64  # leafs state one of a few timeouts
MS_PER_S = 1000.0


class LeafConnectionState(Enum):
    """Whether a connection can take a request, is serving one, or is closed."""

    IDLE = 0
    BUSY = 1
    CLOSED = 2


class LeafConnection(asyncio.Protocol):
    """Writes requests, reads responses and discards those to another request.

    A connection that received unexpected data is closed after the current request
    and never used again.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    on_free : Callable
        Called with the connection when it becomes idle again, and when it is closed.
    pending_bytes : PendingBytes
        Bounds what is read; a response beyond it is malformed.
    pace : ReadingPace
        Bounds how fast large responses are read.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_free: Callable[[LeafConnection], None],
        pending_bytes: PendingBytes,
        pace: ReadingPace,
    ) -> None:
        self._pending_bytes = pending_bytes
        self._pace = pace
        self._loop = loop
        self._flow = BaseProtocol(loop)
        self._transport: asyncio.Transport | None = None
        self._on_free = on_free
        self._reader: ResponseReader | None = None
        self._done: Callable[[AttemptReport], None] | None = None
        # Received but not parsed yet: from `_parsed` on.
        self._received = b""
        self._parsed = 0
        self._spent = 0
        self._paused = False
        self.state = LeafConnectionState.IDLE
        self.idle_limit_ms = UNUSED_IDLE_LIMIT_MS
        self.idle_since_ms = 0.0

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> None:
        """Write a request to an idle connection; `done` gets the report.

        Parameters
        ----------
        leaf : Leaf
            Leaf that is expected to respond, by its id.
        request : ForwardRequest
            Request to forward.
        time_left_ms : float
            Time until the deadline, which the leaf gets in a header.
        done : Callable
            Called once with the outcome, unless the request is cancelled.
        """
        assert self._transport is not None
        self.state = LeafConnectionState.BUSY
        self._done = done
        self._spent = 0
        self._reader = ResponseReader(
            self._loop,
            self._flow,
            request.request_id,
            request.method != "HEAD",
            self._pending_bytes,
        )
        self._transport.write(encode_request(leaf, request, time_left_ms))

    def cancel(self) -> None:
        """Drop the request without a report and close the connection."""
        self._done = None
        self.close()

    def close(self) -> None:
        """Abort the connection and call `on_free` before returning.

        The pool can thus open another connection in its place at once.
        """
        self.state = LeafConnectionState.CLOSED
        self._release()
        if self._transport is not None:
            self._transport.abort()
        self._on_free(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for writing and closing."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Parse data; close the connection on data without a pending request."""
        if self._reader is None or self._done is None:
            self.close()
            return
        if self._received:
            data = self._received[self._parsed :] + data
        self._received, self._parsed = data, 0
        if not self._paused:
            self._parse()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the pending request; EOF completes a response without a length."""
        self._transport = None
        self.state = LeafConnectionState.CLOSED
        if self._done is not None:
            self._parse(at_pace=False)
        if self._done is None or self._reader is None:
            self._release()
            self._on_free(self)
            return
        if exc is None and self._reader.end():
            self._finish(self._outcome(self._reader), reuse=False)
        else:
            self._lose(NoValidResponseReason.CONNECTION_CLOSED)

    def _parse(self, at_pace: bool = True) -> None:
        """Parse what was received, in slices, until the response has ended.

        The rest waits, and no more is received, while the pace does not allow it.
        """
        reader = self._reader
        while reader is not None and self._parsed < len(self._received):
            data = reader.next_slice(self._received, self._parsed)
            cost = reader.cost_of(data)
            if at_pace and not self._pace.allows(cost, self._spent):
                self._pause()
                return
            self._spent += cost
            self._parsed += len(data)
            self._feed(reader, data)
            reader = self._reader
        self._received, self._parsed = b"", 0

    def _feed(self, reader: ResponseReader, data: bytes) -> None:
        try:
            is_complete = reader.feed(data)
        except MalformedResponseError:
            self._pending_bytes.given_up += 1
            self._lose(NoValidResponseReason.MALFORMED)
            return
        if is_complete:
            self._finish_response(reader)

    def _pause(self) -> None:
        if self._paused:
            return
        self._paused = True
        if self._transport is not None:
            self._transport.pause_reading()
        self._pace.call_later(self._read_on)

    def _read_on(self) -> None:
        self._paused = False
        if self._reader is None:
            return
        self._parse()
        if not self._paused and self._reader is not None and self._transport:
            self._transport.resume_reading()

    def _finish_response(self, reader: ResponseReader) -> None:
        message = reader.message
        outcome = self._outcome(reader)
        has_more = self._parsed < len(self._received)
        is_valid = not isinstance(outcome, NoValidResponse)
        must_close = reader.unexpected_data or message.should_close or has_more
        self.idle_limit_ms = _idle_limit_ms(message.headers.get("Keep-Alive", ""))
        self._finish(outcome, reuse=is_valid and not must_close)

    def _lose(self, reason: NoValidResponseReason) -> None:
        self._finish(NoValidResponse(reason), reuse=False)

    def _outcome(self, reader: ResponseReader) -> AttemptOutcome:
        message = reader.message
        headers = message.headers
        if reader.is_to_other_request:
            return NoValidResponse(NoValidResponseReason.MISMATCHED_RESPONSE)
        if message.code == MISDIRECTED_STATUS:
            return NotRun(NotRunReason.OTHER_LEAF)
        if names.NOT_RUN in headers:
            return NotRun(NotRunReason.REFUSED)
        if "Content-Encoding" in headers:
            return NoValidResponse(NoValidResponseReason.MALFORMED)
        forwarded = names.end_to_end(
            filter(_has_text, headers.items()),
            headers.get("Connection", ""),
            frozenset(),
        )
        receipt = headers.get(names.RECEIPT, "")
        if not _is_text(receipt):
            receipt = ""
        if 200 <= message.code < 300 and not receipt:
            return NoValidResponse(NoValidResponseReason.MALFORMED)
        return LeafAnswer(message.code, forwarded, reader.body, receipt)

    def _finish(self, outcome: AttemptOutcome, reuse: bool) -> None:
        done = self._done
        self._done = None
        report = self._report(outcome)
        self._release()
        if reuse and self.state is LeafConnectionState.BUSY:
            self.state = LeafConnectionState.IDLE
            self._on_free(self)
        else:
            self.close()
        if done is not None:
            done(report)

    def _report(self, outcome: AttemptOutcome) -> AttemptReport:
        """Return the report; a response that is not valid states nothing."""
        reader = self._reader
        if reader is None or isinstance(outcome, NoValidResponse):
            bytes_read = 0 if reader is None else reader.bytes_read
            return AttemptReport(outcome, bytes_read=bytes_read)
        load = parse_load(reader.message.headers.get(names.LOAD, ""))
        notice = _notice(reader)
        return AttemptReport(outcome, load, reader.bytes_read, notice=notice)

    def _release(self) -> None:
        """Free what was received, as the response has ended."""
        if self._reader is not None:
            self._reader.release()
            self._reader = None
        self._received, self._parsed = b"", 0


def _is_text(value: str) -> bool:
    """Return whether a value is UTF-8: others cannot be passed on unchanged."""
    if value.isascii():
        return True
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _has_text(field: tuple[str, str]) -> bool:
    return _is_text(field[1])


def _notice(reader: ResponseReader) -> LeafNotice | None:
    """Return what the leaf states; None if the response is another leaf's."""
    message = reader.message
    if message.code == MISDIRECTED_STATUS:
        return None
    return parse_notice(message.code, message.headers)


def encode_request(leaf: Leaf, request: ForwardRequest, time_left_ms: float) -> bytes:
    """Return the bytes of a request, with the headers that depend on the leaf last."""
    leaf_headers = (
        f"{names.DEADLINE_MS}: {max(1, int(time_left_ms))}\r\n"
        f"{names.EXPECTED_LEAF}: {leaf.leaf_id}\r\n\r\n"
    )
    return _common_head(request) + leaf_headers.encode() + request.body


@lru_cache(maxsize=MAX_CACHED_HEADS)
def _common_head(request: ForwardRequest) -> bytes:
    """Return the part of the head that is the same for all leafs."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += (f"{name}: {value}" for name, value in request.forwarded_headers)
    if isinstance(request.caller, OfOrganisation):
        lines.append(f"{names.ORGANISATION}: {request.caller.name}")
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n"
    return head.encode("utf-8", "surrogateescape")


def parse_load(text: str) -> LoadReport | None:
    """Return the load in a response's header, or None if absent or malformed.

    A number that no leaf can mean is malformed: it would weigh on the choice of leafs.
    The fourth figure, how long work takes in percent of usual, is optional.
    """
    fields = text.split(",")
    if len(fields) not in (3, 4):
        return None
    try:
        running, waiting, slots, *work = (int(field) for field in fields)
    except ValueError:
        return None
    if min(running, waiting, slots) < 0 or max(running, waiting, slots) > MAX_LOAD:
        return None
    if not work:
        return LoadReport(running, waiting, slots)
    if not 0 < work[0] <= MAX_WORK_PERCENT:
        return None
    return LoadReport(running, waiting, slots, work[0] / PERCENT)


@lru_cache(maxsize=MAX_CACHED_IDLE_LIMITS)
def _idle_limit_ms(keep_alive: str) -> float:
    for field in keep_alive.split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(MAX_IDLE_LIMIT_MS, float(value) * MS_PER_S * IDLE_LIMIT_SHARE)
    return DEFAULT_IDLE_LIMIT_MS


__all__ = ["LeafConnection", "LeafConnectionState", "encode_request", "parse_load"]
