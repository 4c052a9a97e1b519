"""Driver of the owned backend servers."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from ..decisions.connections import CloseConnection, OpenConnection, PingConnection
from ..decisions.latency_reference import LatencyReference
from ..decisions.owner_dispatch import handle
from ..decisions.owner_events import (
    Connected,
    ConnectFailed,
    ConnectionsChecked,
    Ended,
    LaidDown,
    ServerChanged,
    ShareSet,
    Submitted,
    Ticked,
    Withdrawn,
)
from ..decisions.owner_messages import CancelOnServer, Dispatch, Reply, Strike
from ..decisions.server_owner import ServerOwner
from ..model.exchange import ExchangeReply, Fate, Reason
from .recorder import TakenUp

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.owner_events import OwnerEvent
    from ..decisions.owner_messages import BackendOutcome, Origin, OwnerAction
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
QUIET_EVENTS = (Ticked, ConnectionsChecked)
CONNECTIONS_PER_OWNER = 1_000_000


class OwnerDriver:
    """Runs a `ServerOwner` for each server that this daemon may use.

    Parameters
    ----------
    backend : BackendPort
        Connections to the servers.
    timers : TimerService
        Time.
    sharing : Sharing
        What this daemon may use of each server.
    on_reply : Callable
        Takes the end of each exchange with its origin.
    on_strike : Callable
        Takes each server lost to a request that is not known to be harmless.
    recorder : Recorder
        Ring of decision events.
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
        self._usable_of = -1
        self._profiles: dict[str, Profile] = {}
        self._references: dict[str, LatencyReference] = {}
        self._was_cold: Callable[[str], bool] = lambda server: True
        self._on_laid_down: Callable[[BackendServer], None] = lambda server: None
        self._stopping = False
        self._take_ups = count(1)
        timers.call_every(TICK_MS, self._tick)
        timers.call_every(CONNECTION_TICK_MS, self._check_connections)
        timers.call_every(SHARE_TICK_MS, self.update_shares)

    @property
    def idle(self) -> bool:
        """Whether no exchange waits or runs."""
        return all(owner.idle for owner in self._owners.values())

    @property
    def owned(self) -> tuple[str, ...]:
        """Names of the servers that this daemon may use now."""
        return tuple(self._owners)

    @property
    def warm_servers(self) -> tuple[BackendServer, ...]:
        """Servers that this daemon uses and has warmed up."""
        return tuple(owner.server for owner in self._owners.values() if owner.warm)

    def connect_warmth(
        self,
        was_cold: Callable[[str], bool],
        on_laid_down: Callable[[BackendServer], None],
    ) -> None:
        """Set how warmth is known of a server taken up and told on of others.

        Parameters
        ----------
        was_cold : Callable
            Tells whether a server is to be warmed up when it is taken up.
        on_laid_down : Callable
            Takes each warm server that this daemon no longer uses.
        """
        self._was_cold = was_cold
        self._on_laid_down = on_laid_down

    def set_servers(
        self, servers: dict[str, BackendServer], profiles: dict[str, Profile]
    ) -> None:
        """Take the servers of all services and the profile of each server."""
        self._servers = servers
        self._usable_of = -1
        self._profiles = profiles
        for name, owner in list(self._owners.items()):
            if name in servers:
                self._handle(owner, ServerChanged(servers[name]))
            elif owner.idle:
                self._handle(owner, LaidDown())
                del self._owners[name]
        self.update_shares()

    def update_shares(self) -> None:
        """Take up and lay down servers as the sharing says."""
        now_ms = self._timers.now_ms()
        for name, server in self._usable_servers():
            share = self._sharing.share(server, now_ms)
            owner = self._owners.get(name)
            if owner is None:
                if share.slots == 0 or self._stopping:
                    continue
                owner = self._take_up(server, now_ms)
            slots = 0 if self._stopping else share.slots
            if slots == 0 and owner.slots > 0 and owner.warm:
                self._on_laid_down(server)
            if slots == 0 and owner.idle:
                self._handle(owner, LaidDown())
                del self._owners[name]
                continue
            wanted = ShareSet(slots, share.connections)
            if wanted != ShareSet(owner.slots, owner.connections):
                self._handle(owner, wanted)

    def _usable_servers(self) -> list[tuple[str, BackendServer]]:
        """Return the servers that this daemon may use or still uses."""
        if self._usable_of != self._sharing.generation:
            self._usable_of = self._sharing.generation
            self._usable = [
                (name, server)
                for name, server in self._servers.items()
                if name in self._owners or self._sharing.may_use(server)
            ]
        return self._usable

    def submit(self, origin: Origin, exchange: Exchange) -> None:
        """Hand an exchange to the owner of its server."""
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
        """Drop an exchange that its entry daemon no longer wants."""
        owner = self._owners.get(server)
        if owner is not None:
            self._handle(owner, Withdrawn(origin))

    def stop(self) -> None:
        """Refuse new exchanges; those that run may end."""
        self._stopping = True
        self.update_shares()

    def _take_up(self, server: BackendServer, now_ms: float) -> ServerOwner:
        profile = self._profiles[server.name]
        reference = self._references.setdefault(profile.name, LatencyReference())
        cold = self._was_cold(server.name)
        first = next(self._take_ups) * CONNECTIONS_PER_OWNER
        owner = ServerOwner(server, profile, reference, cold, now_ms, count(first))
        self._owners[server.name] = owner
        made = TakenUp(server, profile, cold, first)
        self._recorder.record(server.name, now_ms, made, [])
        return owner

    def _tick(self) -> None:
        for owner in list(self._owners.values()):
            self._handle(owner, Ticked())

    def _check_connections(self) -> None:
        for owner in list(self._owners.values()):
            self._handle(owner, ConnectionsChecked())

    def _handle(self, owner: ServerOwner, event: OwnerEvent) -> None:
        """Let an owner decide, keep the event, and carry out its actions."""
        now_ms = self._timers.now_ms()
        actions = handle(owner, event, now_ms)
        if actions or not isinstance(event, QUIET_EVENTS):
            self._recorder.record(owner.server.name, now_ms, event, actions)
        for action in actions:
            self._carry_out(owner, action)

    def _carry_out(self, owner: ServerOwner, action: OwnerAction) -> None:
        match action:
            case Reply(origin, reply):
                self._on_reply(origin, reply)
            case Dispatch(server, connection_id, exchange, budget_ms):
                self._backend.send(
                    server,
                    connection_id,
                    exchange,
                    budget_ms,
                    lambda outcome: self._ended(owner, connection_id, outcome),
                )
            case OpenConnection(_, connection_id):
                self._backend.open(
                    owner.server,
                    connection_id,
                    lambda up: self._opened(owner, connection_id, up),
                )
            case PingConnection(server, connection_id):
                self._backend.ping(
                    server,
                    connection_id,
                    lambda up: self._opened(owner, connection_id, up),
                )
            case CloseConnection(server, connection_id):
                self._backend.close(server, connection_id)
            case CancelOnServer(server, exchange):
                self._backend.cancel(server, exchange)
            case Strike():
                self._on_strike(action)

    def _opened(self, owner: ServerOwner, connection_id: int, up: bool) -> None:
        event = Connected(connection_id) if up else ConnectFailed(connection_id)
        self._handle(owner, event)

    def _ended(
        self, owner: ServerOwner, connection_id: int, outcome: BackendOutcome
    ) -> None:
        self._handle(owner, Ended(connection_id, outcome))


__all__ = ["OwnerDriver"]
