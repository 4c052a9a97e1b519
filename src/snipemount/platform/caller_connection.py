"""One connection of a caller, which is bounded before a request reaches its handler."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from aiohttp.http_exceptions import HttpProcessingError, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader

from ..memory.unfinished_requests import Stage
from . import headers as names
from .caller_refusals import CutOff
from .refusing_handler import RefusingHandler
from .request_framing import CONTINUE, LINE_ENDS, ChunkedBody, head_end
from .unsent_bytes import bytes_in_kernel

if TYPE_CHECKING:
    from aiohttp.http import RawRequestMessage
    from aiohttp.web_request import BaseRequest
    from aiohttp.web_response import StreamResponse
    from aiohttp.web_server import Server

    from .caller_connections import CallerConnections

# Received but not parsed bytes above which a connection stops receiving.
MAX_UNPARSED_BYTES = 2**16
# Complete requests up to this size are not counted, as they are part of the share of
# memory for connections.
UNCOUNTED_BYTES = 4096
# A parsed header takes this much besides its text.
HEADER_COST_BYTES = 500
# The transport of a caller that reads slowly holds this much without being counted.
WRITE_BUFFER_BYTES = 2**14
MS_PER_S = 1000.0
KEEP_ALIVE_SLACK_S = 1.0
# A head within the default limit may have this many; memory for them is counted.
MAX_HEADERS = 512
# Of the parser, which outlives a configuration; the limits in force apply before it.
MAX_PARSED_BYTES = 2**30
NO_CHUNKS = ChunkedBody()  # of a request whose body is not chunked


class CallerConnection(RefusingHandler):
    """Collects one request at a time, and lets aiohttp serve it when it is complete.

    An unfinished request has no task, and can be refused as "not run" and freed at any
    moment. None is parsed while another is being served.

    Parameters
    ----------
    server : Server
        Server that handles the requests.
    callers : CallerConnections
        All connections of callers.
    options : Any
        Further options of aiohttp's handler.
    """

    __slots__ = (
        "_body",
        "_chunks",
        "_empty_bytes",
        "_in_turns",
        "_is_counted",
        "_is_paused",
        "_is_serving",
        "_length",
        "_message",
        "_payload",
        "_received",
        "_scanned",
        "_unacknowledged",
        "_unread",
    )

    def __init__(
        self, server: Server, callers: CallerConnections, **options: Any
    ) -> None:
        limits = callers.limits()
        super().__init__(
            server,
            callers,
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_S + KEEP_ALIVE_SLACK_S,
            max_field_size=MAX_PARSED_BYTES,
            max_line_size=MAX_PARSED_BYTES,
            max_headers=MAX_HEADERS,
            **options,
        )
        self._is_paused = self._in_turns = self._is_counted = False
        self._free()

    def _begin_request(self) -> None:
        self._is_serving = False
        self._message: RawRequestMessage | None = None
        self._payload: StreamReader = EMPTY_PAYLOAD
        self._body = bytearray()
        self._chunks = NO_CHUNKS
        self._empty_bytes = self._scanned = 0
        self._length = self._unread = self._unacknowledged = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to wait for requests, unless there are too many connections."""
        super().connection_made(transport)
        with suppress(NotImplementedError):  # transports without flow control
            assert self.transport is not None
            self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if not self._callers.opened(self):
            self._refuse(CutOff.CONNECTIONS)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what was received, and cancel the request being served."""
        self._callers.closed(self)
        self._free()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if self._is_cut_off:
            self._drop(len(data))
        elif data and not (self._close or self._force_close):
            self._received += data
            if self._is_serving:
                self._count_served()
            else:
                self._parse()

    def pause_reading(self) -> None:
        """Do nothing: a body is within its limit, and is parsed as a whole."""

    def pause_writing(self) -> None:
        """Count the response, as the caller does not read it at once."""
        super().pause_writing()
        self.note_unread()

    def resume_writing(self) -> None:
        """Stop counting the response."""
        super().resume_writing()
        self._unread = 0
        self._count_served()

    def note_unread(self) -> None:
        """Record how much of the response the caller has not read."""
        if self.transport is not None and self.writing_paused:
            self._unread = self.transport.get_write_buffer_size()
            before, self._unacknowledged = self._unacknowledged, self._unread
            self._unacknowledged += bytes_in_kernel(self.transport)
            self._count_served(self._unacknowledged < before)

    async def finish_response(
        self, request: BaseRequest, resp: StreamResponse, start_time: float | None
    ) -> tuple[StreamResponse, bool]:
        """Write the response, then begin the next request."""
        finished = await super().finish_response(request, resp, start_time)
        self._stop_counting()
        self._begin_request()
        if self._received:
            self._loop.call_soon(self._parse_next)
        else:
            self._callers.became_idle(self)
        return finished

    def close(self) -> None:
        """Close after the request being served; refuse one that is unfinished."""
        if self._is_serving or not (self._received or self._message):
            super().close()
        else:
            self._refuse(CutOff.STOPPING)

    def _process_keepalive(self) -> None:
        """Close an idle connection; a request being received has its own limits."""
        if self._message is None and not self._received:
            super()._process_keepalive()
            return
        close_time = self._loop.time() + self._keepalive_timeout
        self._next_keepalive_close_time = close_time
        self._keepalive_handle = self._loop.call_at(close_time, self._process_keepalive)

    def cut_off(self, reason: CutOff) -> None:
        """Refuse an unfinished request, end an unread response, or drop what follows.

        A request being served is completed if its caller reads, and the connection
        closed after it.
        """
        if not self._is_serving:
            self._refuse(reason)
            return
        self._callers.cut_offs.note(reason)
        if self.writing_paused and self.transport is not None:
            self._stop_counting()
            self.transport.abort()
        else:
            self._received = b""
            super().close()
            self._count_served()

    def parse_slice(self) -> bool:
        """Parse a slice of a chunked body; return whether more can be parsed."""
        self._in_turns = False
        message = self._message
        if message is None or not self._received:
            return False
        data = self._take(self._chunks.slice_length(self._received))
        self._read_chunks(message, data)
        if not self._is_cut_off and not self._is_serving:
            self._count_body(message, self._chunks.framing_bytes == 0)
        self._in_turns = bool(self._received) and not self._is_serving
        return self._in_turns and not self._is_cut_off

    def _request_id(self) -> str:
        message = self._message
        return "" if message is None else message.headers.get(names.REQUEST_ID, "")

    def _free(self) -> None:
        self._received = b""
        self._begin_request()

    def _parse_next(self) -> None:
        transport = self.transport  # None if the connection was cut off or lost
        is_open = transport is not None and not transport.is_closing()
        if is_open and self._received and not (self._is_serving or self._close):
            self._parse()

    def _parse(self) -> None:
        """Parse one request at most."""
        if self._message is None:
            self._read_head()
        if (message := self._message) is None:
            return
        if message.chunked:
            if self._received and not self._in_turns:
                self._in_turns = True
                self._callers.turns.add(self)
            if not self._is_serving and not self._is_cut_off:
                self._count_body(message, False)
        else:
            self._read_body(message)

    def _read_head(self) -> None:
        if not self._scanned and self._received[0] in LINE_ENDS:
            self._skip_empty_lines()
        data = self._received
        end = head_end(data, self._scanned)
        limits = self._callers.limits()
        if self._empty_bytes + (end or len(data)) > limits.max_header_bytes:
            self._refuse(CutOff.HEAD_TOO_LARGE)
            return
        if not data:
            self._callers.became_idle(self)
            return
        if not self._scanned:
            self._callers.became_busy(self)
        self._scanned = len(data)
        if not end:
            self._count(Stage.HEAD, len(data))
            return
        messages = self._feed(self._take(end))
        if messages:
            self._begin_body(*messages[0], limits.max_body_bytes)

    def _skip_empty_lines(self) -> None:
        self._empty_bytes += len(self._received)
        self._received = self._received.lstrip(LINE_ENDS)
        self._empty_bytes -= len(self._received)
        self._resume_if_parsed()

    def _begin_body(
        self, message: RawRequestMessage, payload: StreamReader, max_bytes: int
    ) -> None:
        self._message, self._payload = message, payload
        self._length = int(message.headers.get("Content-Length", "0"))
        if message.chunked:
            self._chunks = ChunkedBody()
        if message.method == "CONNECT":
            self._refuse(CutOff.MALFORMED)
        elif self._length > max_bytes:
            self._refuse(CutOff.BODY_TOO_LARGE)
        elif not (self._length or message.chunked) or self._received:
            return
        elif message.headers.get("Expect", "").lower() == "100-continue":
            assert self.transport is not None
            self.transport.write(CONTINUE)

    def _read_body(self, message: RawRequestMessage) -> None:
        if self._length:
            part = self._take(self._length - len(self._body))
            if len(self._body) + len(part) < self._length:
                self._body += part
                self._count_body(message, True)
                return
            self._feed(bytes(self._body + part) if self._body else part)
            self._body = bytearray()
        if not self._is_cut_off:
            self._serve(message, self._payload)

    def _read_chunks(self, message: RawRequestMessage, data: bytes) -> None:
        self._feed(data)
        if self._is_cut_off:
            return
        chunks = self._chunks
        chunks.add(self._payload.read_nowait(-1), len(data))
        limits, size = self._callers.limits(), len(chunks.data)
        if size > limits.max_body_bytes:
            self._refuse(CutOff.BODY_TOO_LARGE)
        elif chunks.framing_bytes > limits.max_header_bytes:
            self._refuse(CutOff.HEAD_TOO_LARGE)
        elif self._payload.is_eof():
            payload = StreamReader(self, size + 1, loop=self._loop)
            payload.feed_data(bytes(chunks.data))
            payload.feed_eof()
            self._chunks = NO_CHUNKS
            self._length = size
            self._serve(message, payload)

    def _feed(self, data: bytes) -> list[tuple[RawRequestMessage, StreamReader]]:
        """Parse bytes of one request; refuse it if they are malformed."""
        assert self._parser is not None
        try:
            messages, self._upgraded, tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            is_long = isinstance(error, LineTooLong) or "Too many" in str(error)
            self._refuse(CutOff.HEAD_TOO_LARGE if is_long else CutOff.MALFORMED)
            return []
        if tail:
            self._received = tail + self._received
        has_head = self._message is not None or bool(messages)
        if self._payload.exception() is not None or not has_head:
            self._refuse(CutOff.MALFORMED)
        return list(messages)

    def _serve(self, message: RawRequestMessage, payload: StreamReader) -> None:
        """Let the handler's task have a complete request, if there is room for it."""
        is_large = self._length + len(self._received) > UNCOUNTED_BYTES
        if is_large:
            self._count(Stage.BODY, self._served_bytes)
            if self._is_cut_off:
                return
        self._is_serving = True
        self._request_count += 1
        self._messages.append((message, payload))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)
        if is_large or self._is_counted:
            self._count_served()

    @property
    def _served_bytes(self) -> int:
        return self._length + len(self._received) + self._unread

    def _count_served(self, progressed: bool = False) -> None:
        """Count the request being served, what follows it, and its response."""
        held = self._served_bytes
        if not self._is_serving:
            return
        if self.writing_paused:
            self._count(Stage.RESPONSE, held, progressed)
        elif held <= UNCOUNTED_BYTES:
            self._stop_counting()
        elif len(self._received) > UNCOUNTED_BYTES:
            self._count(Stage.QUEUED, held)
        else:
            self._count(Stage.SERVED, held)
        self._pause_if_full()

    def _count_body(self, message: RawRequestMessage, progressed: bool) -> None:
        held = self._scanned + len(message.raw_headers) * HEADER_COST_BYTES
        held += len(self._body) + len(self._chunks.data) + len(self._received)
        self._count(Stage.BODY, held, progressed)
        self._pause_if_full()

    def _count(self, stage: Stage, held: int, progressed: bool = True) -> None:
        self._is_counted = True
        self._callers.note(self, stage, held, progressed)

    def _stop_counting(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._callers.end(self)

    def _take(self, count: int) -> bytes:
        data = self._received
        self._received = data[count:]
        if self._is_paused:
            self._resume_if_parsed()
        return data[:count]

    def _pause_if_full(self) -> None:
        if len(self._received) > MAX_UNPARSED_BYTES and not self._is_paused:
            self._is_paused = True
            self._pause_transport_reading()

    def _resume_if_parsed(self) -> None:
        if self._is_paused and len(self._received) <= MAX_UNPARSED_BYTES:
            self._is_paused = False
            self._resume_transport_reading()


__all__ = ["CallerConnection"]
