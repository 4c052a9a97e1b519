"""The relay between daemons, over websockets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from websockets.asyncio.client import connect
from websockets.asyncio.server import broadcast, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..errors import DecodeError
from ..ports.relay import RelayPort
from .relay_codec import decode_relay, encode_relay

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger
    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import Server, ServerConnection

    from ..model.relay import RelayMessage
    from ..ports.relay import DaemonAddress

MAX_FRAME_BYTES = 2**24
OPEN_TIMEOUT_S = 0.6
SILENCE_S = 1.5  # three missed signs of life
MOST_UNSENT_BYTES = 2**22


class WebsocketRelay(RelayPort):
    """Port of the relay.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port.
    snapshot : Callable
        Gives the messages with which a new follower begins; empty refuses it.
    on_told : Callable
        Takes what followers tell.
    logger : FilteringBoundLogger
        Logger.
    """

    def __init__(
        self,
        host: str,
        port: int,
        snapshot: Callable[[], list[RelayMessage]],
        on_told: Callable[[RelayMessage], None],
        logger: FilteringBoundLogger,
    ) -> None:
        self._on_told = on_told
        self._upward: ClientConnection | None = None
        self._host = host
        self._port = port
        self._snapshot = snapshot
        self._logger = logger
        self._followers: set[ServerConnection] = set()
        self._server: Server | None = None
        self._following: asyncio.Task[None] | None = None

    async def listen(self) -> None:
        """Open the listener for followers."""
        self._server = await serve(
            self._serve,
            self._host,
            self._port,
            max_size=MAX_FRAME_BYTES,
            compression=None,
            ping_interval=None,
        )

    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Leave the daemon followed so far and follow this one."""
        self.unfollow()
        work = self._follow(daemon, on_message, on_end)
        self._following = asyncio.ensure_future(work)

    def unfollow(self) -> None:
        """Follow nobody."""
        if self._following is not None:
            self._following.cancel()
            self._following = None
            self._upward = None

    def publish(self, message: RelayMessage) -> None:
        """Pass a message on; a follower that does not read is dropped."""
        if not self._followers:
            return
        for follower in list(self._followers):
            unsent = follower.transport.get_write_buffer_size()
            if unsent > MOST_UNSENT_BYTES:
                self._followers.discard(follower)
                follower.transport.abort()
        broadcast(self._followers, encode_relay(message))

    def tell(self, message: RelayMessage) -> None:
        """Send a message to the daemon that is followed, if any."""
        if self._upward is not None:
            broadcast([self._upward], encode_relay(message))

    async def close(self) -> None:
        """Leave the daemon followed and close the listener."""
        self.unfollow()
        if self._server is not None:
            self._server.close(close_connections=True)

    async def _serve(self, connection: ServerConnection) -> None:
        messages = self._snapshot()
        if not messages:
            await connection.close(1013, "not following the store")
            return
        # No await between snapshot and membership, so that no change is missed.
        for message in messages:
            broadcast([connection], encode_relay(message))
        self._followers.add(connection)
        try:
            async for frame in connection:
                if isinstance(frame, bytes):
                    self._on_told(decode_relay(frame))
        except ConnectionClosed:
            return
        except DecodeError as error:
            self._logger.warning("relay_malformed", reason=error.detail)
        finally:
            self._followers.discard(connection)

    async def _follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        try:
            async with connect(
                f"ws://{daemon.host}:{daemon.port}/",
                max_size=MAX_FRAME_BYTES,
                compression=None,
                ping_interval=None,
                open_timeout=OPEN_TIMEOUT_S,
                close_timeout=OPEN_TIMEOUT_S,
                proxy=None,
            ) as connection:
                if self._following is asyncio.current_task():
                    self._upward = connection
                while True:
                    async with asyncio.timeout(SILENCE_S):
                        frame = await connection.recv(decode=False)
                    if self._following is not asyncio.current_task():
                        # Frames that wait are read on after the cancellation.
                        return
                    on_message(decode_relay(frame))
        except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed) as error:
            self._logger.info(
                "relay_ended", daemon_followed=daemon.name, reason=type(error).__name__
            )
        except DecodeError as error:
            self._logger.warning(
                "relay_malformed", daemon_followed=daemon.name, reason=error.detail
            )
        if self._following is asyncio.current_task():
            self._upward = None
            on_end()


__all__ = ["WebsocketRelay"]
