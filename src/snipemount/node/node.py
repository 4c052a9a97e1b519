"""One daemon's engine: entry, owner and member, without any transport."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.membership import HEARTBEAT_PERIOD_MS, Member, Membership
from ..decisions.owner_messages import Origin
from ..decisions.quarantine import Quarantine, StrikeNotice
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
from .catalogue_exchange import CatalogueSync
from .claimer import Claimer
from .entry import EntryDriver
from .mover import Mover
from .owner import OwnerDriver
from .recorder import Recorder
from .sharing import OwnedSharing, Sharing
from .warmth import Warmth

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.owner_messages import Strike
    from ..model.answer import Answer
    from ..model.exchange import Exchange, ExchangeReply
    from ..model.fleet import BackendServer
    from ..model.move import EventRecord
    from ..model.profile import Profile
    from ..model.request import Request
    from ..ports.backend import BackendPort
    from ..ports.peer import PeerMessage, PeerPort
    from ..ports.platform import PlatformPort
    from ..timers import TimerService

STOP_POLL_MS = 10.0
MEMBER_TICK_MS = 50.0
BEAT_ALL_MS = 30_000.0
TELL_DOWN_MS = 3000.0


@attrs.frozen
class Ports:
    """The outside as one daemon sees it."""

    backend: BackendPort
    peers: PeerPort
    platform: PlatformPort
    timers: TimerService


class Node:
    """Everything that a daemon decides, driven by its ports.

    Parameters
    ----------
    own : Member
        This daemon.
    ports : Ports
        The outside.
    random : Random
        Seeded generator.
    make_sharing : Callable, optional
        How the limits of servers are shared; by ownership if left out.
    on_event : Callable, optional
        Takes each event that this daemon has stored for the operators.
    seeds : tuple of Member, optional
        Daemons to ask while the platform does not answer.
    recorder : Recorder, optional
        Ring of decision events; one of the usual length if left out.
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
            ports.platform, self._timers, random, self._catalogue_changed
        )
        self.owner = OwnerDriver(
            ports.backend,
            self._timers,
            self._sharing,
            self._exchange_ended,
            self._lost,
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
            self._route,
            self._withdraw,
        )
        self._warmth = Warmth(self.owner, self._sharing, self._timers, self._tell)
        self._catalogue_sync = CatalogueSync(self.catalogue, self._timers, self._tell)
        self._seeds = seeds
        self._told_versions: tuple[int, ...] = ()
        self._told_all_ms = -BEAT_ALL_MS
        self._told_down_ms: dict[str, float] = {}
        self._servers_generation = 0
        self._neighbours_of = (-1, -1)
        self._servers: dict[str, BackendServer] = {}
        self._stopped = False
        self._strike_count = 0

    @property
    def ready(self) -> bool:
        """Whether the daemon may be given requests."""
        settled = self.membership.is_settled(self._timers.now_ms())
        return self.catalogue.ready and settled and not self.entry.stopping

    def start(self) -> None:
        """Read the catalogue and begin to send heartbeats."""
        self.catalogue.start()
        self._beat()
        self._timers.call_every(HEARTBEAT_PERIOD_MS, self._beat)
        self._timers.call_every(MEMBER_TICK_MS, self._tick)
        self._warmth.start()

    def submit(self, request: Request, done: Callable[[Answer], None]) -> None:
        """Run a checked request; `done` gets its one answer."""
        self.entry.submit(request, done)

    def stop(self, done: Callable[[], None]) -> None:
        """Refuse new requests, finish all others, hand over, then call `done`."""
        self.entry.stopping = True
        self._await_idle(done)

    def received(self, sender: str, message: PeerMessage) -> None:
        """Take a message of another daemon."""
        match message:
            case Heartbeat(member, versions):
                self.membership.record_heartbeat(member, self._timers.now_ms())
                self._catalogue_sync.record_versions(member.name, versions)
            case RequestCatalogue(kind, version):
                self._catalogue_sync.answer_request(sender, kind, version)
            case ReportCatalogue(kind, version, objects):
                self.catalogue.apply_peer_listing(kind, version, objects)
            case ReportEvidence() | ReportBadMove():
                self.mover.hear(message)
            case SubmitExchange(exchange):
                self.owner.submit(Origin(sender, exchange.exchange_id), exchange)
            case WithdrawExchange(exchange_id, server):
                self.owner.cancel(Origin(sender, exchange_id), server)
            case ReportExchange(reply):
                self.entry.replied(reply, sender)
            case ReportStrike(notice):
                self.quarantine.strike(notice, self._timers.now_ms())
            case ReportWarm(servers):
                self._warmth.heard(servers)
            case ReportUnresponsive(name):
                if name == self.own.name:
                    self._told_all_ms = -BEAT_ALL_MS
                self.membership.record_down_report(name, self._timers.now_ms())
            case DaemonStopped(name):
                self.membership.record_departure(name)
                self.owner.update_shares()

    def peer_lost(self, name: str) -> None:
        """Take note that the connection to another daemon broke."""
        self.entry.daemon_lost(name)

    def _beat(self) -> None:
        if self._stopped:
            return
        now_ms = self._timers.now_ms()
        versions = self._catalogue_sync.own_versions()
        message = Heartbeat(self.own, versions)
        changed = versions != self._told_versions
        if changed or now_ms - self._told_all_ms > BEAT_ALL_MS:
            self._told_versions, self._told_all_ms = versions, now_ms
            self._broadcast(message)
        else:
            self._beat_neighbours(message)
        if not self.catalogue.ready:
            for seed in self._seeds:
                self._ports.peers.send(seed, message)

    def _beat_neighbours(self, message: Heartbeat) -> None:
        self._update_neighbours()
        for name in sorted(self.membership.neighbours):
            self._tell(name, message)

    def _update_neighbours(self) -> None:
        generation = (self.membership.generation, self._servers_generation)
        if generation == self._neighbours_of:
            return
        self._neighbours_of = generation
        names = self._sharing.neighbours(self._servers.values())
        self.membership.set_neighbours(names, self._timers.now_ms())

    def _report_unresponsive(self) -> None:
        """Report unresponsive neighbours to all daemons, now and again."""
        now_ms = self._timers.now_ms()
        if not self.membership.is_settled(now_ms):
            return
        for name in self.membership.unresponsive_neighbours(now_ms):
            told_ms = self._told_down_ms.get(name, -TELL_DOWN_MS)
            if now_ms - told_ms >= TELL_DOWN_MS:
                self._told_down_ms[name] = now_ms
                self._broadcast(ReportUnresponsive(name))

    def _tell(self, name: str, message: PeerMessage) -> None:
        """Send a message to another daemon, if it is known."""
        member = self._member(name)
        if member is not None and name != self.own.name:
            self._ports.peers.send(member, message)

    def _broadcast(self, message: PeerMessage) -> None:
        for member in self.membership.members:
            if member.name != self.own.name:
                self._ports.peers.send(member, message)

    def is_alive(self, name: str) -> bool:
        """Return whether a daemon was heard lately."""
        return self.membership.is_alive(name, self._timers.now_ms())

    def known_versions(self, name: str) -> tuple[int, ...]:
        """Return the versions that a daemon last told, by `SHARED_KINDS`."""
        if name == self.own.name:
            return self._catalogue_sync.own_versions()
        return self._catalogue_sync.reported_versions(name)

    def _tick(self) -> None:
        if self.membership.tick(self._timers.now_ms()):
            self.owner.update_shares()
        self._update_neighbours()
        self._report_unresponsive()

    def _catalogue_changed(self, kind: Kind) -> None:
        if kind is Kind.MEMBER:
            listed = self.catalogue.members()
            self.membership.apply_listing(listed, self._timers.now_ms())
        self.mover.catalogue_changed()
        self.entry.catalogue_changed()
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

    def _route(self, exchange: Exchange) -> str | None:
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

    def _withdraw(self, daemon: str, exchange_id: int, server: str) -> None:
        if daemon == self.own.name:
            self.owner.cancel(Origin(daemon, exchange_id), server)
            return
        self._tell(daemon, WithdrawExchange(exchange_id, server))

    def _exchange_ended(self, origin: Origin, reply: ExchangeReply) -> None:
        if origin.daemon == self.own.name:
            self._timers.call_soon(lambda: self.entry.replied(reply, origin.daemon))
            return
        self._tell(origin.daemon, ReportExchange(reply))

    def _lost(self, strike: Strike) -> None:
        self._strike_count += 1
        notice_id = f"{self.own.name}/{strike.server}/{self._strike_count}"
        notice = StrikeNotice(notice_id, strike.fingerprint, strike.server)
        self.quarantine.strike(notice, self._timers.now_ms())
        self._broadcast(ReportStrike(notice))

    def _member(self, name: str) -> Member | None:
        return self.membership.member(name)

    def _await_idle(self, done: Callable[[], None]) -> None:
        if not self.entry.idle:
            self._timers.call_later(STOP_POLL_MS, lambda: self._await_idle(done))
            return
        self.owner.stop()
        if not self.owner.idle:
            self._timers.call_later(STOP_POLL_MS, lambda: self._await_idle(done))
            return
        self._stopped = True
        self._broadcast(DaemonStopped(self.own.name))
        self._timers.call_later(STOP_POLL_MS, done)


__all__ = ["Node", "Ports"]
