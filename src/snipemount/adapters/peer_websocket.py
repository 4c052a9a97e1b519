"""Messages between daemons over WebSocket, many messages per frame."""

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

    from ..decisions.fleet.membership import Member
    from ..ports.peer import PeerMessage
    from ..timers import LoopTimers

DAEMON_NAME_HEADER = "X-Daemon"
RECONNECT_DELAY_MS = 200.0
OPEN_TIMEOUT_S = 1.0
MAX_QUEUED_MESSAGES = 20_000  # per daemon


@attrs.define(eq=False)
class PeerLink:
    """Outgoing connection to one daemon, with the messages queued for it.

    Parameters
    ----------
    member : Member
        The daemon to connect to.
    encoder : FrameEncoder
        Queued messages.
    connection : ClientConnection or None
        The open connection; None while there is none.
    flushing : bool
        Whether a flush is scheduled or running.
    task : asyncio.Task or None
        Task that connects and reconnects.
    """

    member: Member
    encoder: FrameEncoder = attrs.Factory(FrameEncoder)
    connection: ClientConnection | None = None
    flushing: bool = False
    task: asyncio.Task[None] | None = None


class WebsocketPeers(PeerPort):
    """WebSocket server for other daemons, and client of those it sends messages to.

    Parameters
    ----------
    own : Member
        This daemon; its host and mesh port are listened on.
    timers : LoopTimers
        Timers for flushes and reconnects.
    logger : FilteringBoundLogger
        Logs connections, their loss and malformed frames.
    on_message : Callable
        Called with the sender's name and each message.
    on_lost : Callable
        Called with the name of a daemon whose outgoing connection was lost.
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
        self._links: dict[str, PeerLink] = {}
        self._server: Server | None = None
        self._stopped = False
        self._client_tls: ssl.SSLContext | None = None

    async def listen(
        self,
        server_tls: ssl.SSLContext | None = None,
        client_tls: ssl.SSLContext | None = None,
    ) -> None:
        """Start to listen for other daemons.

        Parameters
        ----------
        server_tls : ssl.SSLContext or None
            TLS context of incoming connections; None accepts plain ones.
        client_tls : ssl.SSLContext or None
            TLS context of outgoing connections; None opens plain ones.
        """
        self._client_tls = client_tls
        self._server = await serve(
            self._serve_peer,
            self._own.host,
            self._own.mesh_port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
            ssl=server_tls,
        )

    def send(self, member: Member, message: PeerMessage) -> bool:
        """Queue a message; it is sent in the next iteration of the event loop.

        The first message to a daemon starts connecting to it and is not queued.

        Returns
        -------
        bool
            Whether it was queued; False when there is no connection or the queue is
            full.
        """
        link = self._links.get(member.name)
        if link is None or link.member.mesh_port != member.mesh_port:
            link = self._links[member.name] = PeerLink(member)
            link.task = asyncio.ensure_future(self._maintain_connection(link))
        if link.connection is None or len(link.encoder) >= MAX_QUEUED_MESSAGES:
            return False
        link.encoder.add(message)
        if not link.flushing:
            link.flushing = True
            self._timers.call_soon(lambda: self._start_flush(link))
        return True

    async def close(self) -> None:
        """Close the listener and the outgoing connections."""
        self._stopped = True
        for link in self._links.values():
            if link.task is not None:
                link.task.cancel()
            if link.connection is not None:
                await link.connection.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def _start_flush(self, link: PeerLink) -> None:
        asyncio.ensure_future(self._flush(link))

    async def _flush(self, link: PeerLink) -> None:
        try:
            while len(link.encoder) and link.connection is not None:
                await link.connection.send(link.encoder.take())
        except ConnectionClosed:
            return
        finally:
            link.flushing = False

    async def _maintain_connection(self, link: PeerLink) -> None:
        """Connect and reconnect until closed; call `on_lost` after each loss."""
        member = link.member
        scheme = "ws" if self._client_tls is None else "wss"
        url = f"{scheme}://{member.host}:{member.mesh_port}/"
        while not self._stopped and self._links.get(member.name) is link:
            try:
                async with connect(
                    url,
                    additional_headers={DAEMON_NAME_HEADER: self._own.name},
                    max_size=MAX_FRAME_BYTES,
                    compression=None,
                    ping_interval=None,
                    open_timeout=OPEN_TIMEOUT_S,
                    proxy=None,
                    ssl=self._client_tls,
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
            await self._timers.sleep(RECONNECT_DELAY_MS)

    async def _serve_peer(self, connection: ServerConnection) -> None:
        request = connection.request
        sender = (
            request.headers.get(DAEMON_NAME_HEADER) if request is not None else None
        )
        if not sender:
            await connection.close(1008, "no daemon name")
            return
        try:
            async for frame in connection:
                if isinstance(frame, str):
                    raise DecodeError("text frame instead of a binary frame")
                for message in decode_frame(frame):
                    self._on_message(sender, message)
        except ConnectionClosed:
            return
        except DecodeError as error:
            self._logger.warning("bad_frame", peer=sender, reason=error.detail)
            await connection.close(1002, "malformed frame")


__all__ = ["WebsocketPeers"]
