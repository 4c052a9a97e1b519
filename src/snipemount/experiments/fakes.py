"""In-memory fakes of the backend and peer ports, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.servers.owner_messages import NotConnected
from ..ports.backend import BackendPort
from ..ports.peer import PeerPort
from ..timers import Timer, TimerService

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.fleet.membership import Member
    from ..decisions.servers.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer
    from ..node.node import Node
    from ..ports.peer import PeerMessage
    from ..standins.backend_model import BackendModel

SAME_ZONE_DELAY_MS = 0.25


class ProcessTimers(TimerService):
    """Timers of one simulated process, which can be paused or killed.

    Parameters
    ----------
    base : TimerService
        Timers of the simulation.

    Attributes
    ----------
    paused : bool
        Whether due timers are held back until `resume`.
    killed : bool
        Whether due timers are discarded.
    """

    def __init__(self, base: TimerService) -> None:
        self._base = base
        self._deferred: list[Timer] = []
        self.paused = False
        self.killed = False

    def now_ms(self) -> float:
        """Return the simulated monotonic time in milliseconds."""
        return self._base.now_ms()

    def wall_ms(self) -> float:
        """Return the simulated wall-clock time in milliseconds."""
        return self._base.wall_ms()

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` once; while the process is paused the call is deferred."""
        timer = Timer(callback)
        self._base.call_later(delay_ms, lambda: self._fire(timer))
        return timer

    def resume(self) -> None:
        """End the pause and call the timers that came due during it, in order."""
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for timer in deferred:
            timer.fire()

    def _fire(self, timer: Timer) -> None:
        if self.killed:
            return
        if self.paused:
            self._deferred.append(timer)
        else:
            timer.fire()


@attrs.define(eq=False)
class FakeConnection:
    """One simulated connection to a backend server.

    Parameters
    ----------
    model : BackendModel
        Server at the other end.
    unresponsive : bool
        Whether the connection stays open but nothing on it gets a response.
    closed : bool
        Whether the daemon has closed the connection.
    """

    model: BackendModel
    unresponsive: bool = False
    closed: bool = False


class FakeBackend(BackendPort):
    """One daemon's port to the modelled backend servers, with network latency.

    Parameters
    ----------
    timers : TimerService
        Timers of the daemon's process.
    models : dict of str to BackendModel
        Servers by name.
    zone : str
        Availability zone of the daemon.
    zone_delay_ms : float
        One-way latency to another zone.
    connect_ms : dict of str to float
        Time that a new connection takes in addition to the round trip, by server.

    Attributes
    ----------
    connections : dict of tuple of str and int to FakeConnection
        Open connections by server name and connection id.
    unreachable_zones : set of str
        Zones that the daemon cannot reach: connecting fails, and exchanges and pings
        get no response.
    """

    def __init__(
        self,
        timers: TimerService,
        models: dict[str, BackendModel],
        zone: str,
        zone_delay_ms: float,
        connect_ms: dict[str, float],
    ) -> None:
        self._timers = timers
        self._models = models
        self._zone = zone
        self._zone_delay_ms = zone_delay_ms
        self._connect_ms = connect_ms
        self.connections: dict[tuple[str, int], FakeConnection] = {}
        self.unreachable_zones: set[str] = set()

    def open(
        self, server: BackendServer, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Open a connection after its connect time and one round trip."""
        model = self._models[server.name]
        delay_ms = self._connect_ms[server.name] + 2 * self._delay_ms(server.name)

        def connect() -> None:
            if server.zone in self.unreachable_zones or not model.connect():
                done(False)
                return
            self.connections[server.name, connection_id] = FakeConnection(model)
            done(True)

        self._timers.call_later(delay_ms, connect)

    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Respond after one round trip; not at all on an unresponsive connection."""
        connection = self.connections.get((server, connection_id))
        if connection is None or not connection.model.up:
            self._timers.call_soon(lambda: done(False))
            return
        if self._is_unresponsive(connection):
            return
        self._timers.call_later(2 * self._delay_ms(server), lambda: done(True))

    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Run an exchange on the model, with one-way latency in each direction."""
        connection = self.connections.get((server, connection_id))
        if connection is None:
            self._timers.call_soon(lambda: done(NotConnected()))
            return
        if self._is_unresponsive(connection):
            return
        delay_ms = self._delay_ms(server)

        def return_outcome(outcome: BackendOutcome) -> None:
            if not connection.closed and not self._is_unresponsive(connection):
                self._timers.call_later(delay_ms, lambda: done(outcome))

        def arrive() -> None:
            connection.model.run(exchange, budget_ms, return_outcome)

        self._timers.call_later(delay_ms, arrive)

    def cancel(self, server: str, exchange: Exchange) -> None:
        """Stop an exchange on the model after the one-way latency."""
        model = self._models[server]
        self._timers.call_later(
            self._delay_ms(server),
            lambda: model.cancel(exchange.request_id, exchange.exchange_id),
        )

    def close(self, server: str, connection_id: int) -> None:
        """Close a connection; exchanges still running on it get no outcome."""
        connection = self.connections.pop((server, connection_id), None)
        if connection is not None:
            connection.closed = True
            connection.model.disconnect()

    def close_all(self) -> None:
        """Close every connection, as when the process exits."""
        for server, connection_id in list(self.connections):
            self.close(server, connection_id)

    def make_unresponsive(self, fraction: float, random: Random) -> int:
        """Make a random fraction of the open connections unresponsive.

        Returns
        -------
        int
            Number of connections chosen.
        """
        chosen = [c for c in self.connections.values() if random.random() < fraction]
        for connection in chosen:
            connection.unresponsive = True
        return len(chosen)

    def _is_unresponsive(self, connection: FakeConnection) -> bool:
        return (
            connection.unresponsive
            or connection.model.server.zone in self.unreachable_zones
        )

    def _delay_ms(self, server: str) -> float:
        same_zone = self._models[server].server.zone == self._zone
        return SAME_ZONE_DELAY_MS if same_zone else self._zone_delay_ms


class FakeMesh:
    """Message network between all daemons, with latency and partitions.

    Parameters
    ----------
    timers : TimerService
        Timers of the simulation.
    zone_delay_ms : float
        One-way latency between two zones.

    Attributes
    ----------
    nodes : dict of str to Node
        Running nodes by daemon name.
    processes : dict of str to ProcessTimers
        Timers of the daemons' processes by daemon name.
    cut_off_pairs : set of frozenset of str
        Pairs of zones or of daemons that are cut off from each other.
    messages : int
        Messages sent so far, also those that a partition dropped.
    """

    def __init__(self, timers: TimerService, zone_delay_ms: float) -> None:
        self._timers = timers
        self._zone_delay_ms = zone_delay_ms
        self.nodes: dict[str, Node] = {}
        self.processes: dict[str, ProcessTimers] = {}
        self.cut_off_pairs: set[frozenset[str]] = set()
        self.messages = 0

    def port(self, own: Member) -> PeerPort:
        """Return the peer port for the daemon `own`."""
        return FakePeers(self, own)

    def deliver(self, sender: Member, receiver: Member, message: PeerMessage) -> bool:
        """Deliver a message after the one-way latency.

        Returns
        -------
        bool
            False if the receiver does not run. True if the message was sent, also
            when the pair is cut off and the message is dropped.
        """
        node = self.nodes.get(receiver.name)
        process = self.processes.get(receiver.name)
        if node is None or process is None or process.killed:
            return False
        self.messages += 1
        if self._is_cut_off(sender, receiver):
            return True
        same_zone = sender.zone == receiver.zone
        delay_ms = SAME_ZONE_DELAY_MS if same_zone else self._zone_delay_ms
        process.call_later(delay_ms, lambda: node.received(sender.name, message))
        return True

    def _is_cut_off(self, sender: Member, receiver: Member) -> bool:
        if not self.cut_off_pairs:
            return False
        zones = frozenset((sender.zone, receiver.zone))
        names = frozenset((sender.name, receiver.name))
        return zones in self.cut_off_pairs or names in self.cut_off_pairs


class FakePeers(PeerPort):
    """One daemon's port to the fake mesh."""

    def __init__(self, mesh: FakeMesh, own: Member) -> None:
        self._mesh = mesh
        self._own = own

    def send(self, member: Member, message: PeerMessage) -> bool:
        """Send a message to another daemon."""
        return self._mesh.deliver(self._own, member, message)


__all__ = [
    "FakeBackend",
    "FakeConnection",
    "FakeMesh",
    "FakePeers",
    "ProcessTimers",
]
