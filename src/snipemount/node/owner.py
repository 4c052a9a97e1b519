"""Driver of the backend servers that this daemon may use."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from ..decisions.servers.connections import (
    CloseConnection,
    OpenConnection,
    PingConnection,
)
from ..decisions.servers.latency_reference import LatencyReference
from ..decisions.servers.owner_dispatch import handle
from ..decisions.servers.owner_events import (
    Connected,
    ConnectFailed,
    ConnectionsChecked,
    Ended,
    OwnershipEnded,
    ServerChanged,
    ShareSet,
    Submitted,
    Ticked,
    Withdrawn,
)
from ..decisions.servers.owner_messages import CancelOnServer, Dispatch, Reply, Strike
from ..decisions.servers.server_owner import ServerOwner
from ..model.exchange import ExchangeReply, Fate, Reason
from .recorder import OwnershipStarted

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.servers.owner_events import OwnerEvent
    from ..decisions.servers.owner_messages import BackendOutcome, Origin, OwnerAction
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer
    from ..model.profile import Profile
    from ..ports.backend import BackendPort
    from ..timers import TimerService
    from .recorder import Recorder
    from .sharing import Sharing

TICK_MS = 10.0
SHARE_TICK_MS = 50.0
CONNECTION_TICK_MS = 50.0
PERIODIC_EVENTS = (Ticked, ConnectionsChecked)
CONNECTION_IDS_PER_OWNER = 1_000_000


class OwnerDriver:
    """Runs a `ServerOwner` for each server that this daemon may use.

    Parameters
    ----------
    backend : BackendPort
        Connections to the servers.
    timers : TimerService
        Clock and periodic timers.
    sharing : Sharing
        Determines this daemon's share of each server.
    on_reply : Callable
        Receives the reply to each exchange, with its origin.
    on_strike : Callable
        Called for each server lost to a request not known to be harmless.
    recorder : Recorder
        Ring buffer for decision events.
    """

    def __init__(
        self,
        backend: BackendPort,
        timers: TimerService,
        sharing: Sharing,
        on_reply: Callable[[Origin, ExchangeReply], None],
        on_strike: Callable[[Strike], None],
        recorder: Recorder,
    ) -> None:
        self._backend = backend
        self._timers = timers
        self._sharing = sharing
        self._on_reply = on_reply
        self._on_strike = on_strike
        self._recorder = recorder
        self._owners: dict[str, ServerOwner] = {}
        self._servers: dict[str, BackendServer] = {}
        self._usable: list[tuple[str, BackendServer]] = []
        self._usable_generation = -1
        self._profiles: dict[str, Profile] = {}
        self._references: dict[str, LatencyReference] = {}
        self._needs_warm_up: Callable[[str], bool] = lambda server: True
        self._on_released: Callable[[BackendServer], None] = lambda server: None
        self._stopping = False
        self._owner_numbers = count(1)
        timers.call_every(TICK_MS, self._tick)
        timers.call_every(CONNECTION_TICK_MS, self._check_connections)
        timers.call_every(SHARE_TICK_MS, self.update_shares)

    @property
    def idle(self) -> bool:
        """Whether no exchange is queued or running."""
        return all(owner.idle for owner in self._owners.values())

    @property
    def used_server_names(self) -> tuple[str, ...]:
        """Names of the servers that this daemon may use now."""
        return tuple(self._owners)

    @property
    def warm_servers(self) -> tuple[BackendServer, ...]:
        """Servers that this daemon uses and that are warm."""
        return tuple(owner.server for owner in self._owners.values() if owner.warm)

    def set_warm_up_callbacks(
        self,
        needs_warm_up: Callable[[str], bool],
        on_released: Callable[[BackendServer], None],
    ) -> None:
        """Set the callbacks by which daemons report warm servers to each other.

        Parameters
        ----------
        needs_warm_up : Callable
            Returns whether to warm up a server, by name, before full use; called
            when this daemon starts to use it.
        on_released : Callable
            Called for each warm server that this daemon stops using.
        """
        self._needs_warm_up = needs_warm_up
        self._on_released = on_released

    def set_servers(
        self, servers: dict[str, BackendServer], profiles: dict[str, Profile]
    ) -> None:
        """Set the servers of all services, and the profile for each server, by name."""
        self._servers = servers
        self._usable_generation = -1
        self._profiles = profiles
        for name, owner in list(self._owners.items()):
            if name in servers:
                self._handle(owner, ServerChanged(servers[name]))
            elif owner.idle:
                self._handle(owner, OwnershipEnded())
                del self._owners[name]
        self.update_shares()

    def update_shares(self) -> None:
        """Apply the current shares: start or stop using servers, or adjust limits."""
        now_ms = self._timers.now_ms()
        for name, server in self._usable_servers():
            share = self._sharing.share(server, now_ms)
            owner = self._owners.get(name)
            if owner is None:
                if share.slots == 0 or self._stopping:
                    continue
                owner = self._create_owner(server, now_ms)
            slots = 0 if self._stopping else share.slots
            if slots == 0 and owner.slots > 0 and owner.warm:
                self._on_released(server)
            if slots == 0 and owner.idle:
                self._handle(owner, OwnershipEnded())
                del self._owners[name]
                continue
            new_share = ShareSet(slots, share.connections)
            if new_share != ShareSet(owner.slots, owner.connections):
                self._handle(owner, new_share)

    def _usable_servers(self) -> list[tuple[str, BackendServer]]:
        """Return the servers that this daemon may use or still uses."""
        if self._usable_generation != self._sharing.generation:
            self._usable_generation = self._sharing.generation
            self._usable = [
                (name, server)
                for name, server in self._servers.items()
                if name in self._owners or self._sharing.may_use(server)
            ]
        return self._usable

    def submit(self, origin: Origin, exchange: Exchange) -> None:
        """Queue an exchange for its server.

        It is answered with `NOT_OWNER` if this daemon does not use the server or is
        stopping.
        """
        owner = self._owners.get(exchange.server)
        if owner is None or self._stopping:
            reply = ExchangeReply(
                exchange_id=origin.exchange_id,
                request_id=exchange.request_id,
                server=exchange.server,
                fate=Fate.NOT_SENT,
                reason=Reason.NOT_OWNER,
            )
            self._on_reply(origin, reply)
            return
        self._handle(owner, Submitted(origin, exchange))

    def cancel(self, origin: Origin, server: str) -> None:
        """Cancel an exchange on behalf of its entry daemon."""
        owner = self._owners.get(server)
        if owner is not None:
            self._handle(owner, Withdrawn(origin))

    def stop(self) -> None:
        """Refuse new exchanges; exchanges in progress continue."""
        self._stopping = True
        self.update_shares()

    def _create_owner(self, server: BackendServer, now_ms: float) -> ServerOwner:
        profile = self._profiles[server.name]
        reference = self._references.setdefault(profile.name, LatencyReference())
        cold = self._needs_warm_up(server.name)
        first_connection_id = next(self._owner_numbers) * CONNECTION_IDS_PER_OWNER
        owner = ServerOwner(
            server, profile, reference, cold, now_ms, count(first_connection_id)
        )
        self._owners[server.name] = owner
        start = OwnershipStarted(server, profile, cold, first_connection_id)
        self._recorder.record(server.name, now_ms, start, [])
        return owner

    def _tick(self) -> None:
        for owner in list(self._owners.values()):
            self._handle(owner, Ticked())

    def _check_connections(self) -> None:
        for owner in list(self._owners.values()):
            self._handle(owner, ConnectionsChecked())

    def _handle(self, owner: ServerOwner, event: OwnerEvent) -> None:
        """Pass an event to a server's owner, record it, and execute the actions.

        Periodic events without any action are not recorded, since they change nothing.
        """
        now_ms = self._timers.now_ms()
        actions = handle(owner, event, now_ms)
        if actions or not isinstance(event, PERIODIC_EVENTS):
            self._recorder.record(owner.server.name, now_ms, event, actions)
        for action in actions:
            self._execute(owner, action)

    def _execute(self, owner: ServerOwner, action: OwnerAction) -> None:
        match action:
            case Reply(origin, reply):
                self._on_reply(origin, reply)
            case Dispatch(server, connection_id, exchange, budget_ms):
                self._backend.send(
                    server,
                    connection_id,
                    exchange,
                    budget_ms,
                    lambda outcome: self._on_ended(owner, connection_id, outcome),
                )
            case OpenConnection(_, connection_id):
                self._backend.open(
                    owner.server,
                    connection_id,
                    lambda connected: self._on_opened(owner, connection_id, connected),
                )
            case PingConnection(server, connection_id):
                self._backend.ping(
                    server,
                    connection_id,
                    lambda connected: self._on_opened(owner, connection_id, connected),
                )
            case CloseConnection(server, connection_id):
                self._backend.close(server, connection_id)
            case CancelOnServer(server, exchange):
                self._backend.cancel(server, exchange)
            case Strike():
                self._on_strike(action)

    def _on_opened(
        self, owner: ServerOwner, connection_id: int, connected: bool
    ) -> None:
        event = Connected(connection_id) if connected else ConnectFailed(connection_id)
        self._handle(owner, event)

    def _on_ended(
        self, owner: ServerOwner, connection_id: int, outcome: BackendOutcome
    ) -> None:
        self._handle(owner, Ended(connection_id, outcome))


__all__ = ["OwnerDriver"]
