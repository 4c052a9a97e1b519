"""Port to the leafs: a bounded pool of connections for each address."""

from __future__ import annotations

import asyncio
import errno
from collections import defaultdict
from typing import TYPE_CHECKING

from ..model.forwarding import NotRun, NotRunReason
from ..ports.leaf import LeafPort, LegHandle, LegReport
from .leaf_connection import ConnectionState, LeafConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest
    from ..model.leaf import Leaf
    from ..timers import TimerService

CONNECT_TIMEOUT_MS = 400.0  # many handshakes, fewer than a first packet's resend
MS_PER_S = 1000.0


class Leg(LegHandle):
    """A send that waits for a connection or for its answer."""

    def __init__(self, done: Callable[[LegReport], None]) -> None:
        self.done: Callable[[LegReport], None] | None = done
        self.connection: LeafConnection | None = None

    def cancel(self) -> bool:
        """End the exchange, or leave the new connection to others."""
        self.done = None
        if self.connection is None:
            return False
        self.connection.cancel()
        self.connection = None
        return True

    def report(self, report: LegReport) -> None:
        """Hand the report on unless the send was cancelled."""
        done = self.done
        self.done = None
        self.connection = None
        if done is not None:
            done(report)


class Pool:
    """Connections to one address."""

    def __init__(self) -> None:
        self.connections: set[LeafConnection] = set()
        self.idle: list[LeafConnection] = []
        self.opening = 0

    @property
    def size(self) -> int:
        """Connections open or being opened."""
        return len(self.connections) + self.opening


class LeafClient(LeafPort):
    """Sends requests to leafs over HTTP.

    Parameters
    ----------
    timers : TimerService
        Time.
    connection_limit : Callable
        Gives how many connections this daemon may hold to a leaf.
    """

    def __init__(
        self, timers: TimerService, connection_limit: Callable[[Leaf], int]
    ) -> None:
        self._timers = timers
        self._connection_limit = connection_limit
        self._loop = asyncio.get_running_loop()
        self._pools: defaultdict[tuple[str, int], Pool] = defaultdict(Pool)
        self._tasks: set[asyncio.Task[None]] = set()
        self.opened = 0

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[LegReport], None],
    ) -> LegHandle:
        """Send `request` on an idle connection or a new one."""
        leg = Leg(done)
        pool = self._pools[leaf.host, leaf.port]
        connection = self._idle_connection(pool)
        if connection is not None:
            self._use(connection, leg, leaf, request, time_left_ms)
        elif pool.size >= self._connection_limit(leaf):
            report = LegReport(NotRun(NotRunReason.NO_CONNECTION))
            self._loop.call_soon(leg.report, report)
        else:
            self._spawn(self._open(pool, leg, leaf, request, time_left_ms))
        return leg

    def probe(self, leaf: Leaf, done: Callable[[bool], None]) -> None:
        """Open a connection and keep it for later requests."""
        self._spawn(self._probe(leaf, done))

    async def _probe(self, leaf: Leaf, done: Callable[[bool], None]) -> None:
        pool = self._pools[leaf.host, leaf.port]
        try:
            connection = await self._connect(pool, leaf)
        except (OSError, TimeoutError) as error:
            done(_reason(error) is NotRunReason.NOBODY_LISTENS)
            return
        self.opened += 1
        self._freed(pool, connection)
        done(True)

    def keep_ready(self, leaf: Leaf) -> bool:
        """Open a connection unless one is open or being opened."""
        pool = self._pools[leaf.host, leaf.port]
        self._close_expired(pool)
        if pool.size > 0 or self._connection_limit(leaf) == 0:
            return False
        self._spawn(self._probe(leaf, _ignore))
        return True

    def forget(self, leaf: Leaf) -> None:
        """Close the idle connections to a leaf that is gone."""
        pool = self._pools.pop((leaf.host, leaf.port), None)
        for connection in () if pool is None else list(pool.idle):
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        for pool in self._pools.values():
            for connection in list(pool.connections):
                connection.close()

    def _spawn(self, work: object) -> None:
        task: asyncio.Task[None] = self._loop.create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _idle_connection(self, pool: Pool) -> LeafConnection | None:
        now_ms = self._timers.now_ms()
        while pool.idle:
            connection = pool.idle.pop()
            if connection.state is not ConnectionState.IDLE:
                continue
            if now_ms - connection.idle_since_ms < connection.idle_limit_ms:
                return connection
            connection.close()
        return None

    def _close_expired(self, pool: Pool) -> None:
        now_ms = self._timers.now_ms()
        for connection in list(pool.idle):
            if now_ms - connection.idle_since_ms >= connection.idle_limit_ms:
                pool.idle.remove(connection)
                connection.close()

    def _use(
        self,
        connection: LeafConnection,
        leg: Leg,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
    ) -> None:
        leg.connection = connection
        connection.send(leaf, request, time_left_ms, leg.report)

    async def _open(
        self,
        pool: Pool,
        leg: Leg,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
    ) -> None:
        started_ms = self._timers.now_ms()
        pool.opening += 1
        try:
            connection = await self._connect(pool, leaf)
        except (OSError, TimeoutError) as error:
            leg.report(LegReport(NotRun(_reason(error))))
            return
        finally:
            pool.opening -= 1
        self.opened += 1
        if leg.done is None:
            self._freed(pool, connection)
            return
        left_ms = time_left_ms - (self._timers.now_ms() - started_ms)
        self._use(connection, leg, leaf, request, left_ms)

    async def _connect(self, pool: Pool, leaf: Leaf) -> LeafConnection:
        def make() -> LeafConnection:
            return LeafConnection(self._loop, lambda freed: self._freed(pool, freed))

        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            _, connection = await self._loop.create_connection(
                make, leaf.host, leaf.port
            )
        pool.connections.add(connection)
        return connection

    def _freed(self, pool: Pool, connection: LeafConnection) -> None:
        if connection.state is not ConnectionState.IDLE:
            pool.connections.discard(connection)
            return
        connection.idle_since_ms = self._timers.now_ms()
        pool.idle.append(connection)


def _ignore(alive: bool) -> None:
    """Take no note of whether a leaf's VM gave a sign of life."""


def _reason(error: Exception) -> NotRunReason:
    if isinstance(error, ConnectionRefusedError | ConnectionResetError):
        return NotRunReason.NOBODY_LISTENS
    if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
        return NotRunReason.NO_CONNECTION
    return NotRunReason.UNREACHABLE


__all__ = ["LeafClient"]
