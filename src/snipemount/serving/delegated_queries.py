"""Queries over all shards that this daemon coordinates for others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.delegation import (
    ConfigurationAnnounced,
    ConfigurationOffered,
    ConfigurationRequested,
    CoordinatorStopping,
    DeclineReason,
    DelegatedQuery,
    FurtherAttemptsGranted,
    FurtherAttemptsRequested,
    QueryAccepted,
    QueryCancelled,
    QueryDeclined,
    QueryEnded,
    QueryRunning,
    ZonesCutOff,
)
from ..ports.delegation import DelegationHandler
from .delegated_run import RUNNING_PERIOD_MS
from .gather_run import GatherRun
from .waiting_run import WaitingRun

if TYPE_CHECKING:
    from ..model.delegation import DelegationMessage
    from ..model.forwarding import RequestOutcome
    from ..ports.delegation import DelegationLink
    from .configuration_exchange import ConfigurationExchange
    from .context import ServingContext
    from .gateway import Gateway
    from .run import Run


class DelegatedQueries(DelegationHandler):
    """Runs the queries that other daemons delegate, and answers them.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    gateway : Gateway
        Runs the queries under the configuration in force.
    exchange : ConfigurationExchange
        Hands on the configuration in force.
    max_running_legs : int
        Legs that this VM bears; with more of them running, queries are declined.

    Attributes
    ----------
    stopping : bool
        Whether queries are declined because the daemon stops.
    """

    def __init__(
        self,
        context: ServingContext,
        gateway: Gateway,
        exchange: ConfigurationExchange,
        max_running_legs: int,
    ) -> None:
        self._context = context
        self._gateway = gateway
        self.max_running_legs = max_running_legs
        self._exchange = exchange
        self._links: dict[DelegationLink, dict[int, Run]] = {}
        self.stopping = False
        context.on_zones_changed = self._announce_zones

    @property
    def in_flight(self) -> int:
        """Number of queries without an outcome."""
        return sum(len(runs) for runs in self._links.values())

    def stop(self) -> None:
        """Decline queries from now on, and tell the daemons that delegate."""
        self.stopping = True
        for link in self._links:
            link.send(CoordinatorStopping())

    def on_link_opened(self, link: DelegationLink) -> None:
        """Record the connection of a daemon that delegates."""
        self._links[link] = {}
        self._exchange.add_link(link, crosses_zones=False)
        if self._context.reachability.cut_off_zones():
            link.send(self._zones_cut_off())
        if self.stopping:
            link.send(CoordinatorStopping())

    def on_link_ended(self, link: DelegationLink) -> None:
        """Cancel the queries of a connection that has ended."""
        self._exchange.remove_link(link)
        for run in self._links.pop(link, {}).values():
            run.cancel()

    def on_message(self, link: DelegationLink, message: DelegationMessage) -> None:
        """Run or decline a query, or cancel one."""
        match message:
            case DelegatedQuery():
                self._take(link, message)
            case QueryCancelled(query_id):
                run = self._links.get(link, {}).pop(query_id, None)
                if run is not None:
                    run.cancel()
            case FurtherAttemptsGranted(query_id, positions):
                run = self._links.get(link, {}).get(query_id)
                if isinstance(run, GatherRun | WaitingRun):
                    run.grant_further_attempts(positions)
            case (
                ConfigurationAnnounced()
                | ConfigurationRequested()
                | ConfigurationOffered()
            ):
                self._exchange.on_message(link, message)

    def _zones_cut_off(self) -> ZonesCutOff:
        return ZonesCutOff(tuple(sorted(self._context.reachability.cut_off_zones())))

    def _announce_zones(self) -> None:
        for link in self._links:
            link.send(self._zones_cut_off())

    def _take(self, link: DelegationLink, query: DelegatedQuery) -> None:
        reason = self._reason_to_decline(query)
        if reason is not None:
            self._context.logger.info(
                "query_declined",
                request=query.request.request_id,
                received_by=query.sender,
                reason=reason.value,
                running_legs=self._context.running_legs,
            )
            link.send(QueryDeclined(query.query_id, reason))
            return
        link.send(QueryAccepted(query.query_id))
        self._start(link, query)

    def _reason_to_decline(self, query: DelegatedQuery) -> DeclineReason | None:
        if self.stopping:
            return DeclineReason.STOPPING
        if not self._gateway.may_run(query):
            return DeclineReason.OTHER_CONFIGURATION
        if self._context.running_legs > self.max_running_legs:
            return DeclineReason.BUSY
        return None

    def _start(self, link: DelegationLink, query: DelegatedQuery) -> None:
        started_ms = self._context.timers.now_ms()
        ended = False

        def done(outcome: RequestOutcome) -> None:
            nonlocal ended
            ended = True
            self._links.get(link, {}).pop(query.query_id, None)
            ran_ms = self._context.timers.now_ms() - started_ms
            link.send(QueryEnded(query.query_id, outcome, ran_ms))

        def request_further(positions: tuple[int, ...]) -> None:
            link.send(FurtherAttemptsRequested(query.query_id, positions))

        run = self._gateway.submit_delegated(query, done, request_further)
        if ended:
            return
        self._links[link][query.query_id] = run
        self._context.timers.call_later(
            query.answer_within_ms, lambda: self._report_running(link, query.query_id)
        )

    def _report_running(self, link: DelegationLink, query_id: int) -> None:
        if query_id not in self._links.get(link, {}):
            return
        link.send(QueryRunning(query_id))
        self._context.timers.call_later(
            RUNNING_PERIOD_MS, lambda: self._report_running(link, query_id)
        )


__all__ = ["DelegatedQueries"]
