"""Relay of the store's objects between daemons, over WebSocket."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import TYPE_CHECKING

from websockets.asyncio.server import broadcast
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from ..errors import DecodeError
from ..model.relay import RelayListing, RelayStoreLost, RelayUsage
from ..ports.relay import RelayPort
from .daemon_websockets import (
    close_at_once,
    connect_to_daemon,
    listen_for_daemons,
)
from .relay_codec import (
    decode_batch,
    decode_relay,
    encode_batch,
    encode_relay,
)
from .usage_codec import decode_usage, encode_usage

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger
    from websockets.asyncio.client import ClientConnection
    from websockets.asyncio.server import Server, ServerConnection

    from ..model.relay import FollowerMessage, RelayMessage
    from ..ports.platform import Kind
    from ..ports.relay import DaemonAddress

RECEIVE_TIMEOUT_S = 1.5  # three missed `RelayHeartbeat` messages
MAX_UNSENT_BYTES = 2**22  # per follower
LEAVE_TIMEOUT_S = 0.05
LOG_PERIOD_S = 1.0  # of lines about dropped texts
# Asked for by followers that read several messages in one frame, and by those that read
# eras of the store too; earlier builds don't.
BATCHES_PATH = "/batches"
ERAS_PATH = "/eras"


class WebsocketRelay(RelayPort):
    """WebSocket server for followers, and client of the daemon that is followed.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    snapshot : Callable
        Returns the first messages for a new follower; if empty, it is refused.
    on_report : Callable
        Called with each message that a follower sends.
    logger : FilteringBoundLogger
        Logs why following a daemon ended, and malformed messages.
    """

    def __init__(
        self,
        host: str,
        port: int,
        snapshot: Callable[[], list[RelayMessage]],
        on_report: Callable[[FollowerMessage], None],
        logger: FilteringBoundLogger,
    ) -> None:
        self._on_report = on_report
        self._followed_connection: ClientConnection | None = None
        self._host = host
        self._port = port
        self._snapshot = snapshot
        self._logger = logger
        self._followers: set[ServerConnection] = set()
        self._batch_followers: set[ServerConnection] = set()
        self._era_followers: set[ServerConnection] = set()
        self._unsent: list[RelayMessage] = []
        self._encoded_listings: dict[tuple[Kind, bool], tuple[RelayListing, bytes]] = {}
        self._server: Server | None = None
        self._receive_task: asyncio.Task[None] | None = None
        self._dropped_s = -math.inf  # time of the last line about a dropped text

    async def listen(self) -> None:
        """Start to listen for followers."""
        self._server = await listen_for_daemons(
            self._serve_follower, self._host, self._port
        )

    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Stop following the current daemon, if any, and follow `daemon`.

        Parameters
        ----------
        daemon : DaemonAddress
            Daemon to connect to.
        on_message : Callable
            Called with each message received.
        on_end : Callable
            Called when the connection fails, ends or times out.
        """
        self.unfollow()
        receiving = self._receive(daemon, on_message, on_end)
        self._receive_task = asyncio.ensure_future(receiving)

    def unfollow(self) -> None:
        """Stop following; neither callback is called any more."""
        if self._receive_task is not None:
            self._receive_task.cancel()
            self._receive_task = None
        if self._followed_connection is not None:
            self._followed_connection.transport.abort()
            self._followed_connection = None

    def publish(self, message: RelayMessage) -> None:
        """Send a message to all followers, with all others of this moment.

        Many leafs may change at once: a frame for each change and follower would keep
        the loop busy for long.
        """
        if not (self._followers or self._batch_followers or self._era_followers):
            return
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._send_unsent)
        self._unsent.append(message)

    def _send_unsent(self) -> None:
        """Send what has been published.

        A follower that does not read is disconnected, so that unsent messages don't
        accumulate in memory.
        """
        messages, self._unsent = self._unsent, []
        if not messages:
            return
        for followers in (self._followers, self._batch_followers, self._era_followers):
            _disconnect_unread(followers)
        if self._era_followers:
            frames = [encode_relay(message) for message in messages]
            broadcast(self._era_followers, _joined(frames))
        if self._followers or self._batch_followers:
            self._send_without_eras(messages)

    def _send_without_eras(self, messages: list[RelayMessage]) -> None:
        """Send messages to followers of earlier builds."""
        frames = [encode_relay(message, with_eras=False) for message in messages]
        for frame in frames:
            broadcast(self._followers, frame)
        broadcast(self._batch_followers, _joined(frames))

    def report(self, message: FollowerMessage) -> None:
        """Send a message to the daemon that is followed, if any."""
        if self._followed_connection is None:
            return
        if isinstance(message, RelayUsage):
            frame: bytes | str = encode_usage(message)
        else:
            frame = encode_relay(message)
        broadcast([self._followed_connection], frame)

    async def close(self) -> None:
        """Stop following and close the listener and the followers' connections."""
        self.unfollow()
        if self._server is not None:
            close_at_once(self._server)

    async def _serve_follower(self, connection: ServerConnection) -> None:
        messages = self._snapshot()
        if messages and isinstance(messages[0], RelayStoreLost):
            # A daemon that has a state of its own leaves now.
            broadcast([connection], encode_relay(messages[0]))
            if await _has_left(connection):
                return
            messages = self._snapshot()
            if messages and isinstance(messages[0], RelayStoreLost):
                messages.pop(0)
        if not messages:
            await connection.close(1013, "not following the store")
            return
        # No await between the snapshot and adding the follower: no change is missed.
        self._send_unsent()
        followers = self._followers_like(connection)
        with_eras = followers is self._era_followers
        for message in messages:
            broadcast([connection], self._encode(message, with_eras))
        followers.add(connection)
        try:
            async for frame in connection:
                if isinstance(frame, bytes):
                    self._on_report(decode_relay(frame))
                else:
                    self._on_text(frame)
        except ConnectionClosed:
            return
        except DecodeError as error:
            self._logger.warning("relay_malformed", reason=error.detail)
        finally:
            followers.discard(connection)

    def _on_text(self, frame: str) -> None:
        """Pass on the counts in a text frame; a text that cannot be read is dropped.

        The follower stays: a later build may send what this one does not know.
        """
        try:
            message = decode_usage(frame)
        except DecodeError as error:
            now_s = asyncio.get_running_loop().time()
            if now_s - self._dropped_s >= LOG_PERIOD_S:
                self._dropped_s = now_s
                self._logger.warning("relay_text_dropped", reason=error.detail)
            return
        self._on_report(message)

    def _followers_like(self, connection: ServerConnection) -> set[ServerConnection]:
        path = "" if connection.request is None else connection.request.path
        if path == ERAS_PATH:
            return self._era_followers
        return self._batch_followers if path == BATCHES_PATH else self._followers

    def _encode(self, message: RelayMessage, with_eras: bool) -> bytes:
        """Encode a message for a new follower; many may come at the same time."""
        if not isinstance(message, RelayListing):
            return encode_relay(message, with_eras)
        key = message.kind, with_eras
        known = self._encoded_listings.get(key)
        if known is None or known[0] is not message:
            known = message, encode_relay(message, with_eras)
            self._encoded_listings[key] = known
        return known[1]

    async def _receive(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        try:
            async with connect_to_daemon(
                daemon.host, daemon.port, ERAS_PATH
            ) as connection:
                if self._receive_task is asyncio.current_task():
                    self._followed_connection = connection
                while True:
                    async with asyncio.timeout(RECEIVE_TIMEOUT_S):
                        frame = await connection.recv(decode=False)
                    for message in decode_batch(frame):
                        if self._receive_task is not asyncio.current_task():
                            # What is buffered can still be received after the
                            # cancellation.
                            return
                        on_message(message)
        except (OSError, TimeoutError, InvalidHandshake, ConnectionClosed) as error:
            self._logger.info(
                "relay_ended", daemon_followed=daemon.name, reason=type(error).__name__
            )
        except DecodeError as error:
            self._logger.warning(
                "relay_malformed", daemon_followed=daemon.name, reason=error.detail
            )
        except Exception as error:
            self._logger.error(
                "relay_failed", daemon_followed=daemon.name, reason=repr(error)
            )
        if self._receive_task is asyncio.current_task():
            self._followed_connection = None
            on_end()


def _joined(frames: list[bytes]) -> bytes:
    """Return the frames of several messages as one frame."""
    return frames[0] if len(frames) == 1 else encode_batch(frames)


def _disconnect_unread(followers: set[ServerConnection]) -> None:
    for follower in list(followers):
        if follower.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            followers.discard(follower)
            follower.transport.abort()


async def _has_left(connection: ServerConnection) -> bool:
    """Return whether a follower closes its connection soon."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LEAVE_TIMEOUT_S):
            await connection.wait_closed()
            return True
    return False


__all__ = ["WebsocketRelay"]
