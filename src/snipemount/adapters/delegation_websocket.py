"""Connections for delegated queries between daemons, over WebSocket."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from websockets.asyncio.server import broadcast
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..errors import DecodeError
from ..ports.delegation import DelegationLink, DelegationPort
from .daemon_websockets import (
    close_at_once,
    connect_to_daemon,
    listen_for_daemons,
)
from .delegation_codec import decode_delegation, encode_delegation

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger
    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import Server, ServerConnection

    from ..model.delegation import DelegationMessage
    from ..ports.delegation import DelegationHandler
    from ..ports.relay import DaemonAddress

MAX_UNSENT_BYTES = 2**20


class WebsocketDelegationLink(DelegationLink):
    """One end of a connection; `connection` is None while it is not open."""

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.task: asyncio.Task[None] | None = None

    def send(self, message: DelegationMessage) -> None:
        """Send a message, or abort a connection whose peer does not read."""
        connection = self.connection
        if connection is None:
            return
        if connection.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            connection.transport.abort()
            return
        broadcast([connection], encode_delegation(message))

    def close(self) -> None:
        """Abort the connection, without a call of `on_end`."""
        if self.task is not None:
            self.task.cancel()
        if self.connection is not None:
            self.connection.transport.abort()
        self.connection = None


class WebsocketDelegationServer:
    """WebSocket server for daemons that delegate.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    handler : DelegationHandler
        Receives what is delegated to this daemon.
    logger : FilteringBoundLogger
        Logs malformed messages.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: DelegationHandler,
        logger: FilteringBoundLogger,
    ) -> None:
        self._host = host
        self._port = port
        self._handler = handler
        self._logger = logger
        self._server: Server | None = None

    async def listen(self) -> None:
        """Start to listen for daemons that delegate."""
        self._server = await listen_for_daemons(
            self._serve_link, self._host, self._port
        )

    async def close(self) -> None:
        """Close the listener and its connections."""
        if self._server is not None:
            close_at_once(self._server)

    async def _serve_link(self, connection: ServerConnection) -> None:
        link = WebsocketDelegationLink()
        link.connection = connection
        self._handler.on_link_opened(link)
        try:
            async for frame in connection:
                if isinstance(frame, bytes):
                    self._handler.on_message(link, decode_delegation(frame))
        except ConnectionClosed:
            return
        except DecodeError as error:
            self._logger.warning("delegation_malformed", reason=error.detail)
        finally:
            link.connection = None
            self._handler.on_link_ended(link)


class WebsocketDelegationClient(DelegationPort):
    """WebSocket client of coordinators.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Logs why connections end, and malformed messages.
    """

    def __init__(self, logger: FilteringBoundLogger) -> None:
        self._logger = logger

    def connect(
        self,
        daemon: DaemonAddress,
        on_open: Callable[[], None],
        on_message: Callable[[DelegationMessage], None],
        on_end: Callable[[], None],
    ) -> DelegationLink:
        """Open a connection to a coordinator in the background."""
        link = WebsocketDelegationLink()
        receiving = self._receive(link, daemon, on_open, on_message, on_end)
        link.task = asyncio.ensure_future(receiving)
        return link

    async def _receive(
        self,
        link: WebsocketDelegationLink,
        daemon: DaemonAddress,
        on_open: Callable[[], None],
        on_message: Callable[[DelegationMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        try:
            async with connect_to_daemon(daemon.host, daemon.query_port) as connection:
                link.connection = connection
                on_open()
                while True:
                    frame = await connection.recv(decode=False)
                    on_message(decode_delegation(frame))
        except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed) as error:
            self._logger.info(
                "coordinator_link_ended",
                coordinator=daemon.name,
                reason=type(error).__name__,
            )
        except DecodeError as error:
            self._logger.warning(
                "delegation_malformed", coordinator=daemon.name, reason=error.detail
            )
        except Exception as error:
            self._logger.error(
                "delegation_failed", coordinator=daemon.name, reason=repr(error)
            )
        link.connection = None
        on_end()


__all__ = ["WebsocketDelegationClient", "WebsocketDelegationServer"]
