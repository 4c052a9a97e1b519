"""One connection to a leaf: one request at a time, answers matched by id."""

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
    LostReason,
    NotRun,
    NotRunReason,
    NoValidResponse,
)
from ..ports.leaf import LegReport
from . import headers as names

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest, LegOutcome
    from ..model.leaf import Leaf

READ_BUFFER_BYTES = 2**22
MOST_HEADER_BYTES = 65_536
MISDIRECTED = 421
DEFAULT_IDLE_MS = 3000.0  # where the leaf names no limit of its own
UNUSED_IDLE_MS = 8000.0  # the leaf has not named one yet; it closes it if it is less
IDLE_SHARE = 0.8  # of the limit named, which is in whole seconds
MOST_COMMON_HEADS = 8  # a query's legs are sent one after the other
MOST_IDLE_TEXTS = 64  # leafs name one of a few limits
MS_PER_S = 1000.0


class ConnectionState(Enum):
    """What a connection may be used for."""

    IDLE = 0
    BUSY = 1
    CLOSED = 2


class LeafConnection(asyncio.Protocol):
    """Writes requests, reads answers and keeps apart what belongs to no request.

    A connection on which anything unexpected arrived is closed after the exchange.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Loop it runs on.
    on_free : Callable
        Called with the connection when it is idle again, or closed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_free: Callable[[LeafConnection], None],
    ) -> None:
        self._loop = loop
        self._flow = BaseProtocol(loop)
        self._transport: asyncio.Transport | None = None
        self._on_free = on_free
        self._parser: HttpResponseParser | None = None
        self._done: Callable[[LegReport], None] | None = None
        self._request_id = ""
        self._tainted = False
        self._message: Any = None
        self._payload: Any = None
        self._body = bytearray()
        self.state = ConnectionState.IDLE
        self.idle_limit_ms = UNUSED_IDLE_MS
        self.idle_since_ms = 0.0

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[LegReport], None],
    ) -> None:
        """Write a request; `done` gets the report."""
        assert self._transport is not None
        self.state = ConnectionState.BUSY
        self._done = done
        self._request_id = request.request_id
        self._message = None
        self._body.clear()
        self._parser = HttpResponseParser(
            self._flow,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MOST_HEADER_BYTES,
            max_field_size=MOST_HEADER_BYTES,
            response_with_body=request.method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self._transport.write(encode_request(leaf, request, time_left_ms))

    def cancel(self) -> None:
        """Drop the exchange: the leaf sees the connection end."""
        self._done = None
        self.close()

    def close(self) -> None:
        """Close at once, whatever is under way, and make room for another one."""
        self.state = ConnectionState.CLOSED
        if self._transport is not None:
            self._transport.abort()
        self._on_free(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Feed the parser; bytes that nobody waits for end the connection."""
        if self._parser is None or self._done is None:
            self.close()
            return
        try:
            messages, _, tail = self._parser.feed_data(data)
            self._tainted = self._tainted or bool(tail)
            self._take(messages)
        except (HttpProcessingError, ValueError):
            self._finish(NoValidResponse(LostReason.MALFORMED), keep=False)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange; an answer without a length ends well with the stream."""
        self._transport = None
        self.state = ConnectionState.CLOSED
        if self._done is None:
            self._on_free(self)
            return
        self._finish(self._at_end_of_stream(exc), keep=False)

    def _at_end_of_stream(self, exc: Exception | None) -> LegOutcome:
        message = self._message
        if exc is None and message is not None and _ends_with_stream(message):
            self._read_payload()
            return self._outcome(message)
        return NoValidResponse(LostReason.BROKEN_OFF)

    def _take(self, messages: Any) -> None:
        for message, payload in messages:
            if 100 <= message.code < 200:
                continue
            if self._message is not None and not self._is_foreign(self._message):
                self._tainted = True
                break
            self._tainted = self._tainted or self._message is not None
            self._message = message
            self._payload = payload
            self._body.clear()
        if self._message is None:
            return
        self._read_payload()
        if self._payload.exception() is not None:
            self._finish(NoValidResponse(LostReason.MALFORMED), keep=False)
            return
        if not self._payload.is_eof():
            return
        if self._is_foreign(self._message):
            self._tainted = True
            return
        self._complete()

    def _read_payload(self) -> None:
        if self._payload.exception() is None:
            self._body += self._payload.read_nowait(-1)

    def _is_foreign(self, message: Any) -> bool:
        answered = message.headers.get(names.REQUEST_ID)
        if answered is None:
            return self._tainted or 200 <= message.code < 300
        return bool(answered != self._request_id)

    def _complete(self) -> None:
        message = self._message
        keep = not (self._tainted or message.should_close)
        self.idle_limit_ms = _idle_limit_ms(message.headers.get("Keep-Alive", ""))
        self._finish(self._outcome(message), keep=keep)

    def _outcome(self, message: Any) -> LegOutcome:
        headers = message.headers
        if self._is_foreign(message):
            return NoValidResponse(LostReason.FOREIGN_ANSWER)
        if message.code == MISDIRECTED:
            return NotRun(NotRunReason.OTHER_LEAF)
        if names.NOT_RUN in headers:
            return NotRun(NotRunReason.REFUSED)
        if "Content-Encoding" in headers:
            return NoValidResponse(LostReason.MALFORMED)
        passed = names.end_to_end(
            headers.items(), headers.get("Connection", ""), frozenset()
        )
        receipt = headers.get(names.RECEIPT, "")
        if 200 <= message.code < 300 and not receipt:
            return NoValidResponse(LostReason.MALFORMED)
        return LeafAnswer(message.code, passed, bytes(self._body), receipt)

    def _finish(self, outcome: LegOutcome, keep: bool) -> None:
        done = self._done
        self._done = None
        load = None
        if self._message is not None and not isinstance(outcome, NoValidResponse):
            load = parse_load(self._message.headers.get(names.LOAD, ""))
        if keep and self.state is ConnectionState.BUSY:
            self.state = ConnectionState.IDLE
            self._on_free(self)
        else:
            self.close()
        if done is not None:
            done(LegReport(outcome, load))


def encode_request(leaf: Leaf, request: ForwardRequest, time_left_ms: float) -> bytes:
    """Return the bytes of a request to `leaf`."""
    own = (
        f"{names.DEADLINE_MS}: {max(1, int(time_left_ms))}\r\n"
        f"{names.EXPECTED_LEAF}: {leaf.leaf_id}\r\n\r\n"
    )
    return _common_head(request) + own.encode() + request.body


@lru_cache(maxsize=MOST_COMMON_HEADS)
def _common_head(request: ForwardRequest) -> bytes:
    """Return the head that is the same for every leaf that a request is sent to."""
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines += (f"{name}: {value}" for name, value in request.headers)
    if request.body or request.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"Content-Length: {len(request.body)}")
    head = "\r\n".join(lines) + "\r\n"
    return head.encode("utf-8", "surrogateescape")


def parse_load(text: str) -> LoadReport | None:
    """Return the load that a leaf told, if it told any."""
    fields = text.split(",")
    try:
        running, waiting, slots = (int(field) for field in fields)
    except ValueError:
        return None
    return LoadReport(running, waiting, slots)


def _ends_with_stream(message: Any) -> bool:
    return not message.chunked and "Content-Length" not in message.headers


@lru_cache(maxsize=MOST_IDLE_TEXTS)
def _idle_limit_ms(keep_alive: str) -> float:
    for field in keep_alive.split(","):
        name, _, value = field.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return float(value) * MS_PER_S * IDLE_SHARE
    return DEFAULT_IDLE_MS


__all__ = ["ConnectionState", "LeafConnection", "encode_request", "parse_load"]
