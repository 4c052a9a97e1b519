"""Node of a daemon: entry, owner and membership, independent of transports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.fleet.membership import HEARTBEAT_PERIOD_MS, Member, Membership
from ..decisions.requests.quarantine import Quarantine
from ..decisions.servers.owner_messages import Origin
from ..model.crash import StrikeNotice
from ..ports.peer import (
    DaemonStopped,
    Heartbeat,
    ReportBadMove,
    ReportCatalogue,
    ReportEvidence,
    ReportExchange,
    ReportStrike,
    ReportUnresponsive,
    ReportWarm,
    RequestCatalogue,
    SubmitExchange,
    WithdrawExchange,
)
from ..ports.platform import Kind
from .catalogue import Catalogue
from .catalogue_sync import CatalogueSync
from .claimer import Claimer
from .entry import EntryDriver
from .mover import Mover
from .owner import OwnerDriver
from .recorder import Recorder
from .sharing import OwnedSharing, Sharing
from .warm_server_reports import WarmServerReports

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.servers.owner_messages import Strike
    from ..model.answer import Answer
    from ..model.exchange import Exchange, ExchangeReply
    from ..model.fleet import BackendServer
    from ..model.move import EventRecord
    from ..model.profile import Profile
    from ..model.request import Request
    from ..model.store_version import StoreVersion
    from ..ports.backend import BackendPort
    from ..ports.peer import PeerMessage, PeerPort
    from ..ports.platform import PlatformPort
    from ..timers import TimerService

STOP_POLL_PERIOD_MS = 10.0
MEMBERSHIP_TICK_MS = 50.0
HEARTBEAT_BROADCAST_PERIOD_MS = 30_000.0
DOWN_REPORT_PERIOD_MS = 3000.0


@attrs.frozen
class Ports:
    """Interfaces of one daemon to backend servers, peers, platform and time."""

    backend: BackendPort
    peers: PeerPort
    platform: PlatformPort
    timers: TimerService


class Node:
    """Connects the drivers of one daemon with each other and with its ports.

    Parameters
    ----------
    own : Member
        This daemon.
    ports : Ports
        Interfaces to everything outside the daemon.
    random : Random
        Seeded generator; makes runs in virtual time reproducible.
    make_sharing : Callable, optional
        Creates the rule by which daemons share the limits of servers; by default
        each server has one owner.
    on_event : Callable, optional
        Receives each event that this daemon has stored for the operators.
    seeds : tuple of Member, optional
        Daemons that receive heartbeats until the catalogue is ready, so that this
        daemon can request it from them while the platform does not respond.
    recorder : Recorder, optional
        Ring buffer for decision events; by default one of `RING_LENGTH` entries.

    Attributes
    ----------
    start_id : str
        Random id of this start of the daemon.
    """

    def __init__(
        self,
        own: Member,
        ports: Ports,
        random: Random,
        make_sharing: Callable[[Membership], Sharing] = OwnedSharing,
        on_event: Callable[[EventRecord], None] = lambda event: None,
        seeds: tuple[Member, ...] = (),
        recorder: Recorder | None = None,
    ) -> None:
        self.own = own
        self.start_id = f"{random.getrandbits(32):08x}"
        self._ports = ports
        self._timers = ports.timers
        self.membership = Membership(own, self._timers.now_ms())
        self._sharing = make_sharing(self.membership)
        self.quarantine = Quarantine()
        self.recorder = recorder or Recorder()
        self.catalogue = Catalogue(
            ports.platform, self._timers, random, self._on_catalogue_changed
        )
        self.owner = OwnerDriver(
            ports.backend,
            self._timers,
            self._sharing,
            self._on_exchange_ended,
            self._on_strike,
            self.recorder,
        )
        self.mover = Mover(
            self.catalogue,
            self.membership,
            ports.platform,
            self._timers,
            random,
            self._broadcast,
            on_event,
        )
        self.entry = EntryDriver(
            own.zone,
            self._timers,
            random,
            self.catalogue,
            Claimer(ports.platform, self._timers),
            self.quarantine,
            self.mover,
            self._route_exchange,
            self._withdraw_exchange,
        )
        self._warm_server_reports = WarmServerReports(
            self.owner, self._sharing, self._timers, self._send_to
        )
        self._catalogue_sync = CatalogueSync(
            self.catalogue, self._timers, self._send_to
        )
        self._seeds = seeds
        self._broadcast_versions: tuple[StoreVersion, ...] = ()
        self._last_broadcast_ms = -HEARTBEAT_BROADCAST_PERIOD_MS
        self._down_reported_ms: dict[str, float] = {}
        self._servers_generation = 0
        self._neighbours_generation = (-1, -1)
        self._servers: dict[str, BackendServer] = {}
        self._stopped = False
        self._strike_count = 0

    @property
    def ready(self) -> bool:
        """Whether the daemon may be sent requests."""
        settled = self.membership.is_settled(self._timers.now_ms())
        return self.catalogue.ready and settled and not self.entry.stopping

    def start(self) -> None:
        """Start to follow the catalogue and to send heartbeats."""
        self.catalogue.start()
        self._send_heartbeats()
        self._timers.call_every(HEARTBEAT_PERIOD_MS, self._send_heartbeats)
        self._timers.call_every(MEMBERSHIP_TICK_MS, self._tick)
        self._warm_server_reports.start()

    def submit(self, request: Request, done: Callable[[Answer], None]) -> None:
        """Run a validated request and pass its answer to `done`, once."""
        self.entry.submit(request, done)

    def stop(self, done: Callable[[], None]) -> None:
        """Stop gracefully and call `done` afterwards.

        Refuses new requests, finishes all others, releases the servers, and reports
        the stop to the other daemons.
        """
        self.entry.stopping = True
        self._stop_when_idle(done)

    def received(self, sender: str, message: PeerMessage) -> None:
        """Handle a message of the daemon `sender`."""
        match message:
            case Heartbeat(member, versions):
                self.membership.record_heartbeat(member, self._timers.now_ms())
                self._catalogue_sync.record_versions(member.name, versions)
            case RequestCatalogue(kind, version):
                self._catalogue_sync.answer_request(sender, kind, version)
            case ReportCatalogue(kind, version, objects):
                self.catalogue.apply_peer_listing(kind, version, objects)
            case ReportEvidence() | ReportBadMove():
                self.mover.on_report(message)
            case SubmitExchange(exchange):
                self.owner.submit(Origin(sender, exchange.exchange_id), exchange)
            case WithdrawExchange(exchange_id, server):
                self.owner.cancel(Origin(sender, exchange_id), server)
            case ReportExchange(reply):
                self.entry.on_reply(reply, sender)
            case ReportStrike(notice):
                self.quarantine.strike(notice, self._timers.now_ms())
            case ReportWarm(servers):
                self._warm_server_reports.record_report(servers)
            case ReportUnresponsive(name):
                if name == self.own.name:
                    self._last_broadcast_ms = -HEARTBEAT_BROADCAST_PERIOD_MS
                self.membership.record_down_report(name, self._timers.now_ms())
            case DaemonStopped(name):
                self.membership.record_departure(name)
                self.owner.update_shares()

    def peer_lost(self, name: str) -> None:
        """End the exchanges sent to a daemon to which the connection is lost."""
        self.entry.daemon_lost(name)

    def _send_heartbeats(self) -> None:
        if self._stopped:
            return
        now_ms = self._timers.now_ms()
        versions = self._catalogue_sync.own_versions()
        message = Heartbeat(self.own, versions)
        changed = versions != self._broadcast_versions
        if changed or now_ms - self._last_broadcast_ms > HEARTBEAT_BROADCAST_PERIOD_MS:
            self._broadcast_versions, self._last_broadcast_ms = versions, now_ms
            self._broadcast(message)
        else:
            self._send_to_neighbours(message)
        if not self.catalogue.ready:
            for seed in self._seeds:
                self._ports.peers.send(seed, message)

    def _send_to_neighbours(self, message: Heartbeat) -> None:
        self._update_neighbours()
        for name in sorted(self.membership.neighbours):
            self._send_to(name, message)

    def _update_neighbours(self) -> None:
        generation = (self.membership.generation, self._servers_generation)
        if generation == self._neighbours_generation:
            return
        self._neighbours_generation = generation
        names = self._sharing.neighbours(self._servers.values())
        self.membership.set_neighbours(names, self._timers.now_ms())

    def _report_unresponsive(self) -> None:
        """Report unresponsive neighbours to all daemons, at most once in a period."""
        now_ms = self._timers.now_ms()
        if not self.membership.is_settled(now_ms):
            return
        for name in self.membership.unresponsive_neighbours(now_ms):
            reported_ms = self._down_reported_ms.get(name, -DOWN_REPORT_PERIOD_MS)
            if now_ms - reported_ms >= DOWN_REPORT_PERIOD_MS:
                self._down_reported_ms[name] = now_ms
                self._broadcast(ReportUnresponsive(name))

    def _send_to(self, name: str, message: PeerMessage) -> None:
        """Send a message to another daemon; do nothing if it is unknown."""
        member = self._member(name)
        if member is not None and name != self.own.name:
            self._ports.peers.send(member, message)

    def _broadcast(self, message: PeerMessage) -> None:
        for member in self.membership.members:
            if member.name != self.own.name:
                self._ports.peers.send(member, message)

    def is_alive(self, name: str) -> bool:
        """Return whether a daemon counts as alive."""
        return self.membership.is_alive(name, self._timers.now_ms())

    def known_versions(self, name: str) -> tuple[StoreVersion, ...]:
        """Return a daemon's last reported versions, ordered as `SHARED_KINDS`."""
        if name == self.own.name:
            return self._catalogue_sync.own_versions()
        return self._catalogue_sync.reported_versions(name)

    def _tick(self) -> None:
        if self.membership.tick(self._timers.now_ms()):
            self.owner.update_shares()
        self._update_neighbours()
        self._report_unresponsive()

    def _on_catalogue_changed(self, kind: Kind) -> None:
        if kind is Kind.MEMBER:
            listed = self.catalogue.members()
            self.membership.apply_listing(listed, self._timers.now_ms())
        self.mover.catalogue_changed()
        self.entry.services.catalogue_changed()
        servers: dict[str, BackendServer] = {}
        profiles: dict[str, Profile] = {}
        for record in self.catalogue.services():
            profile = self.catalogue.profile(record.profile)
            if profile is None:
                continue
            for version in record.versions:
                for server in version.servers:
                    servers[server.name] = server
                    profiles[server.name] = profile
        self._servers = servers
        self._servers_generation += 1
        self.owner.set_servers(servers, profiles)

    def _route_exchange(self, exchange: Exchange) -> str | None:
        server = self._servers.get(exchange.server)
        if server is None:
            return None
        name = self._sharing.daemon_for(server, self._timers.now_ms())
        if name is None:
            return None
        if name == self.own.name:
            self.owner.submit(Origin(name, exchange.exchange_id), exchange)
            return name
        member = self._member(name)
        if member is None:
            return None
        sent = self._ports.peers.send(member, SubmitExchange(exchange))
        return name if sent else None

    def _withdraw_exchange(self, daemon: str, exchange_id: int, server: str) -> None:
        if daemon == self.own.name:
            self.owner.cancel(Origin(daemon, exchange_id), server)
            return
        self._send_to(daemon, WithdrawExchange(exchange_id, server))

    def _on_exchange_ended(self, origin: Origin, reply: ExchangeReply) -> None:
        if origin.daemon == self.own.name:
            self._timers.call_soon(lambda: self.entry.on_reply(reply, origin.daemon))
            return
        self._send_to(origin.daemon, ReportExchange(reply))

    def _on_strike(self, strike: Strike) -> None:
        self._strike_count += 1
        notice_id = f"{self.own.name}/{strike.server}/{self._strike_count}"
        notice = StrikeNotice(notice_id, strike.fingerprint, strike.server)
        self.quarantine.strike(notice, self._timers.now_ms())
        self._broadcast(ReportStrike(notice))

    def _member(self, name: str) -> Member | None:
        return self.membership.member(name)

    def _stop_when_idle(self, done: Callable[[], None]) -> None:
        if not self.entry.idle:
            self._timers.call_later(
                STOP_POLL_PERIOD_MS, lambda: self._stop_when_idle(done)
            )
            return
        self.owner.stop()
        if not self.owner.idle:
            self._timers.call_later(
                STOP_POLL_PERIOD_MS, lambda: self._stop_when_idle(done)
            )
            return
        self._stopped = True
        self._broadcast(DaemonStopped(self.own.name))
        self._timers.call_later(STOP_POLL_PERIOD_MS, done)


__all__ = ["Node", "Ports"]
