"""Other daemons over websockets, many messages to a frame."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..errors import DecodeError
from ..ports.peer import PeerPort
from .mesh_codec import MAX_FRAME_BYTES, FrameEncoder, decode_frame

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger
    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import Server, ServerConnection

    from ..decisions.membership import Member
    from ..ports.peer import PeerMessage
    from ..timers import LoopTimers

NAME_HEADER = "X-Daemon"
RECONNECT_MS = 200.0
OPEN_TIMEOUT_S = 1.0
MAX_QUEUED = 20_000


@attrs.define(eq=False)
class Link:
    """Outgoing connection to one daemon, and what waits for it."""

    member: Member
    encoder: FrameEncoder = attrs.Factory(FrameEncoder)
    connection: ClientConnection | None = None
    flushing: bool = False
    task: asyncio.Task[None] | None = None


class WebsocketPeers(PeerPort):
    """Port to the other daemons; dials each one that it is asked to reach.

    Parameters
    ----------
    own : Member
        This daemon.
    timers : LoopTimers
        Time.
    logger : FilteringBoundLogger
        Log.
    on_message : Callable
        Takes the sender's name and each message.
    on_lost : Callable
        Takes the name of a daemon whose connection broke.
    """

    def __init__(
        self,
        own: Member,
        timers: LoopTimers,
        logger: FilteringBoundLogger,
        on_message: Callable[[str, PeerMessage], None],
        on_lost: Callable[[str], None],
    ) -> None:
        self._own = own
        self._timers = timers
        self._logger = logger
        self._on_message = on_message
        self._on_lost = on_lost
        self._links: dict[str, Link] = {}
        self._server: Server | None = None
        self._stopped = False
        self._dialer: ssl.SSLContext | None = None

    async def listen(
        self,
        listener: ssl.SSLContext | None = None,
        dialer: ssl.SSLContext | None = None,
    ) -> None:
        """Open the listener for other daemons, with TLS when contexts are given."""
        self._dialer = dialer
        self._server = await serve(
            self._serve,
            self._own.host,
            self._own.mesh_port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            ssl=listener,
        )

    def send(self, member: Member, message: PeerMessage) -> bool:
        """Queue a message; it leaves at the end of this turn of the loop."""
        link = self._links.get(member.name)
        if link is None or link.member.mesh_port != member.mesh_port:
            link = self._links[member.name] = Link(member)
            link.task = asyncio.ensure_future(self._dial(link))
        if link.connection is None or len(link.encoder) >= MAX_QUEUED:
            return False
        link.encoder.add(message)
        if not link.flushing:
            link.flushing = True
            self._timers.call_soon(lambda: self._start_flush(link))
        return True

    async def close(self) -> None:
        """Close the listener and every connection."""
        self._stopped = True
        for link in self._links.values():
            if link.task is not None:
                link.task.cancel()
            if link.connection is not None:
                await link.connection.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _start_flush(self, link: Link) -> None:
        asyncio.ensure_future(self._flush(link))

    async def _flush(self, link: Link) -> None:
        try:
            while len(link.encoder) and link.connection is not None:
                await link.connection.send(link.encoder.take())
        except ConnectionClosed:
            return
        finally:
            link.flushing = False

    async def _dial(self, link: Link) -> None:
        """Keep a connection to the daemon; report each loss."""
        member = link.member
        scheme = "ws" if self._dialer is None else "wss"
        url = f"{scheme}://{member.host}:{member.mesh_port}/"
        while not self._stopped and self._links.get(member.name) is link:
            try:
                async with connect(
                    url,
                    additional_headers={NAME_HEADER: self._own.name},
                    max_size=MAX_FRAME_BYTES,
                    compression=None,
                    ping_interval=None,
                    open_timeout=OPEN_TIMEOUT_S,
                    proxy=None,
                    ssl=self._dialer,
                ) as connection:
                    link.connection = connection
                    self._logger.info("peer_connected", peer=member.name)
                    await connection.wait_closed()
            except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed):
                pass
            if link.connection is not None:
                link.connection = None
                link.encoder = FrameEncoder()
                self._logger.warning("peer_lost", peer=member.name)
                self._on_lost(member.name)
            await self._timers.sleep(RECONNECT_MS)

    async def _serve(self, connection: ServerConnection) -> None:
        request = connection.request
        sender = request.headers.get(NAME_HEADER) if request is not None else None
        if not sender:
            await connection.close(1008, "no daemon name")
            return
        try:
            async for frame in connection:
                if isinstance(frame, str):
                    raise DecodeError("a text frame")
                for message in decode_frame(frame):
                    self._on_message(sender, message)
        except ConnectionClosed:
            return
        except DecodeError as error:
            self._logger.warning("bad_frame", peer=sender, reason=error.detail)
            await connection.close(1002, "malformed frame")


__all__ = ["WebsocketPeers"]
