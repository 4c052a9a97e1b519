"""Options of the WebSockets between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from websockets.asyncio.server import Server, ServerConnection

MAX_FRAME_BYTES = 2**24
OPEN_TIMEOUT_S = 0.6


def connect_to_daemon(host: str, port: int, path: str = "/") -> connect:
    """Return the connection to a daemon, which opens as a context manager.

    Parameters
    ----------
    host : str
        IP address of the daemon.
    port : int
        TCP port.
    path : str
        What the other daemon is asked for.
    """
    return connect(
        f"ws://{host}:{port}{path}",
        max_size=MAX_FRAME_BYTES,
        compression=None,
        ping_interval=None,
        open_timeout=OPEN_TIMEOUT_S,
        close_timeout=OPEN_TIMEOUT_S,
        proxy=None,
    )


async def listen_for_daemons(
    handle: Callable[[ServerConnection], Awaitable[None]], host: str, port: int
) -> Server:
    """Listen for connections of other daemons.

    Parameters
    ----------
    handle : Callable
        Called with each connection, which ends when it returns.
    host : str
        IP address to listen on.
    port : int
        TCP port.
    """
    return await serve(
        handle,
        host,
        port,
        max_size=MAX_FRAME_BYTES,
        compression=None,
        ping_interval=None,
    )


def close_at_once(server: Server) -> None:
    """Close a listener and abort its connections.

    A closing handshake with a daemon that does not respond would outlast the grace
    period of a planned stop.

    Parameters
    ----------
    server : Server
        Listener of `listen_for_daemons`.
    """
    for connection in server.connections:
        connection.transport.abort()
    server.close()


__all__ = ["close_at_once", "connect_to_daemon", "listen_for_daemons"]
