"""Pool of the connections to one backend server."""

from __future__ import annotations

from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

PING_AFTER_IDLE_MS = 1000.0
PING_OR_OPEN_TIMEOUT_MS = 100.0


class PooledConnectionState(IntEnum):
    """State of one connection."""

    OPENING = 0
    IDLE = 1
    BUSY = 2
    PINGING = 3


@attrs.define(eq=False)
class PooledConnection:
    """One connection to a backend server.

    Parameters
    ----------
    connection_id : int
        Unique in the daemon.
    state : PooledConnectionState
        Current state.
    since_ms : float
        Time at which it entered that state.
    """

    connection_id: int
    state: PooledConnectionState
    since_ms: float


@attrs.frozen
class OpenConnection:
    """Open a connection to a server."""

    server: str
    connection_id: int


@attrs.frozen
class CloseConnection:
    """Close a connection, together with any exchange in progress on it."""

    server: str
    connection_id: int


@attrs.frozen
class PingConnection:
    """Send a ping on this connection."""

    server: str
    connection_id: int


ConnectionAction = OpenConnection | CloseConnection | PingConnection


class ConnectionPool:
    """Connections to one server, at most `limit` of them.

    A connection that timed out, broke or delivered another exchange's reply is closed
    and not reused. After a timeout or a loss every idle connection has to answer a ping
    before it is used again, and new connections are opened meanwhile.

    Parameters
    ----------
    server : str
        Backend server's name.
    limit : int
        Maximum number of connections of this daemon.
    warm : int
        Minimum number of connections that are kept open, even while idle.
    ids : Iterator of int
        Source of connection ids that are unique in the daemon.
    """

    def __init__(self, server: str, limit: int, warm: int, ids: Iterator[int]) -> None:
        self._server = server
        self._limit = limit
        self._min_open = min(warm, limit)
        self._ids = ids
        self._connections: dict[int, PooledConnection] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def has(self, connection_id: int) -> bool:
        """Return whether this connection is in the pool."""
        return connection_id in self._connections

    def set_limit(self, limit: int, now_ms: float) -> list[ConnectionAction]:
        """Change the limit, and close idle connections that exceed it."""
        self._limit = limit
        surplus = len(self._connections) - limit
        idle = [c for c in self._connections.values() if self._is_idle(c)]
        return [self.close(c.connection_id) for c in idle[: max(0, surplus)]]

    def take(self, now_ms: float) -> int | None:
        """Mark the most recently used idle connection as busy and return its id.

        Return None when no connection is idle.
        """
        idle = [c for c in self._connections.values() if self._is_idle(c)]
        if not idle:
            return None
        chosen = max(idle, key=lambda c: (c.since_ms, c.connection_id))
        self._enter(chosen, PooledConnectionState.BUSY, now_ms)
        return chosen.connection_id

    def give_back(self, connection_id: int, now_ms: float) -> None:
        """Mark a connection as idle after a complete answer or a ping reply."""
        connection = self._connections.get(connection_id)
        if connection is not None:
            self._enter(connection, PooledConnectionState.IDLE, now_ms)

    def close(self, connection_id: int) -> ConnectionAction:
        """Remove a connection from the pool and close it."""
        self._connections.pop(connection_id, None)
        return CloseConnection(self._server, connection_id)

    def close_all(self) -> list[ConnectionAction]:
        """Remove all connections from the pool and close them."""
        return [self.close(connection_id) for connection_id in list(self._connections)]

    def verify_idle(self, now_ms: float) -> list[ConnectionAction]:
        """Ping every idle connection; none is used until it has answered."""
        idle = [c for c in self._connections.values() if self._is_idle(c)]
        return [self._ping(connection, now_ms) for connection in idle]

    def open_missing(self, wanted: int, now_ms: float) -> list[ConnectionAction]:
        """Open connections for waiting exchanges, and up to the minimum.

        Parameters
        ----------
        wanted : int
            Exchanges that wait for a connection.
        now_ms : float
            Current time.
        """
        missing = self._min_open - len(self._connections)
        if wanted:
            missing = max(missing, wanted - self._count(PooledConnectionState.OPENING))
        available = self._limit - len(self._connections)
        count = min(missing, available)
        return [self._open(now_ms) for _ in range(count)]

    def tick(self, now_ms: float) -> list[ConnectionAction]:
        """Close connections that exceeded their timeout, and ping idle ones.

        The timeout applies to opening a connection and to a ping.
        """
        actions: list[ConnectionAction] = []
        for connection in list(self._connections.values()):
            age_ms = now_ms - connection.since_ms
            waiting = connection.state in (
                PooledConnectionState.PINGING,
                PooledConnectionState.OPENING,
            )
            if waiting and age_ms > PING_OR_OPEN_TIMEOUT_MS:
                actions.append(self.close(connection.connection_id))
            elif self._is_idle(connection) and age_ms > PING_AFTER_IDLE_MS:
                actions.append(self._ping(connection, now_ms))
        return actions

    def _open(self, now_ms: float) -> ConnectionAction:
        connection = PooledConnection(
            next(self._ids), PooledConnectionState.OPENING, now_ms
        )
        self._connections[connection.connection_id] = connection
        return OpenConnection(self._server, connection.connection_id)

    def _ping(self, connection: PooledConnection, now_ms: float) -> ConnectionAction:
        self._enter(connection, PooledConnectionState.PINGING, now_ms)
        return PingConnection(self._server, connection.connection_id)

    def _count(self, state: PooledConnectionState) -> int:
        return sum(c.state is state for c in self._connections.values())

    @staticmethod
    def _enter(
        connection: PooledConnection, state: PooledConnectionState, now_ms: float
    ) -> None:
        connection.state = state
        connection.since_ms = now_ms

    @staticmethod
    def _is_idle(connection: PooledConnection) -> bool:
        return connection.state is PooledConnectionState.IDLE


__all__ = [
    "CloseConnection",
    "ConnectionAction",
    "ConnectionPool",
    "OpenConnection",
    "PingConnection",
    "PooledConnection",
    "PooledConnectionState",
]
