"""A handler of aiohttp's that can refuse a request which no task serves yet."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING, Any

from aiohttp.web_protocol import RequestHandler

from .caller_refusals import CutOff, encode_refusal

if TYPE_CHECKING:
    import asyncio

    from aiohttp.web_server import Server

    from .caller_connections import CallerConnections

# After a refusal the rest of the request is read and dropped: a close with unread bytes
# resets the connection, and the caller may then not receive the refusal.
LINGER_MS = 1000.0
MAX_DROPPED_BYTES = 2**20


class RefusingHandler(RequestHandler):
    """Writes refusals itself and closes the connection so that the caller reads them.

    Parameters
    ----------
    server : Server
        Server that handles the requests.
    callers : CallerConnections
        All connections of callers.
    options : Any
        Options of aiohttp's handler.
    """

    __slots__ = ("_callers", "_dropped", "_is_cut_off", "_lingering")

    def __init__(
        self, server: Server, callers: CallerConnections, **options: Any
    ) -> None:
        super().__init__(server, **options)
        self._callers = callers
        self._is_cut_off = False
        self._dropped = 0
        self._lingering: asyncio.Transport | None = None

    @abstractmethod
    def cut_off(self, reason: CutOff) -> None:
        """End what the connection holds memory for."""

    @abstractmethod
    def note_unread(self) -> None:
        """Record how much of the response the caller has not read."""

    def close_idle(self) -> None:
        """Close the connection at once; it has no request."""
        self._callers.cut_offs.note(CutOff.CONNECTIONS)
        self._callers.closed(self)
        self.force_close()

    @abstractmethod
    def _request_id(self) -> str:
        """Return the id of the unfinished request, if it is known."""

    @abstractmethod
    def _free(self) -> None:
        """Free what was received."""

    def _refuse(self, reason: CutOff) -> None:
        """Write a refusal that states "not run", and close the connection."""
        transport = self.transport
        if transport is None or self._is_cut_off:
            return
        self._is_cut_off = True
        self._callers.cut_offs.note(reason)
        self._callers.became_busy(self)
        self._callers.end(self)
        refusal = encode_refusal(reason, self._request_id())
        self._free()
        self._detach()
        transport.write(refusal)
        # When there are too many connections, none is kept for longer than needed.
        if reason is CutOff.CONNECTIONS or not transport.can_write_eof():
            transport.close()
            return
        self._lingering = transport
        transport.write_eof()
        transport.resume_reading()
        self._callers.timers.call_later(LINGER_MS, transport.abort)

    def _detach(self) -> None:
        """End the connection's task, which runs nothing, but keep the transport."""
        self.transport = None
        self._force_close = True
        self._parser = None
        if self._task_handler is not None:
            self._task_handler.cancel()

    def _drop(self, count: int) -> None:
        self._dropped += count
        if self._dropped > MAX_DROPPED_BYTES and self._lingering is not None:
            self._lingering.abort()


__all__ = ["RefusingHandler"]
