"""HTTP client for leafs, with a bounded pool of connections per address."""

from __future__ import annotations

import asyncio
import errno
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import NotRun, NotRunReason
from ..ports.leaf import AttemptHandle, AttemptReport, LeafPort, ProbeResult
from .leaf_connection import LeafConnection, LeafConnectionState
from .pending_bytes import PendingBytes
from .reading_pace import ReadingPace

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest
    from ..model.leaf import Leaf
    from ..timers import TimerService

# Many times the duration of a handshake, but less than the time after which TCP sends
# a lost first packet again.
CONNECT_TIMEOUT_MS = 400.0
# To one address: further ones, opened in a burst, would only take memory here and
# places at the leaf.
MAX_IDLE_CONNECTIONS = 2
MS_PER_S = 1000.0


class LeafClientAttempt(AttemptHandle):
    """An attempt that waits for a connection or for its response.

    `done` is None once the attempt has been reported or cancelled; `connection` is
    None until the request has been written; `connect_ms` is the time that a new
    connection took.
    """

    def __init__(self, done: Callable[[AttemptReport], None]) -> None:
        self.done: Callable[[AttemptReport], None] | None = done
        self.connection: LeafConnection | None = None
        self.connect_ms = 0.0

    @property
    def was_sent(self) -> bool:
        """Whether the request has been written, so that the leaf may run it."""
        return self.connection is not None

    def cancel(self) -> bool:
        """Abort the connection in use; one that is still opening goes to the pool.

        Returns
        -------
        bool
            Whether the request has been written, so that the leaf may run it.
        """
        self.done = None
        if self.connection is None:
            return False
        self.connection.cancel()
        self.connection = None
        return True

    def report(self, report: AttemptReport) -> None:
        """Pass `report` to the caller unless the attempt was cancelled."""
        done = self.done
        self.done = None
        self.connection = None
        if done is None:
            return
        if self.connect_ms > 0.0:
            report = attrs.evolve(report, connect_ms=self.connect_ms)
        done(report)


class Pool:
    """Connections to one address.

    `opening` counts the connections that are being opened for an attempt.
    """

    def __init__(self) -> None:
        self.connections: set[LeafConnection] = set()
        self.idle: list[LeafConnection] = []
        self.opening = 0

    @property
    def size(self) -> int:
        """Number of connections that are open or being opened for an attempt."""
        return len(self.connections) + self.opening


class LeafClient(LeafPort):
    """Sends requests to leafs over HTTP.

    `connections_opened` counts the connections opened since the start;
    `pending_bytes` bounds and counts what is read of responses.

    Parameters
    ----------
    timers : TimerService
        Clock for idle times and connection setup.
    connection_limit : Callable
        Returns how many connections this daemon may hold to a leaf.
    """

    def __init__(
        self, timers: TimerService, connection_limit: Callable[[Leaf], int]
    ) -> None:
        self._timers = timers
        self._connection_limit = connection_limit
        self._loop = asyncio.get_running_loop()
        self._pools: defaultdict[tuple[str, int], Pool] = defaultdict(Pool)
        self._tasks: set[asyncio.Task[None]] = set()
        self.pending_bytes = PendingBytes()
        self._pace = ReadingPace(timers)
        self.connections_opened = 0

    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> AttemptHandle:
        """Send `request` on an idle connection or a new one.

        When the pool has reached the connection limit, the report is `NO_CONNECTION`.
        """
        attempt = LeafClientAttempt(done)
        pool = self._pools[leaf.host, leaf.port]
        connection = self._idle_connection(pool)
        if connection is not None:
            self._send_on(connection, attempt, leaf, request, time_left_ms)
        elif pool.size >= self._connection_limit(leaf):
            report = AttemptReport(NotRun(NotRunReason.NO_CONNECTION))
            self._loop.call_soon(attempt.report, report)
        else:
            self._spawn(self._open_and_send(pool, attempt, leaf, request, time_left_ms))
        return attempt

    def probe(self, leaf: Leaf, done: Callable[[ProbeResult], None]) -> None:
        """Open a connection and keep it for later requests.

        A network that is cut may refuse it too.
        """
        self._spawn(self._probe(leaf, done))

    async def _probe(self, leaf: Leaf, done: Callable[[ProbeResult], None]) -> None:
        pool = self._pools[leaf.host, leaf.port]
        try:
            connection = await self._connect(pool, leaf)
        except ConnectionRefusedError:
            done(ProbeResult.REFUSED)
            return
        except (OSError, TimeoutError):
            done(ProbeResult.NO_RESPONSE)
            return
        self.connections_opened += 1
        self._release(pool, connection)
        done(ProbeResult.ACCEPTED)

    def ensure_connection(self, leaf: Leaf) -> bool:
        """Open a connection if the pool has none, after closing expired idle ones.

        Returns
        -------
        bool
            Whether a connection is being opened.
        """
        pool = self._pools[leaf.host, leaf.port]
        self._close_expired(pool)
        if pool.size > 0 or self._connection_limit(leaf) == 0:
            return False
        self._spawn(self._probe(leaf, _discard_result))
        return True

    def close_idle(self, leaf: Leaf) -> None:
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
            if connection.state is not LeafConnectionState.IDLE:
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

    def _send_on(
        self,
        connection: LeafConnection,
        attempt: LeafClientAttempt,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
    ) -> None:
        attempt.connection = connection
        connection.send(leaf, request, time_left_ms, attempt.report)

    async def _open_and_send(
        self,
        pool: Pool,
        attempt: LeafClientAttempt,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
    ) -> None:
        started_ms = self._timers.now_ms()
        pool.opening += 1
        try:
            connection = await self._connect(pool, leaf)
        except (OSError, TimeoutError) as error:
            attempt.report(AttemptReport(NotRun(_not_run_reason(error))))
            return
        finally:
            pool.opening -= 1
        self.connections_opened += 1
        if attempt.done is None:
            self._release(pool, connection)
            return
        attempt.connect_ms = self._timers.now_ms() - started_ms
        left_ms = time_left_ms - attempt.connect_ms
        self._send_on(connection, attempt, leaf, request, left_ms)

    async def _connect(self, pool: Pool, leaf: Leaf) -> LeafConnection:
        def make() -> LeafConnection:
            return LeafConnection(
                self._loop,
                lambda freed: self._release(pool, freed),
                self.pending_bytes,
                self._pace,
            )

        async with asyncio.timeout(CONNECT_TIMEOUT_MS / MS_PER_S):
            _, connection = await self._loop.create_connection(
                make, leaf.host, leaf.port
            )
        pool.connections.add(connection)
        return connection

    def _release(self, pool: Pool, connection: LeafConnection) -> None:
        if connection.state is not LeafConnectionState.IDLE:
            pool.connections.discard(connection)
            return
        connection.idle_since_ms = self._timers.now_ms()
        pool.idle.append(connection)
        if len(pool.idle) > MAX_IDLE_CONNECTIONS:
            pool.idle.pop(0).close()


def _discard_result(result: ProbeResult) -> None:
    """Discard the result of a probe."""


def _not_run_reason(error: Exception) -> NotRunReason:
    if isinstance(error, ConnectionRefusedError | ConnectionResetError):
        return NotRunReason.CONNECTION_REFUSED
    if isinstance(error, OSError) and error.errno in (errno.EMFILE, errno.ENFILE):
        return NotRunReason.NO_CONNECTION
    return NotRunReason.UNREACHABLE


__all__ = ["LeafClient"]
