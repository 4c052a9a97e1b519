"""Reader of the response to one request, within bounds on what a leaf may send."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp.http import HttpResponseParser
from aiohttp.http_exceptions import HttpProcessingError

from ..errors import MalformedResponseError
from ..response_head import ResponseHead
from . import headers as names
from .pending_bytes import MAX_RESPONSE_BYTES
from .request_framing import ChunkedBody

if TYPE_CHECKING:
    import asyncio

    from aiohttp.base_protocol import BaseProtocol

    from .pending_bytes import PendingBytes

BODILESS_STATUSES = (204, 304)
READ_BUFFER_BYTES = 2**22
MAX_HEADER_LINE_BYTES = 65_536
# Interim responses, and responses to other requests, before the response.
MAX_SKIPPED_RESPONSES = 16
# Of chunk sizes, extensions and trailers, beyond as many bytes as the body has.
MAX_FRAMING_BYTES = 2**14
# Bytes that are parsed at once, and so before the bounds are checked again.
HEAD_SLICE_BYTES = 2**11
CHUNKS_SLICE_BYTES = 2**12
BODY_SLICE_BYTES = 2**16
# What parsing takes, stated as the bytes of a plain body that are read in that time.
HEAD_COST = 16  # for each byte
LINE_COST_BYTES = 2**10  # for each line around a chunk


class ResponseReader:
    """Parses what a connection receives after a request was sent.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    flow : BaseProtocol
        Flow control that the parser asks for; it is not connected.
    request_id : str
        Id that the response has to bear.
    has_body : bool
        Whether a response to the request's method has a body.
    pending_bytes : PendingBytes
        Bounds what is read; a response beyond it is malformed.

    Attributes
    ----------
    message : Any
        Head of the response that is being read; None before it is complete.
    unexpected_data : bool
        Whether something else than one response to the request was received.
    bytes_read : int
        Bytes that were fed.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        flow: BaseProtocol,
        request_id: str,
        has_body: bool,
        pending_bytes: PendingBytes,
    ) -> None:
        self._request_id = request_id
        self._has_body = has_body
        self._pending_bytes = pending_bytes
        self._parser: Any = HttpResponseParser(
            flow,
            loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_LINE_BYTES,
            max_field_size=MAX_HEADER_LINE_BYTES,
            response_with_body=has_body,
            read_until_eof=True,
            auto_decompress=False,
        )
        self._head = ResponseHead()
        self._chunks = ChunkedBody()  # finds where a chunked body may end
        self._payload: Any = None
        self._body = bytearray()
        self._skipped = 0
        self._framing_from = 0
        self.message: Any = None
        self.unexpected_data = False
        self.bytes_read = 0

    def next_slice(self, received: bytes, start: int) -> bytes:
        """Return what to feed at once: little where each byte may cost much time."""
        if start == 0 and len(received) <= HEAD_SLICE_BYTES:
            return received
        return received[start : start + self._slice_bytes]

    def cost_of(self, data: bytes) -> int:
        """Return what it costs at most to parse bytes, in bytes of a plain body."""
        if self._in_head:
            return HEAD_COST * len(data)
        if self.message.chunked:
            return len(data) + LINE_COST_BYTES * data.count(b"\r\n")
        return len(data)

    @property
    def _slice_bytes(self) -> int:
        if self._in_head:
            return HEAD_SLICE_BYTES
        return CHUNKS_SLICE_BYTES if self.message.chunked else BODY_SLICE_BYTES

    @property
    def _in_head(self) -> bool:
        return self.message is None or self.is_to_other_request

    @property
    def body(self) -> bytes:
        """Body of the response."""
        return bytes(self._body)

    @property
    def is_to_other_request(self) -> bool:
        """Whether the response being read is not known to be to this request."""
        answered_id = self.message.headers.get(names.REQUEST_ID)
        if answered_id is None:
            return self.unexpected_data or 200 <= self.message.code < 300
        return bool(answered_id != self._request_id)

    def feed(self, data: bytes) -> bool:
        """Parse bytes; return whether the response is complete.

        Raises
        ------
        MalformedResponseError
            When it cannot be read, or exceeds a bound.
        """
        self.bytes_read += len(data)
        has_head = self.message is not None
        if not self._pending_bytes.add(len(data), self.bytes_read, has_head):
            raise MalformedResponseError(f"too large after {self.bytes_read} bytes")
        is_complete = False
        while data and not is_complete:
            part_bytes = self._part_bytes(data)
            is_complete = self._parse(data[:part_bytes])
            data = data[part_bytes:]
        self.unexpected_data = self.unexpected_data or bool(data)
        return is_complete

    def end(self) -> bool:
        """Return whether the end of the connection completes the response."""
        message = self.message
        if message is None or message.chunked or "Content-Length" in message.headers:
            return False
        self._read_payload()
        return True

    def release(self) -> None:
        """Free what was read, and stop counting it."""
        self._pending_bytes.release(self.bytes_read)
        self._parser = self._payload = self.message = None
        self._body = bytearray()

    def _part_bytes(self, data: bytes) -> int:
        """Return how much to parse at once, so that each next head is checked.

        That is never beyond the end of a head, or of a response to another request.
        """
        if not self._head.is_complete:
            return self._head.feed(data)
        if not self.is_to_other_request:
            return len(data)
        if self.message.chunked:
            return self._chunks.slice_length(data)
        length = self.message.headers.get("Content-Length")
        return len(data) if length is None else int(length) - len(self._body)

    def _parse(self, data: bytes) -> bool:
        """Parse bytes of one head or body; return whether the response is complete."""
        try:
            messages, _, tail = self._parser.feed_data(data)
        except (HttpProcessingError, ValueError) as error:
            raise MalformedResponseError(repr(error)) from error
        self.unexpected_data = self.unexpected_data or bool(tail)
        for message, payload in messages:
            if not self._begin(message, payload):
                break
        if self.message is not None and self._read_on():
            return True
        if self._head.is_complete and (self._payload is None or self._payload.is_eof()):
            self._head = ResponseHead()
        return False

    def _begin(self, message: Any, payload: Any) -> bool:
        """Begin to read a message; return whether the next one is heeded too."""
        if 100 <= message.code < 200:
            self._skip()
            return True
        if self.message is not None:
            is_to_other_request = self.is_to_other_request
            self.unexpected_data = True
            if not is_to_other_request:
                return False
            self._skip()
        self._check_length(message)
        self.message = message
        self._payload = payload
        self._body.clear()
        self._chunks = ChunkedBody()
        self._framing_from = self.bytes_read
        return True

    def _skip(self) -> None:
        self._skipped += 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            raise MalformedResponseError(f"{self._skipped} responses before it")

    def _check_length(self, message: Any) -> None:
        """Refuse a body that would be too large before it is read."""
        length = message.headers.get("Content-Length", "")
        has_body = self._has_body and message.code not in BODILESS_STATUSES
        if not (has_body and length.isdecimal()):
            return
        if len(length) > len(str(MAX_RESPONSE_BYTES)) or not (
            self._pending_bytes.has_room(int(length))
        ):
            raise MalformedResponseError(f"a body of {length[:20]} bytes is too large")

    def _read_on(self) -> bool:
        self._read_payload()
        if self._payload.exception() is not None:
            raise MalformedResponseError(repr(self._payload.exception()))
        self._check_framing()
        if not self._payload.is_eof():
            return False
        if self.is_to_other_request:
            self.unexpected_data = True
            return False
        return True

    def _check_framing(self) -> None:
        if not self.message.chunked:
            return
        framing_bytes = self.bytes_read - self._framing_from - len(self._body)
        if framing_bytes > MAX_FRAMING_BYTES + len(self._body):
            raise MalformedResponseError(
                f"{framing_bytes} bytes of framing around {len(self._body)} of body"
            )

    def _read_payload(self) -> None:
        if self._payload.exception() is None:
            self._body += self._payload.read_nowait(-1)


__all__ = ["ResponseReader"]
