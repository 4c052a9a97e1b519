"""Connections to the coordinators that this daemon delegates queries to."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..decisions.estimates.quantile import QuantileEstimate
from ..decisions.fleet.coordinators import ranked_coordinators, zones_with_most_shards
from ..model.delegation import (
    ConfigurationAnnounced,
    ConfigurationOffered,
    ConfigurationRequested,
    CoordinatorStopping,
    FurtherAttemptsGranted,
    FurtherAttemptsRequested,
    QueryAccepted,
    QueryCancelled,
    QueryDeclined,
    QueryEnded,
    QueryRunning,
    ZonesCutOff,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.delegation import DeclineReason, DelegatedQuery, DelegationMessage
    from ..model.forwarding import RequestOutcome
    from ..ports.delegation import DelegationLink, DelegationPort
    from ..ports.relay import DaemonAddress
    from .configuration_exchange import ConfigurationExchange
    from .context import ServingContext

MAX_LINKS = 6
REFRESH_PERIOD_MS = 250.0
RANKING_PERIOD_MS = 2000.0  # zones gain and lose shards slowly
RECONNECT_DELAY_MS = 1000.0
# A link without a message for so long after an unanswered query is opened anew.
SUSPECT_LIMIT_MS = 400.0
DECLINED_PAUSE_MS = 50.0  # before a coordinator that was busy is asked again
HOP_QUANTILE = 0.9
INITIAL_HOP_MS = 4.0


class DelegationObserver(ABC):
    """Is told what becomes of a query that was sent to a coordinator."""

    @abstractmethod
    def on_accepted(self) -> None:
        """Record that the coordinator runs the query."""

    @abstractmethod
    def on_running(self) -> None:
        """Record that the coordinator still runs the query."""

    @abstractmethod
    def on_further_requested(self, positions: tuple[int, ...]) -> None:
        """Count further attempts at the shards at some positions, and grant them."""

    @abstractmethod
    def on_declined(self, reason: DeclineReason) -> None:
        """Handle that the coordinator does not run the query."""

    @abstractmethod
    def on_ended(self, outcome: RequestOutcome, ran_ms: float) -> None:
        """Handle the outcome, for which the coordinator took `ran_ms`."""

    @abstractmethod
    def on_lost(self) -> None:
        """Handle the end of the connection; the query may have run."""


class CoordinatorLink:
    """Connection to one coordinator, which is opened again when it ends.

    Parameters
    ----------
    daemon : DaemonAddress
        The coordinator.
    context : ServingContext
        Gives timers and logger.
    port : DelegationPort
        Opens connections.
    exchange : ConfigurationExchange
        Hands on the configuration in force.
    own_zone : str
        Zone of this daemon.

    Attributes
    ----------
    zones_cut_off : tuple of str
        Zones that the coordinator, if it is in the own zone, does not reach.
    """

    def __init__(
        self,
        daemon: DaemonAddress,
        context: ServingContext,
        port: DelegationPort,
        exchange: ConfigurationExchange,
        own_zone: str,
    ) -> None:
        self.daemon = daemon
        self._own_zone = own_zone
        self._exchange = exchange
        self._context = context
        self._port = port
        self._link: DelegationLink | None = None
        self._open = False
        self._stopping = False
        self._suspect_since_ms: float | None = None
        self._declined_until_ms = 0.0
        self._reconnect_at_ms = 0.0
        self._pending: dict[int, DelegationObserver] = {}
        self.zones_cut_off: tuple[str, ...] = ()

    @property
    def usable(self) -> bool:
        """Whether a query may be sent now."""
        return (
            self._open
            and not self._context.reachability.is_cut_off(self.daemon.zone)
            and not self._stopping
            and self._suspect_since_ms is None
            and self._context.timers.now_ms() >= self._declined_until_ms
        )

    @property
    def pending_queries(self) -> int:
        """Number of queries without an outcome."""
        return len(self._pending)

    def send(self, query: DelegatedQuery, observer: DelegationObserver) -> None:
        """Send a query; `observer` is told what becomes of it."""
        assert self._link is not None
        self._pending[query.query_id] = observer
        self._link.send(query)

    def cancel(self, query_id: int) -> None:
        """Cancel a query; its observer is not called any more."""
        if self._pending.pop(query_id, None) is not None and self._link is not None:
            self._link.send(QueryCancelled(query_id))

    def grant(self, query_id: int, positions: tuple[int, ...]) -> None:
        """Grant further attempts at the shards at some positions."""
        if query_id in self._pending and self._link is not None:
            self._link.send(FurtherAttemptsGranted(query_id, positions))

    def suspect(self) -> None:
        """Send no query until a message arrives; without one, connect anew."""
        if self._suspect_since_ms is None:
            self._suspect_since_ms = self._context.timers.now_ms()
            self._context.logger.warning(
                "coordinator_unresponsive", coordinator=self.daemon.name
            )

    def refresh(self) -> None:
        """Connect if there is no connection, and drop one that stays silent."""
        now_ms = self._context.timers.now_ms()
        since_ms = self._suspect_since_ms
        if since_ms is not None and now_ms - since_ms > SUSPECT_LIMIT_MS:
            self._drop()
        if self._link is None and now_ms >= self._reconnect_at_ms:
            self._connect()

    def retire(self) -> bool:
        """Take no more queries; return whether the link was idle and is closed now."""
        self._stopping = True
        if self._pending:
            return False
        self._drop()
        return True

    def close(self) -> None:
        """Close the connection for good; queries without an outcome are lost."""
        self._drop()
        self._reconnect_at_ms = math.inf

    def _connect(self) -> None:
        # Callbacks of an earlier connection find another link in place of theirs.
        def current() -> bool:
            return self._link is link

        def on_open() -> None:
            if current():
                self._on_open()

        def on_message(message: DelegationMessage) -> None:
            if current():
                self._on_message(message)

        def on_end() -> None:
            if current():
                self._drop()

        link = self._port.connect(self.daemon, on_open, on_message, on_end)
        self._link = link

    def _on_open(self) -> None:
        self._open = True
        assert self._link is not None
        crosses_zones = self.daemon.zone != self._own_zone
        self._exchange.add_link(self._link, crosses_zones)
        self._context.logger.info("coordinator_linked", coordinator=self.daemon.name)

    def _drop(self) -> None:
        link, self._link = self._link, None
        if link is not None:
            self._exchange.remove_link(link)
            link.close()
        self._open = self._stopping = False
        self.zones_cut_off = ()
        self._suspect_since_ms = None
        self._reconnect_at_ms = self._context.timers.now_ms() + RECONNECT_DELAY_MS
        pending, self._pending = self._pending, {}
        for observer in pending.values():
            observer.on_lost()

    def _on_message(self, message: DelegationMessage) -> None:
        self._suspect_since_ms = None
        match message:
            case CoordinatorStopping():
                self._stopping = True
            case ZonesCutOff(zones):
                self._on_zones_cut_off(zones)
            case QueryAccepted(query_id) if query_id in self._pending:
                self._pending[query_id].on_accepted()
            case QueryRunning(query_id) if query_id in self._pending:
                self._pending[query_id].on_running()
            case FurtherAttemptsRequested(query_id, positions) if (
                query_id in self._pending
            ):
                self._pending[query_id].on_further_requested(positions)
            case QueryDeclined(query_id, reason) if query_id in self._pending:
                now_ms = self._context.timers.now_ms()
                self._declined_until_ms = now_ms + DECLINED_PAUSE_MS
                self._pending.pop(query_id).on_declined(reason)
            case QueryEnded(query_id, outcome, ran_ms) if query_id in self._pending:
                self._pending.pop(query_id).on_ended(outcome, ran_ms)
            case (
                ConfigurationAnnounced()
                | ConfigurationRequested()
                | ConfigurationOffered()
            ):
                assert self._link is not None
                self._exchange.on_message(self._link, message)

    def _on_zones_cut_off(self, zones: tuple[str, ...]) -> None:
        """Take over what a coordinator of the own zone finds; others are elsewhere."""
        if self.daemon.zone != self._own_zone:
            return
        self.zones_cut_off = zones
        for zone in zones:
            self._context.note_zone_reported(zone, self.daemon.name)


class CoordinatorLinks:
    """Keeps links to the preferred coordinators and picks one for each query.

    A daemon that is a coordinator itself keeps none.

    Parameters
    ----------
    context : ServingContext
        Gives timers, directory, and who shares the limits.
    port : DelegationPort
        Opens connections.
    own : DaemonAddress
        This daemon.
    shards : Callable
        Returns the shards of the configured queries.
    exchange : Callable
        Returns what hands on the configuration in force.

    Attributes
    ----------
    hop : QuantileEstimate
        Time that delegating adds to a query: both ways and the waits at both ends.
    """

    def __init__(
        self,
        context: ServingContext,
        port: DelegationPort,
        own: DaemonAddress,
        shards: Callable[[], frozenset[str]],
        exchange: Callable[[], ConfigurationExchange],
    ) -> None:
        self._context = context
        self._exchange = exchange
        self._port = port
        self._own = own
        self._shards = shards
        self._daemons: tuple[DaemonAddress, ...] = ()
        self._links: dict[DaemonAddress, CoordinatorLink] = {}
        self._next_query_id = 0
        self._next_ranking_ms = 0.0
        self.hop = QuantileEstimate(HOP_QUANTILE, INITIAL_HOP_MS)

    def start(self) -> None:
        """Start to open links."""
        self._context.timers.call_soon(self._refresh)
        self._context.timers.call_every(REFRESH_PERIOD_MS, self._refresh)

    def set_daemons(self, daemons: tuple[DaemonAddress, ...]) -> None:
        """Replace the known daemons, of which some are coordinators.

        The first ones are linked at once: until then this daemon runs its queries.
        """
        is_first = not self._daemons
        self._daemons = daemons
        self._next_ranking_ms = 0.0
        if is_first:
            self._context.timers.call_soon(self._refresh)

    def close(self) -> None:
        """Close all links, as the daemon ends."""
        self._daemons = ()
        self._next_ranking_ms = math.inf
        for link in self._links.values():
            link.close()

    @property
    def can_delegate(self) -> bool:
        """Whether a coordinator is connected."""
        return any(link.usable for link in self._links.values())

    @property
    def reaches_all_zones(self) -> bool:
        """Whether no coordinator of the own zone finds a zone cut off."""
        return not any(link.zones_cut_off for link in self._links.values())

    @property
    def names(self) -> list[str]:
        """Names of the coordinators with a link, the preferred one first."""
        return [daemon.name for daemon in self._links]

    def choose(
        self, excluded: set[str], avoided_zones: set[str]
    ) -> CoordinatorLink | None:
        """Return the link for a query: of the nearest usable, the least busy one.

        Parameters
        ----------
        excluded : set of str
            Coordinators that were asked before.
        avoided_zones : set of str
            Zones whose coordinators come last, as one of them knows too few leafs:
            the daemons of a zone learn of leafs from the same one.
        """
        usable = [
            link
            for link in self._links.values()
            if link.usable and link.daemon.name not in excluded
        ]
        return min(
            usable,
            key=lambda link: (link.daemon.zone in avoided_zones, link.pending_queries),
            default=None,
        )

    def take_query_id(self) -> int:
        """Return a number that no other query of this daemon has."""
        self._next_query_id += 1
        return self._next_query_id

    def _refresh(self) -> None:
        now_ms = self._context.timers.now_ms()
        if now_ms >= self._next_ranking_ms:
            self._next_ranking_ms = now_ms + RANKING_PERIOD_MS
            self._replace_links(self._wanted())
        for link in self._links.values():
            link.refresh()

    def _replace_links(self, wanted: list[DaemonAddress]) -> None:
        links = {}
        for daemon in wanted:
            link = self._links.pop(daemon, None)
            links[daemon] = link or CoordinatorLink(
                daemon, self._context, self._port, self._exchange(), self._own.zone
            )
        kept = {d: link for d, link in self._links.items() if not link.retire()}
        self._links = links | kept

    def _wanted(self) -> list[DaemonAddress]:
        if self._own.name in self._context.limit_shares.coordinators:
            return []
        leafs = (state.leaf for state in self._context.directory.all_states())
        zones = zones_with_most_shards(leafs, self._shards())
        return ranked_coordinators(self._daemons, self._own, zones)[:MAX_LINKS]


__all__ = ["CoordinatorLink", "CoordinatorLinks", "DelegationObserver"]
