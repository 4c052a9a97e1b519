"""HTTP connection to a leaf: one request at a time, responses matched by id."""

from __future__ import annotations

import asyncio
from enum import Enum
from functools import lru_cache
from typing import TYPE_CHECKING, Any, cast

from aiohttp.base_protocol import BaseProtocol
from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError

from ..model.forwarding import (
    LeafAnswer,
    LoadReport,
    NotRun,
    NotRunReason,
    NoValidResponse,
    NoValidResponseReason,
)
from ..ports.leaf import AttemptReport
from . import headers as names
from .leaf_notices import parse_notice

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import AttemptOutcome, ForwardRequest
    from ..model.leaf import Leaf
    from ..model.leaf_notice import LeafNotice
    from .pending_bytes import PendingBytes

READ_BUFFER_BYTES = 2**22
MAX_HEADER_LINE_BYTES = 65_536
MISDIRECTED_STATUS = 421
DEFAULT_IDLE_LIMIT_MS = 3000.0  # for a leaf that states no Keep-Alive timeout
# Before the first response, which states the leaf's timeout; a leaf with a shorter one
# closes the connection itself.
UNUSED_IDLE_LIMIT_MS = 8000.0
MAX_IDLE_LIMIT_MS = 3_600_000.0
MAX_LOAD = 100_000  # requests or slots of one leaf
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
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_free: Callable[[LeafConnection], None],
        pending_bytes: PendingBytes,
    ) -> None:
        self._pending_bytes = pending_bytes
        self._loop = loop
        self._flow = BaseProtocol(loop)
        self._transport: asyncio.Transport | None = None
        self._on_free = on_free
        self._parser: HttpResponseParser | None = None
        self._done: Callable[[AttemptReport], None] | None = None
        self._request_id = ""
        self._unexpected_data = False
        self._message: Any = None
        self._payload: Any = None
        self._body = bytearray()
        self._bytes_read = 0
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
        self._request_id = request.request_id
        self._message = None
        self._body.clear()
        self._parser = HttpResponseParser(
            self._flow,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
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
        self._release_bytes()
        if self._transport is not None:
            self._transport.abort()
        self._on_free(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for writing and closing."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on data without a pending request."""
        if self._parser is None or self._done is None:
            self.close()
            return
        self._bytes_read += len(data)
        has_head = self._message is not None
        if not self._pending_bytes.add(len(data), self._bytes_read, has_head):
            self._finish(NoValidResponse(NoValidResponseReason.MALFORMED), reuse=False)
            return
        try:
            messages, _, tail = self._parser.feed_data(data)
            self._unexpected_data = self._unexpected_data or bool(tail)
            self._process_messages(messages)
        except (HttpProcessingError, ValueError):
            self._finish(NoValidResponse(NoValidResponseReason.MALFORMED), reuse=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the pending request; EOF completes a response without a length."""
        self._transport = None
        self.state = LeafConnectionState.CLOSED
        if self._done is None:
            self._release_bytes()
            self._on_free(self)
            return
        self._finish(self._outcome_at_eof(exc), reuse=False)

    def _outcome_at_eof(self, exc: Exception | None) -> AttemptOutcome:
        message = self._message
        if exc is None and message is not None and _ends_at_eof(message):
            self._read_payload()
            return self._outcome(message)
        return NoValidResponse(NoValidResponseReason.CONNECTION_CLOSED)

    def _process_messages(self, messages: Any) -> None:
        for message, payload in messages:
            if 100 <= message.code < 200:
                continue
            if self._message is not None and not self._is_to_other_request(
                self._message
            ):
                self._unexpected_data = True
                break
            self._unexpected_data = self._unexpected_data or self._message is not None
            self._message = message
            self._payload = payload
            self._body.clear()
        if self._message is None:
            return
        self._read_payload()
        if self._payload.exception() is not None:
            self._finish(NoValidResponse(NoValidResponseReason.MALFORMED), reuse=False)
            return
        if not self._payload.is_eof():
            return
        if self._is_to_other_request(self._message):
            self._unexpected_data = True
            return
        self._finish_response()

    def _read_payload(self) -> None:
        if self._payload.exception() is None:
            self._body += self._payload.read_nowait(-1)

    def _is_to_other_request(self, message: Any) -> bool:
        answered_id = message.headers.get(names.REQUEST_ID)
        if answered_id is None:
            return self._unexpected_data or 200 <= message.code < 300
        return bool(answered_id != self._request_id)

    def _finish_response(self) -> None:
        message = self._message
        reuse = not (self._unexpected_data or message.should_close)
        self.idle_limit_ms = _idle_limit_ms(message.headers.get("Keep-Alive", ""))
        self._finish(self._outcome(message), reuse=reuse)

    def _outcome(self, message: Any) -> AttemptOutcome:
        headers = message.headers
        if self._is_to_other_request(message):
            return NoValidResponse(NoValidResponseReason.MISMATCHED_RESPONSE)
        if message.code == MISDIRECTED_STATUS:
            return NotRun(NotRunReason.OTHER_LEAF)
        if names.NOT_RUN in headers:
            return NotRun(NotRunReason.REFUSED)
        if "Content-Encoding" in headers:
            return NoValidResponse(NoValidResponseReason.MALFORMED)
        forwarded = names.end_to_end(
            headers.items(), headers.get("Connection", ""), frozenset()
        )
        receipt = headers.get(names.RECEIPT, "")
        if 200 <= message.code < 300 and not receipt:
            return NoValidResponse(NoValidResponseReason.MALFORMED)
        return LeafAnswer(message.code, forwarded, bytes(self._body), receipt)

    def _finish(self, outcome: AttemptOutcome, reuse: bool) -> None:
        done = self._done
        self._done = None
        bytes_read = self._bytes_read
        self._release_bytes()
        load = None
        if self._message is not None and not isinstance(outcome, NoValidResponse):
            load = parse_load(self._message.headers.get(names.LOAD, ""))
        if reuse and self.state is LeafConnectionState.BUSY:
            self.state = LeafConnectionState.IDLE
            self._on_free(self)
        else:
            self.close()
        if done is not None:
            done(AttemptReport(outcome, load, bytes_read, notice=self._notice()))

    def _notice(self) -> LeafNotice | None:
        """Return what the leaf states; None if the response is not known to be its."""
        message = self._message
        if (
            message is None
            or message.code == MISDIRECTED_STATUS
            or self._is_to_other_request(message)
        ):
            return None
        return parse_notice(message.code, message.headers)

    def _release_bytes(self) -> None:
        """Stop counting what was read, as the response has ended."""
        self._pending_bytes.release(self._bytes_read)
        self._bytes_read = 0


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
    lines += (f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n"
    return head.encode("utf-8", "surrogateescape")


def parse_load(text: str) -> LoadReport | None:
    """Return the load in a response's header, or None if absent or malformed.

    A number that no leaf can mean is malformed: it would weigh on the choice of leafs.
    """
    fields = text.split(",")
    try:
        running, waiting, slots = (int(field) for field in fields)
    except ValueError:
        return None
    if not all(0 <= number <= MAX_LOAD for number in (running, waiting, slots)):
        return None
    return LoadReport(running, waiting, slots)


def _ends_at_eof(message: Any) -> bool:
    return not message.chunked and "Content-Length" not in message.headers


@lru_cache(maxsize=MAX_CACHED_IDLE_LIMITS)
def _idle_limit_ms(keep_alive: str) -> float:
    for field in keep_alive.split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.isdigit():
            return min(MAX_IDLE_LIMIT_MS, float(value) * MS_PER_S * IDLE_LIMIT_SHARE)
    return DEFAULT_IDLE_LIMIT_MS


__all__ = ["LeafConnection", "LeafConnectionState", "encode_request", "parse_load"]
