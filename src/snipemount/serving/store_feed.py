"""Feed of the platform's store: directly, or relayed by another daemon of the zone.

Calls to the store are charged for, so one daemon of a zone follows the store and the
others follow that daemon. Each one turns to the store itself as soon as the daemon that
it follows stops responding or loses the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.relay_order import relay_candidates
from ..model.relay import (
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayHeartbeat,
    RelayListing,
    RelayRemoval,
    RelayStoreLost,
)
from ..ports.platform import Failed, Kind, Listed
from .configuration_exchange import ConfigurationExchange
from .kind_feed import KindFeed
from .leaf_evidence import LeafEvidence
from .registration import REGISTRY_PERIOD_MS, Registration, registered_daemon
from .store_subscribers import (
    ConfigurationSubscriber,
    LeafSubscriber,
    VersionSubscriber,
    ZoneSubscriber,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..decisions.state_age import StateAgeLimits
    from ..model.relay import RelayMessage
    from ..ports.platform import ListResult, PlatformPort, StoredObject
    from ..ports.relay import DaemonAddress, RelayPort
    from .context import ServingContext
    from .gateway import Gateway
    from .kind_feed import Subscriber
    from .store_subscribers import StoreDecoders

RARELY_CHANGING = (Kind.ZONE_ORDER, Kind.VERSION_ORDER)
CHECK_PERIOD_MS = 250.0
EVIDENCE_PERIOD_MS = 100.0
KEEPALIVE_PERIOD_MS = 500.0
# The daemons of a deployment start together; this lets all register before any lists.
FIRST_DISCOVERY_DELAY_MS = 600.0
FAILED_DISCOVERY_DELAY_MS = 2000.0
FOLLOW_DELAY_MS = 500.0  # lets the daemon to follow list the store first
NEXT_CANDIDATE_DELAY_MS = 300.0
# For the daemon that a restarted one follows to hand over its state.
RESTART_FOLLOW_LIMIT_MS = 150.0
MAX_STATED_AGE_MS = 3_600_000.0  # of a state that was never confirmed, too
FIRST_CONFIRMATIONS_MS = 500.0  # for the first state of each kind to arrive
# Within this time a daemon that follows the store has called it again and caught up.
CATCH_UP_DELAY_MS = 3500.0


def _no_delay_ms(age_ms: float) -> float:
    return 0.0


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
    age_limits : StateAgeLimits
        How old the known state may become.

    Attributes
    ----------
    exchange : ConfigurationExchange
        Hands configurations on to other daemons and gets newer ones from them.
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
        age_limits: StateAgeLimits,
    ) -> None:
        self._age_limits = age_limits
        self._on_daemons = on_daemons
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
        self._kinds = {
            kind: KindFeed(
                platform,
                kind,
                subscriber,
                context.timers,
                random,
                self._publish,
                logger,
                age_limits.watch_delay_ms if kind in RARELY_CHANGING else _no_delay_ms,
            )
            for kind, subscriber in subscribers.items()
        }
        self._daemons: tuple[DaemonAddress, ...] = ()
        self._followed: DaemonAddress | None = None
        self._evidence = LeafEvidence(context)
        self._followed_since_ms = 0.0
        self._candidates: list[DaemonAddress] = []
        self._unreadable_names: set[str] = set()  # each is logged once
        self._asked_at_restart = False  # whether the first daemon asked has a state

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
        timers.call_every(CHECK_PERIOD_MS, self._check_state_age)
        timers.call_every(EVIDENCE_PERIOD_MS, self._send_evidence)
        timers.call_every(KEEPALIVE_PERIOD_MS, lambda: self._publish(RelayHeartbeat()))

    def state_age_ms(self, kind: Kind) -> float:
        """Return the time since the known state of a kind was current for certain."""
        return self._kinds[kind].age_ms

    def snapshot(self) -> list[RelayMessage]:
        """Return the state for a new follower.

        Empty while this daemon follows another one or lacks a listing, so that no
        daemon follows it.
        """
        kinds = self._kinds.values()
        if self._followed is not None or self._has_unlisted_kind:
            return []
        messages: list[RelayMessage] = []
        for kind in kinds:
            messages.append(kind.listing())
            age_ms = min(MAX_STATED_AGE_MS, kind.age_ms)
            messages.append(RelayConfirmation(kind.kind, kind.version, age_ms))
        if not all(kind.store_reachable for kind in kinds):
            messages.append(RelayStoreLost("the store does not answer"))
        return messages

    def on_follower_message(self, message: RelayMessage) -> None:
        """Apply evidence from a follower, and forward it with this daemon's own."""
        if isinstance(message, RelayEvidence):
            self._evidence.add_reported(message.leafs)
            self._evidence.forward(message.leafs)

    def _apply_offered(self, stored: StoredObject) -> None:
        """Apply a configuration from another daemon, and relay it to followers."""
        change = RelayChange(stored)
        self._kinds[Kind.CONFIGURATION].apply(change)
        self._publish(change)

    def _send_evidence(self) -> None:
        leafs = self._evidence.take_unreported()
        if not leafs:
            return
        if self._followed is None:
            self._relay.publish(RelayEvidence(leafs))
        else:
            self._relay.report(RelayEvidence(leafs))

    def _publish(self, message: RelayMessage) -> None:
        if self._followed is None:
            self._relay.publish(message)

    def _discover(self, may_be_stale: bool = True) -> None:
        self._platform.list_all(Kind.DAEMON, self._on_daemons_listed, may_be_stale)

    def _on_daemons_listed(self, result: ListResult) -> None:
        self._note_daemons(result)
        if self._followed is None:
            wait_ms = FOLLOW_DELAY_MS if self._candidates else 0.0
            self._context.timers.call_later(wait_ms, self._follow_next_unless_following)

    def _on_listed_at_restart(self, result: ListResult) -> None:
        """Register, and take the state from another daemon or, failing that, the store.

        When all daemons restart, none has a state: the first one asked refuses.
        """
        match result:
            case Listed(objects, _):
                self._registration.update(objects)
            case Failed():
                self._registration.register()
        self._note_daemons(result)
        timers = self._context.timers
        if self._candidates and isinstance(result, Listed):
            timers.call_later(RESTART_FOLLOW_LIMIT_MS, self._list_unlisted_kinds)
            self._asked_at_restart = True
        else:
            self._follow_store()
        self._follow_next_candidate()

    def _list_unlisted_kinds(self) -> None:
        if self._followed is None and self._has_unlisted_kind:
            self._follow_store()

    def _note_daemons(self, result: ListResult) -> None:
        match result:
            case Listed(objects, _):
                self._daemons = self._read_daemons(objects)
                self._context.add_daemons((*self._daemons, self._own))
                self._on_daemons(self._daemons)
                self._candidates = relay_candidates(self._daemons, self._own)
                period_ms = REGISTRY_PERIOD_MS
            case Failed(detail):
                self._logger.warning("daemons_unknown", reason=detail)
                self._candidates = list(self._seeds) if self._has_unlisted_kind else []
                period_ms = FAILED_DISCOVERY_DELAY_MS
        delay_ms = period_ms * (1.0 + 0.2 * self._random.random())
        self._context.timers.call_later(delay_ms, self._discover)

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

    @property
    def _has_unlisted_kind(self) -> bool:
        return any(kind.version == 0 for kind in self._kinds.values())

    @property
    def _oldest_kind(self) -> KindFeed:
        """The kind whose known state is the oldest."""
        return max(self._kinds.values(), key=lambda kind: kind.age_ms)

    def _follow_next_candidate(self) -> None:
        if not self._candidates:
            self._follow_store()
            return
        daemon = self._candidates.pop(0)
        self._relay.follow(
            daemon,
            lambda message: self._on_relay_message(daemon, message),
            lambda: self._on_relay_ended(daemon),
        )

    def _check_state_age(self) -> None:
        """Read the store anew, or itself, before the known state is too old."""
        daemon = self._followed
        if daemon is None:
            for kind in self._kinds.values():
                kind.restart_if_silent(self._age_limits.max_silence_ms)
            return
        followed_ms = self._context.timers.now_ms() - self._followed_since_ms
        oldest = self._oldest_kind
        if (
            followed_ms < FIRST_CONFIRMATIONS_MS
            or oldest.age_ms < self._age_limits.max_age_ms
        ):
            return
        self._logger.warning(
            "relay_outdated",
            daemon_followed=daemon.name,
            kind=oldest.kind.value,
            age_ms=round(oldest.age_ms),
        )
        self._relay.unfollow()
        self._on_relay_ended(daemon)

    def _follow_store(self) -> None:
        for kind in self._kinds.values():
            kind.follow_store()

    def _on_relay_message(self, daemon: DaemonAddress, message: RelayMessage) -> None:
        match message:
            case RelayListing(kind) if self._kinds[kind].is_outdated(message):
                self._logger.info(
                    "relay_behind", daemon_followed=daemon.name, kind=kind.value
                )
                self._relay.unfollow()
                self._return_to_store(daemon)
                self._retry_candidates_later(CATCH_UP_DELAY_MS)
            case RelayListing(kind):
                self._start_following(daemon)
                self._kinds[kind].apply(message)
            case RelayChange(stored):
                self._kinds[stored.kind].apply(message)
            case RelayRemoval(kind, _):
                self._kinds[kind].apply(message)
            case RelayConfirmation(kind):
                self._kinds[kind].apply(message)
            case RelayStoreLost():
                self._relay.unfollow()
                self._on_relay_ended(daemon)
            case RelayEvidence(leafs):
                self._evidence.add_reported(leafs)
            case RelayHeartbeat():
                pass

    def _start_following(self, daemon: DaemonAddress) -> None:
        if self._followed == daemon:
            return
        self._logger.info("relay_followed", daemon_followed=daemon.name)
        self._asked_at_restart = False
        self._relay.publish(RelayStoreLost("follows another daemon"))
        self._followed = daemon
        self._followed_since_ms = self._context.timers.now_ms()
        for kind in self._kinds.values():
            kind.follow_relay()

    def _return_to_store(self, daemon: DaemonAddress) -> None:
        if self._followed is not None:
            self._logger.warning("relay_lost", daemon_followed=daemon.name)
            self._followed = None
            self._follow_store()

    def _on_relay_ended(self, daemon: DaemonAddress) -> None:
        self._return_to_store(daemon)
        if self._asked_at_restart:
            self._asked_at_restart = False
            self._list_unlisted_kinds()
            self._retry_candidates_later(FOLLOW_DELAY_MS)
            return
        self._context.timers.call_later(
            NEXT_CANDIDATE_DELAY_MS, self._follow_next_unless_following
        )

    def _retry_candidates_later(self, delay_ms: float) -> None:
        def retry() -> None:
            self._candidates = relay_candidates(self._daemons, self._own)
            self._follow_next_unless_following()

        self._context.timers.call_later(delay_ms, retry)

    def _follow_next_unless_following(self) -> None:
        if self._followed is None:
            self._follow_next_candidate()


__all__ = ["StoreFeed"]
