"""Feed of the platform's store: directly, or relayed by another daemon of the zone.

Calls to the store are charged for, so one daemon of a zone follows the store and the
others follow that daemon. Each one turns to the store itself as soon as the daemon that
it follows stops responding or loses the store.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..decisions.fleet.state_age import CHECK_PERIOD_MS, CRASH_REPORT_AGES
from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayHeartbeat,
    RelayStoreLost,
    RelayUsage,
)
from ..model.store_version import UNKNOWN_ERA
from ..ports.platform import Failed, Kind, Listed
from .configuration_exchange import ConfigurationExchange
from .crash_reports import CrashReports
from .kind_feed import KindFeed
from .known_daemons import KnownDaemons
from .leaf_evidence import LeafEvidence
from .registration import REGISTRY_PERIOD_MS, Registration, registered_daemon
from .relay_following import RelayFollowing
from .return_rules import return_rules
from .store_retries import StoreRetries
from .store_subscribers import (
    ConfigurationSubscriber,
    LeafSubscriber,
    VersionSubscriber,
    ZoneSubscriber,
)
from .stored_crash_reports import StoredCrashReports

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..decisions.fleet.state_age import StateAgeLimits
    from ..model.relay import FollowerMessage, RelayMessage
    from ..ports.platform import ListResult, PlatformPort, StoredObject
    from ..ports.relay import DaemonAddress, RelayPort
    from .context import ServingContext
    from .gateway import Gateway
    from .kind_state import Subscriber
    from .store_subscribers import StoreDecoders

RARELY_CHANGING = (Kind.ZONE_ORDER, Kind.VERSION_ORDER)
EVIDENCE_PERIOD_MS = 100.0
KEEPALIVE_PERIOD_MS = 500.0
# The daemons of a deployment start together; this lets all register before any lists.
FIRST_DISCOVERY_DELAY_MS = 600.0
FAILED_DISCOVERY_DELAY_MS = 2000.0
FOLLOW_CRASHES_DELAY_MS = 1500.0
MAX_STATED_AGE_MS = 3_600_000.0  # of a state that was never confirmed, too


class StoreFeed:
    """Keeps gateway and directory up to date, and the daemons that follow this one.

    Parameters
    ----------
    platform : PlatformPort
        The store to follow and to register in.
    relay : RelayPort
        Connects to the daemon that is followed, and to followers.
    gateway : Gateway
        Receives configurations.
    context : ServingContext
        Receives leafs, zones taken out and the names of the daemons.
    decoders : StoreDecoders
        Decoders of stored objects.
    own : DaemonAddress
        Address of this daemon.
    seeds : tuple of DaemonAddress
        Daemons to follow when the store is unreachable at the start.
    random : Random
        Source of jitter, which spreads the calls of many daemons.
    logger : FilteringBoundLogger
        Receives changes of registration and feed.
    on_daemons : Callable
        Called with the registered daemons after each listing of the registry.
    age_limits : dict of Kind to StateAgeLimits
        How old the known state of each kind may become.

    Attributes
    ----------
    exchange : ConfigurationExchange
        Hands configurations on to other daemons and gets newer ones from them.
    on_usage : Callable or None
        Called with the counts that followers report; None to ignore them.
    registered_names : frozenset of str or None
        Names in the last listing of the registry; None before the first.
    store_era : int
        Era of the store, as the last answer that this daemon got states it.
    """

    def __init__(
        self,
        platform: PlatformPort,
        relay: RelayPort,
        gateway: Gateway,
        context: ServingContext,
        decoders: StoreDecoders,
        own: DaemonAddress,
        seeds: tuple[DaemonAddress, ...],
        random: Random,
        logger: FilteringBoundLogger,
        on_daemons: Callable[[tuple[DaemonAddress, ...]], None],
        age_limits: dict[Kind, StateAgeLimits],
    ) -> None:
        self._on_daemons = on_daemons
        self.on_usage: Callable[[RelayUsage], None] | None = None
        self.registered_names: frozenset[str] | None = None
        self._registration = Registration(platform, own, context.timers, logger)
        self._seeds = seeds
        self._platform = platform
        self._relay = relay
        self._context = context
        self._own = own
        self._random = random
        self._logger = logger
        self._leafs = LeafSubscriber(context, decoders, logger)
        self._configurations = ConfigurationSubscriber(
            gateway, decoders, logger, lambda: self.exchange.announce()
        )
        self.exchange: ConfigurationExchange = ConfigurationExchange(
            context,
            lambda: gateway.version,
            lambda: self._configurations.in_force,
            self._apply_offered,
        )
        subscribers: dict[Kind, Subscriber] = {
            Kind.CONFIGURATION: self._configurations,
            Kind.LEAF: self._leafs,
            Kind.ZONE_ORDER: ZoneSubscriber(context, logger),
            Kind.VERSION_ORDER: VersionSubscriber(context, decoders, logger),
        }
        retries = StoreRetries()
        rules = return_rules(decoders)
        self._kinds = {
            kind: KindFeed(
                platform,
                kind,
                subscriber,
                context.timers,
                random,
                self._publish,
                logger,
                age_limits[kind],
                kind in RARELY_CHANGING,
                retries,
                rules[kind],
            )
            for kind, subscriber in subscribers.items()
        }
        self._evidence = LeafEvidence(context)
        self._crashes = CrashReports(context.crashes, context.timers)
        self._stored_crashes = StoredCrashReports(
            platform, own.zone, context.timers, self._crashes, logger
        )
        self._crash_feed = KindFeed(
            platform,
            Kind.CRASH_REPORT,
            self._stored_crashes,
            context.timers,
            random,
            _discard,
            logger,
            CRASH_REPORT_AGES,
            True,
            retries,
            rules[Kind.CRASH_REPORT],
        )
        self._known_daemons = KnownDaemons(context.timers)
        platform.subscribe_era(self._on_era)
        self.store_era = UNKNOWN_ERA
        self._told_since_ms: float | None = None
        self._follow_crashes_ms = -math.inf
        self._store_has_answered = False  # since a daemon was followed
        self._following = RelayFollowing(
            relay,
            self._kinds,
            own,
            context.timers,
            self._on_relayed_evidence,
            retries,
            logger,
        )
        self._unreadable_names: set[str] = set()  # each is logged once

    def start(self, first_start: bool) -> None:
        """Register, find a daemon to follow, and follow the store if there is none.

        Parameters
        ----------
        first_start : bool
            Whether the whole deployment starts. A daemon that is restarted alone
            follows the one that its zone follows at once, so that it can serve again
            soon, or else the store.
        """
        timers = self._context.timers
        if first_start:
            self._registration.register()
            timers.call_later(
                FIRST_DISCOVERY_DELAY_MS, lambda: self._discover(may_be_stale=False)
            )
        else:
            self._platform.list_all(Kind.DAEMON, self._on_listed_at_restart)
        timers.call_every(CHECK_PERIOD_MS, self._leafs.remove_expired)
        timers.call_every(CHECK_PERIOD_MS, self._following.check)
        timers.call_every(EVIDENCE_PERIOD_MS, self._send_evidence)
        timers.call_every(KEEPALIVE_PERIOD_MS, lambda: self._publish(RelayHeartbeat()))

    @property
    def followed(self) -> DaemonAddress | None:
        """The daemon that relays the store to this one; None if there is none."""
        return self._following.followed

    @property
    def followed_since_ms(self) -> float | None:
        """Monotonic time since which a daemon is followed; None if none is."""
        return self._following.followed_since_ms

    @property
    def follows_store(self) -> bool:
        """Whether this daemon follows the store itself and has its state."""
        return self.followed is None and not self._following.has_unlisted_kind

    def state_age_ms(self, kind: Kind) -> float:
        """Return the time since the known state of a kind was current for certain."""
        return self._kinds[kind].age_ms

    def snapshot(self) -> list[RelayMessage]:
        """Return the state for a new follower.

        Empty while this daemon follows another one or lacks a listing, so that no
        daemon follows it. While it does not reach the store it says so first, for
        those that have a state already, and at the end, for the others.
        """
        kinds = self._kinds.values()
        if self.followed is not None or self._following.has_unlisted_kind:
            return []
        reaches_store = all(kind.reaches_store for kind in kinds)
        lost = [] if reaches_store else [RelayStoreLost("the store does not answer")]
        messages: list[RelayMessage] = [*lost]
        for kind in kinds:
            listing = kind.listing()
            age_ms = min(MAX_STATED_AGE_MS, kind.age_ms)
            confirmation = RelayConfirmation(kind.kind, listing.version, age_ms)
            messages += [listing, confirmation]
        crashes = self._crashes.standing()
        if crashes:
            messages.append(RelayEvidence((), (), crashes))
        return messages + lost

    def on_follower_message(self, message: FollowerMessage) -> None:
        """Apply what a follower reports; forward evidence with this daemon's own."""
        match message:
            case RelayEvidence():
                self._evidence.add_reported(message)
                self._evidence.forward(message)
                self._crashes.learn(message.crashes, forwards=self.followed is None)
            case RelayUsage() if self.on_usage is not None:
                self.on_usage(message)

    def _on_era(self, era: int, before: int) -> None:
        """Let the kinds that follow the store list it, as it has returned."""
        self.store_era = era
        if before == UNKNOWN_ERA:
            self._logger.info("store_era", era=era)
        else:
            self._logger.warning("store_returned", era=era, era_known=before)
            self._following.on_store_returned()
        for kind in (*self._kinds.values(), self._crash_feed):
            kind.on_era(era)

    def _apply_offered(self, stored: StoredObject) -> None:
        """Apply a configuration from another daemon, and relay it to followers."""
        change = RelayChange(stored)
        self._kinds[Kind.CONFIGURATION].apply(change)
        self._publish(change)

    def _on_relayed_evidence(self, evidence: RelayEvidence) -> None:
        self._evidence.add_reported(evidence)
        self._crashes.learn(evidence.crashes, forwards=False)

    def _send_evidence(self) -> None:
        self._keep_crash_reports()
        evidence = self._evidence.take_unreported()
        crashes = self._crashes.take_untold()
        if crashes:
            evidence = attrs.evolve(evidence or RelayEvidence(()), crashes=crashes)
        if evidence is None:
            return
        if self.followed is None:
            self._relay.publish(evidence)
        else:
            self._relay.report(evidence)

    def _keep_crash_reports(self) -> None:
        """Follow and write what the store holds on crashes, where it is followed.

        A daemon that has followed another one knows the crashes, and may soon follow
        the next one: it waits.
        """
        now_ms = self._context.timers.now_ms()
        since_ms = self.followed_since_ms
        if since_ms is not None:
            self._crash_feed.follow_relay()
            if since_ms != self._told_since_ms:
                self._crashes.retell()
            self._follow_crashes_ms = now_ms + FOLLOW_CRASHES_DELAY_MS
            self._store_has_answered = False
        elif self._store_has_answered and now_ms >= self._follow_crashes_ms:
            self._crash_feed.follow_store()
            self._crash_feed.restart_if_silent()
            self._stored_crashes.save_if_changed()
        self._told_since_ms = since_ms

    def _publish(self, message: RelayMessage) -> None:
        if isinstance(message, RelayConfirmation) and self.followed is None:
            self._store_has_answered = True
            self._keep_crash_reports()
        if self.followed is None:
            self._relay.publish(message)

    def _discover(self, may_be_stale: bool = True) -> None:
        self._platform.list_all(Kind.DAEMON, self._on_daemons_listed, may_be_stale)

    def _on_daemons_listed(self, result: ListResult) -> None:
        self._following.set_daemons(self._note_daemons(result), self._seeds)
        self._following.seek()

    def _on_listed_at_restart(self, result: ListResult) -> None:
        match result:
            case Listed(objects, _):
                self._registration.update(objects)
            case Failed():
                self._registration.register()
        self._following.start(self._note_daemons(result), self._seeds)

    def _note_daemons(self, result: ListResult) -> tuple[DaemonAddress, ...]:
        """Return the daemons of a listing; none if it has failed."""
        daemons: tuple[DaemonAddress, ...] = ()
        period_ms = REGISTRY_PERIOD_MS
        match result:
            case Listed(objects, version):
                self._registration.restore(objects)
                listed = self._read_daemons(objects)
                daemons = self._known_daemons.listed(listed, version)
                names = (daemon.name for daemon in daemons)
                self.registered_names = frozenset((*names, self._own.name))
                self._context.add_daemons((*daemons, self._own))
                self._on_daemons(daemons)
            case Failed(detail):
                self._logger.warning("daemons_unknown", reason=detail)
                if self.followed is None:
                    period_ms = FAILED_DISCOVERY_DELAY_MS
        delay_ms = period_ms * (1.0 + 0.2 * self._random.random())
        self._context.timers.call_later(delay_ms, self._discover)
        return daemons

    def _read_daemons(
        self, objects: tuple[StoredObject, ...]
    ) -> tuple[DaemonAddress, ...]:
        daemons = []
        for stored in objects:
            daemon = registered_daemon(stored)
            if daemon is not None:
                daemons.append(daemon)
            elif stored.name not in self._unreadable_names:
                self._unreadable_names.add(stored.name)
                self._logger.warning("daemon_entry_unreadable", name=stored.name)
        return tuple(daemons)


def _discard(update: RelayMessage) -> None:
    """Do nothing: followers learn of crashes from the evidence that is relayed."""


__all__ = ["StoreFeed"]
