"""Fakes of the ports, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import attrs

from ..decisions.owner_messages import NotConnected
from ..ports.backend import BackendPort
from ..ports.peer import PeerPort
from ..ports.platform import Confirmed, Expired, Failed, Kind, PlatformPort, Watch
from ..timers import Timer, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.membership import Member
    from ..decisions.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer
    from ..node.node import Node
    from ..ports.peer import PeerMessage
    from ..ports.platform import ListResult, ReadResult, WatchEvent, WriteResult
    from ..standins.backend_model import BackendModel
    from ..standins.object_store import LogEntry, ObjectStore

T = TypeVar("T")
PLATFORM_MS = 2.0
PLATFORM_TIMEOUT_MS = 1000.0
CONFIRMATION_MS = 3000.0
SAME_ZONE_MS = 0.25


class ProcessTimers(TimerService):
    """Timers of one process, which can be paused or killed.

    Parameters
    ----------
    base : TimerService
        Time of the world.
    """

    def __init__(self, base: TimerService) -> None:
        self._base = base
        self._due: list[Timer] = []
        self.paused = False
        self.killed = False

    def now_ms(self) -> float:
        """Return the time of the world."""
        return self._base.now_ms()

    def wall_ms(self) -> float:
        """Return the wall-clock time of the world."""
        return self._base.wall_ms()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once, not before the process runs again."""
        timer = Timer(callback)
        self._base.call_later(delay_ms, lambda: self._fire(timer))
        return timer

    def resume(self) -> None:
        """Run on; what came due meanwhile is called now, in order."""
        self.paused = False
        due, self._due = self._due, []
        for timer in due:
            timer.fire()

    def _fire(self, timer: Timer) -> None:
        if self.killed:
            return
        if self.paused:
            self._due.append(timer)
        else:
            timer.fire()


@attrs.define(eq=False)
class FakeConnection:
    """One connection in the virtual world."""

    model: BackendModel
    silent: bool = False
    closed: bool = False


class FakeBackend(BackendPort):
    """Backend servers at a distance in time.

    Parameters
    ----------
    timers : TimerService
        Time of the daemon.
    models : dict of str to BackendModel
        Servers by name.
    zone : str
        Availability zone of the daemon.
    zone_distance_ms : float
        Time to another zone, one way.
    connect_ms : dict of str to float
        Time that a new connection takes, by server.
    """

    def __init__(
        self,
        timers: TimerService,
        models: dict[str, BackendModel],
        zone: str,
        zone_distance_ms: float,
        connect_ms: dict[str, float],
    ) -> None:
        self._timers = timers
        self._models = models
        self._zone = zone
        self._zone_distance_ms = zone_distance_ms
        self._connect_ms = connect_ms
        self.connections: dict[tuple[str, int], FakeConnection] = {}
        self.unreachable: set[str] = set()

    def open(
        self, server: BackendServer, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Open a connection after the time that one takes."""
        model = self._models[server.name]
        delay_ms = self._connect_ms[server.name] + 2 * self._distance_ms(server.name)

        def connect() -> None:
            if server.zone in self.unreachable or not model.connect():
                done(False)
                return
            self.connections[server.name, connection_id] = FakeConnection(model)
            done(True)

        self._timers.call_later(delay_ms, connect)

    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Answer unless the connection is silent."""
        connection = self.connections.get((server, connection_id))
        if connection is None or not connection.model.up:
            self._timers.call_soon(lambda: done(False))
            return
        if self._is_silent(connection):
            return
        self._timers.call_later(2 * self._distance_ms(server), lambda: done(True))

    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Run an exchange on the model, there and back."""
        connection = self.connections.get((server, connection_id))
        if connection is None:
            self._timers.call_soon(lambda: done(NotConnected()))
            return
        if self._is_silent(connection):
            return
        distance_ms = self._distance_ms(server)

        def back(outcome: BackendOutcome) -> None:
            if not connection.closed and not self._is_silent(connection):
                self._timers.call_later(distance_ms, lambda: done(outcome))

        def arrive() -> None:
            connection.model.run(exchange, budget_ms, back)

        self._timers.call_later(distance_ms, arrive)

    def cancel(self, server: str, exchange: Exchange) -> None:
        """Stop an exchange on the model."""
        model = self._models[server]
        self._timers.call_later(
            self._distance_ms(server),
            lambda: model.cancel(exchange.request_id, exchange.exchange_id),
        )

    def close(self, server: str, connection_id: int) -> None:
        """Close a connection."""
        connection = self.connections.pop((server, connection_id), None)
        if connection is not None:
            connection.closed = True
            connection.model.disconnect()

    def close_all(self) -> None:
        """Close every connection, as the end of the process does."""
        for server, connection_id in list(self.connections):
            self.close(server, connection_id)

    def silence(self, fraction: float, random: Random) -> int:
        """Turn a fraction of the open connections silent; returns how many."""
        chosen = [c for c in self.connections.values() if random.random() < fraction]
        for connection in chosen:
            connection.silent = True
        return len(chosen)

    def _is_silent(self, connection: FakeConnection) -> bool:
        return connection.silent or connection.model.server.zone in self.unreachable

    def _distance_ms(self, server: str) -> float:
        same = self._models[server].server.zone == self._zone
        return SAME_ZONE_MS if same else self._zone_distance_ms


class FakeMesh:
    """All daemons, and which pairs of zones or daemons are cut off.

    Parameters
    ----------
    timers : TimerService
        Time of the world.
    zone_distance_ms : float
        Time between two zones, one way.
    """

    def __init__(self, timers: TimerService, zone_distance_ms: float) -> None:
        self._timers = timers
        self._zone_distance_ms = zone_distance_ms
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, ProcessTimers] = {}
        self.cut: set[frozenset[str]] = set()
        self.messages = 0

    def port(self, own: Member) -> PeerPort:
        """Return the port of one daemon."""
        return FakePeers(self, own)

    def deliver(self, sender: Member, receiver: Member, message: PeerMessage) -> bool:
        """Deliver a message after the distance; False when it cannot be sent."""
        node = self.nodes.get(receiver.name)
        process = self.processes.get(receiver.name)
        if node is None or process is None or process.killed:
            return False
        self.messages += 1
        if self._is_cut(sender, receiver):
            return True
        same = sender.zone == receiver.zone
        delay_ms = SAME_ZONE_MS if same else self._zone_distance_ms
        process.call_later(delay_ms, lambda: node.received(sender.name, message))
        return True

    def _is_cut(self, one: Member, other: Member) -> bool:
        if not self.cut:
            return False
        zones = frozenset((one.zone, other.zone))
        names = frozenset((one.name, other.name))
        return zones in self.cut or names in self.cut


class FakePeers(PeerPort):
    """One daemon's port to the fake mesh."""

    def __init__(self, mesh: FakeMesh, own: Member) -> None:
        self._mesh = mesh
        self._own = own

    def send(self, member: Member, message: PeerMessage) -> bool:
        """Send a message to another daemon."""
        return self._mesh.deliver(self._own, member, message)


@attrs.define
class PlatformFaults:
    """Faults of the platform, shared by all daemons.

    Parameters
    ----------
    down : bool
        Calls get no answer and have no effect.
    lose_replies : int
        So many writes take effect but their answers are lost.
    slow_ms : float
        Time added to each call.
    """

    down: bool = False
    lose_replies: int = 0
    slow_ms: float = 0.0


class FakePlatform(PlatformPort):
    """One daemon's port to the object store.

    Parameters
    ----------
    store : ObjectStore
        The platform's state.
    timers : TimerService
        Time of the daemon.
    faults : PlatformFaults
        Faults in force.
    """

    def __init__(
        self, store: ObjectStore, timers: TimerService, faults: PlatformFaults
    ) -> None:
        self._store = store
        self._timers = timers
        self._faults = faults
        self.cut_off = False

    @property
    def _down(self) -> bool:
        return self._faults.down or self.cut_off

    def read(self, kind: Kind, name: str, done: Callable[[ReadResult], None]) -> None:
        """Read one object."""
        self._call(lambda: self._store.read(kind, name), done)

    def list_all(
        self,
        kind: Kind,
        done: Callable[[ListResult], None],
        may_be_stale: bool = False,
    ) -> None:
        """Read all objects of a kind."""
        self._call(lambda: self._store.list_all(kind), done)

    def write_status(
        self,
        kind: Kind,
        name: str,
        status: dict[str, Any],
        version: int,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Replace the status of an object."""
        self._call(lambda: self._store.write_status(kind, name, status, version), done)

    def write(
        self,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: int | None,
        done: Callable[[WriteResult], None],
    ) -> None:
        """Create or replace an object; the answer may get lost."""

        def act() -> WriteResult:
            result: WriteResult = self._store.write(kind, name, spec, version)
            if self._faults.lose_replies > 0:
                self._faults.lose_replies -= 1
                return Failed("the reply was lost")
            return result

        self._call(act, done)

    def watch(
        self, kind: Kind, version: int, on_event: Callable[[WatchEvent], None]
    ) -> Watch:
        """Report each later change until the platform goes down."""

        def forward(entry: LogEntry) -> None:
            if self._down:
                series.cancel()
                self._store.unsubscribe(number)
                self._timers.call_soon(lambda: on_event(Failed("watch broken")))
                return
            self._timers.call_later(PLATFORM_MS, lambda: on_event(entry))
            confirmed = Confirmed(self._store.version)
            self._timers.call_later(PLATFORM_MS, lambda: on_event(confirmed))

        def confirm() -> None:
            if not self._down:
                on_event(Confirmed(self._store.version))

        missed = self._store.changes_since(kind, version)
        number = self._store.subscribe(kind, forward)
        if missed is None or self._down:
            self._store.unsubscribe(number)
            event = Failed("platform is down") if self._down else Expired()
            self._timers.call_later(PLATFORM_MS, lambda: on_event(event))
            return Watch(lambda: None)
        series = self._timers.call_every(CONFIRMATION_MS, confirm)
        for entry in missed:
            forward(entry)

        def stop() -> None:
            series.cancel()
            self._store.unsubscribe(number)

        return Watch(stop)

    def _call(self, act: Callable[[], T], done: Callable[[T | Failed], None]) -> None:
        delay_ms = PLATFORM_MS / 2 + self._faults.slow_ms

        def arrive() -> None:
            if self._down:
                wait_ms = PLATFORM_TIMEOUT_MS
                self._timers.call_later(wait_ms, lambda: done(Failed("no answer")))
                return
            result = act()
            self._timers.call_later(delay_ms, lambda: done(result))

        self._timers.call_later(delay_ms, arrive)


__all__ = [
    "FakeBackend",
    "FakeConnection",
    "FakeMesh",
    "FakePeers",
    "FakePlatform",
    "PlatformFaults",
    "ProcessTimers",
]
