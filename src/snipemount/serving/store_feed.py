"""How a daemon hears the platform's store: itself, or over a daemon of its zone.

Calls to the store are priced, so one daemon of a zone follows it and the others
follow that daemon. Each one turns to the store itself as soon as the daemon that it
follows is silent, or does not reach the store either.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.relay_order import relay_order
from ..model.relay import (
    RelayAlive,
    RelayChange,
    RelayConfirmation,
    RelayEvidence,
    RelayListing,
    RelayLoss,
    RelayRemoval,
)
from ..ports.platform import Conflicted, Failed, Found, Kind, Listed, Missing, Written
from ..ports.relay import DaemonAddress
from .followed_kind import FollowedKind
from .leaf_evidence import LeafEvidence
from .store_subscribers import (
    ConfigurationSubscriber,
    LeafSubscriber,
    VersionSubscriber,
    ZoneSubscriber,
)

if TYPE_CHECKING:
    from random import Random

    from structlog.typing import FilteringBoundLogger

    from ..model.relay import RelayMessage
    from ..ports.platform import (
        ListResult,
        PlatformPort,
        ReadResult,
        StoredObject,
        WriteResult,
    )
    from ..ports.relay import RelayPort
    from .gateway import Gateway
    from .store_subscribers import Documents
    from .surroundings import Surroundings

ORDERS_PERIOD_MS = 1000.0
HOUSEKEEPING_MS = 250.0
EVIDENCE_PERIOD_MS = 100.0
ALIVE_PERIOD_MS = 500.0
FIRST_LOOK_MS = 600.0  # the daemons of a deployment start together
LOOK_PERIOD_MS = 10_000.0
FAILED_LOOK_MS = 2000.0
FOLLOW_DELAY_MS = 500.0  # so that the daemon to follow has listed the store
NEXT_TRY_MS = 300.0
UNCONFIRMED_MS = 4200.0  # longer than a watch that nothing ends
CATCH_UP_MS = 3500.0  # a daemon that follows the store has asked it again by then


class StoreFeed:
    """Feeds gateway and directory, and the daemons that follow this one.

    Parameters
    ----------
    platform : PlatformPort
        The store.
    relay : RelayPort
        The other daemons.
    gateway : Gateway
        Takes configurations.
    around : Surroundings
        Takes leafs, closed zones and the number of daemons.
    documents : Documents
        Decoders.
    own : DaemonAddress
        This daemon.
    seeds : tuple of DaemonAddress
        Daemons to ask at a start while the store is away.
    random : Random
        Spreads calls.
    logger : FilteringBoundLogger
        Logger.
    """

    def __init__(
        self,
        platform: PlatformPort,
        relay: RelayPort,
        gateway: Gateway,
        around: Surroundings,
        documents: Documents,
        own: DaemonAddress,
        seeds: tuple[DaemonAddress, ...],
        random: Random,
        logger: FilteringBoundLogger,
    ) -> None:
        self._seeds = seeds
        self._platform = platform
        self._relay = relay
        self._around = around
        self._own = own
        self._random = random
        self._logger = logger
        self._leafs = LeafSubscriber(around, documents, logger)
        timers = around.timers
        publish = self._publish
        self._kinds = {
            Kind.CONFIGURATION: FollowedKind(
                platform,
                Kind.CONFIGURATION,
                ConfigurationSubscriber(gateway, documents, logger),
                timers,
                random,
                publish,
            ),
            Kind.LEAF: FollowedKind(
                platform, Kind.LEAF, self._leafs, timers, random, publish
            ),
            Kind.ZONE_ORDER: FollowedKind(
                platform,
                Kind.ZONE_ORDER,
                ZoneSubscriber(around, logger),
                timers,
                random,
                publish,
                ORDERS_PERIOD_MS,
            ),
            Kind.VERSION_ORDER: FollowedKind(
                platform,
                Kind.VERSION_ORDER,
                VersionSubscriber(around, documents, logger),
                timers,
                random,
                publish,
                ORDERS_PERIOD_MS,
            ),
        }
        self._daemons: tuple[DaemonAddress, ...] = ()
        self._followed: DaemonAddress | None = None
        self._evidence = LeafEvidence(around)
        self._confirmed_ms = 0.0
        self._untried: list[DaemonAddress] = []

    def start(self, first_start: bool) -> None:
        """Register, look for a daemon to follow, and follow the store otherwise.

        Parameters
        ----------
        first_start : bool
            Whether the whole deployment starts; a daemon that is restarted alone
            turns to the store at once, to serve again soon.
        """
        self._register()
        timers = self._around.timers
        timers.call_later(FIRST_LOOK_MS if first_start else 0.0, self._first_look)
        if not first_start:
            self._follow_store()
        timers.call_every(HOUSEKEEPING_MS, self._leafs.settle_doubts)
        timers.call_every(HOUSEKEEPING_MS, self._check_followed)
        timers.call_every(EVIDENCE_PERIOD_MS, self._share_evidence)
        timers.call_every(ALIVE_PERIOD_MS, lambda: self._publish(RelayAlive()))

    def snapshot(self) -> list[RelayMessage]:
        """Return what a new follower has to know; nothing where this one follows."""
        kinds = self._kinds.values()
        if self._followed is not None or self._knows_nothing:
            return []
        messages: list[RelayMessage] = []
        for kind in kinds:
            messages.append(kind.listing())
            messages.append(RelayConfirmation(kind.kind, kind.version))
        if not all(kind.in_contact for kind in kinds):
            messages.append(RelayLoss("the store does not answer"))
        return messages

    def told(self, message: RelayMessage) -> None:
        """Take what a follower has seen; it goes on to the others with our own."""
        if isinstance(message, RelayEvidence):
            self._evidence.hear(message.leafs)
            self._evidence.pass_on(message.leafs)

    def _share_evidence(self) -> None:
        leafs = self._evidence.take()
        if not leafs:
            return
        if self._followed is None:
            self._relay.publish(RelayEvidence(leafs))
        else:
            self._relay.tell(RelayEvidence(leafs))

    def _publish(self, message: RelayMessage) -> None:
        if self._followed is None:
            self._relay.publish(message)

    def _register(self) -> None:
        self._platform.write(
            Kind.DAEMON, self._own.name, self._spec, None, self._registered
        )

    @property
    def _spec(self) -> dict[str, object]:
        own = self._own
        return {"zone": own.zone, "host": own.host, "port": own.port}

    def _registered(self, result: WriteResult) -> None:
        match result:
            case Written():
                self._logger.info("registered", name=self._own.name)
            case Conflicted():
                # An earlier process of this VM has registered, maybe elsewhere.
                self._platform.read(Kind.DAEMON, self._own.name, self._known)
            case Failed(detail):
                self._logger.warning("not_registered", reason=detail)
                self._around.timers.call_later(LOOK_PERIOD_MS, self._register)

    def _known(self, result: ReadResult) -> None:
        match result:
            case Found(stored) if stored.spec != self._spec:
                self._platform.write(
                    Kind.DAEMON,
                    self._own.name,
                    self._spec,
                    stored.version,
                    self._registered,
                )
            case Missing() | Failed():
                self._around.timers.call_later(LOOK_PERIOD_MS, self._register)

    def _first_look(self) -> None:
        self._platform.list_all(Kind.DAEMON, self._looked)

    def _look(self) -> None:
        self._platform.list_all(Kind.DAEMON, self._looked, may_be_stale=True)

    def _looked(self, result: ListResult) -> None:
        match result:
            case Listed(objects, _):
                found = (_address(stored) for stored in objects)
                self._daemons = tuple(daemon for daemon in found if daemon is not None)
                names = frozenset(daemon.name for daemon in self._daemons)
                self._count_daemons(names)
                self._untried = relay_order(self._daemons, self._own)
                period_ms = LOOK_PERIOD_MS
            case Failed(detail):
                self._logger.warning("daemons_unknown", reason=detail)
                self._untried = list(self._seeds) if self._knows_nothing else []
                period_ms = FAILED_LOOK_MS
        timers = self._around.timers
        delay_ms = period_ms * (1.0 + 0.2 * self._random.random())
        timers.call_later(delay_ms, self._look)
        if self._followed is None:
            wait_ms = FOLLOW_DELAY_MS if self._untried else 0.0
            timers.call_later(wait_ms, self._try_next)

    def _count_daemons(self, names: frozenset[str]) -> None:
        # A stale list may name fewer: shares only ever get smaller.
        if not names <= self._around.daemon_names:
            self._around.daemon_names |= names
            self._around.share_bounds()

    @property
    def _knows_nothing(self) -> bool:
        return any(kind.version == 0 for kind in self._kinds.values())

    def _follow_next(self) -> None:
        if not self._untried:
            self._follow_store()
            return
        daemon = self._untried.pop(0)
        self._relay.follow(
            daemon,
            lambda message: self._heard(daemon, message),
            lambda: self._ended(daemon),
        )

    def _check_followed(self) -> None:
        """Leave a daemon that lives but confirms nothing any more."""
        daemon = self._followed
        now_ms = self._around.timers.now_ms()
        if daemon is None or now_ms - self._confirmed_ms < UNCONFIRMED_MS:
            return
        self._relay.unfollow()
        self._ended(daemon)

    def _follow_store(self) -> None:
        for kind in self._kinds.values():
            kind.follow_store()

    def _heard(self, daemon: DaemonAddress, message: RelayMessage) -> None:
        match message:
            case RelayListing(kind, version, _) if self._kinds[kind].is_past(version):
                self._logger.info("relay_behind", daemon_followed=daemon.name)
                self._relay.unfollow()
                self._return_to_store(daemon)
                self._try_again_later()
            case RelayListing(kind):
                self._start_following(daemon)
                self._kinds[kind].take(message)
            case RelayChange(stored):
                self._kinds[stored.kind].take(message)
            case RelayRemoval(kind, _):
                self._kinds[kind].take(message)
            case RelayConfirmation(kind, _):
                if kind in (Kind.CONFIGURATION, Kind.LEAF):
                    self._confirmed_ms = self._around.timers.now_ms()
                self._kinds[kind].take(message)
            case RelayLoss():
                self._relay.unfollow()
                self._ended(daemon)
            case RelayEvidence(leafs):
                self._evidence.hear(leafs)
            case RelayAlive():
                pass

    def _start_following(self, daemon: DaemonAddress) -> None:
        if self._followed == daemon:
            return
        self._logger.info("relay_followed", daemon_followed=daemon.name)
        self._relay.publish(RelayLoss("follows another daemon"))
        self._followed = daemon
        self._confirmed_ms = self._around.timers.now_ms()
        for kind in self._kinds.values():
            kind.follow_relay()

    def _return_to_store(self, daemon: DaemonAddress) -> None:
        if self._followed is not None:
            self._logger.warning("relay_lost", daemon_followed=daemon.name)
            self._followed = None
            self._follow_store()

    def _ended(self, daemon: DaemonAddress) -> None:
        self._return_to_store(daemon)
        self._around.timers.call_later(NEXT_TRY_MS, self._try_next)

    def _try_again_later(self) -> None:
        def again() -> None:
            self._untried = relay_order(self._daemons, self._own)
            self._try_next()

        self._around.timers.call_later(CATCH_UP_MS, again)

    def _try_next(self) -> None:
        if self._followed is None:
            self._follow_next()


def _address(stored: StoredObject) -> DaemonAddress | None:
    zone, host, port = (stored.spec.get(key) for key in ("zone", "host", "port"))
    if isinstance(zone, str) and isinstance(host, str) and isinstance(port, int):
        return DaemonAddress(stored.name, zone, host, port)
    return None


__all__ = ["StoreFeed"]
