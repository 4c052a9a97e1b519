"""Gateway: routes each request by the configuration in force and starts its run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.query.answer_timing import LAG_FACTOR, RouteTiming
from ..identity.authenticator import Authenticator
from ..model.configuration import CallerLimits, ToAllShards, ToService
from ..model.forwarding import (
    FailureReason,
    RefusalReason,
    RequestFailed,
    RequestRefused,
    Unauthorized,
    UnknownRoute,
)
from ..model.identity import OfOrganisation, Unchecked
from .counted_run import CountedRun
from .delegated_run import DelegatedRequest, DelegatedRun
from .gather_run import GatherRun
from .overload_control import PendingStart
from .request_log import EndedRequest
from .retry_after import RETRY_AFTER_MS
from .routes_in_force import RoutesInForce
from .run import EndedRun, RunTerms
from .single_run import SingleRun
from .target_choice import TargetChoice, time_left_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.requests.route_table import RouteTable
    from ..model.configuration import Configuration, Route, ServiceTraits
    from ..model.delegation import DelegatedQuery
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from .context import ServingContext
    from .coordinator_links import CoordinatorLinks
    from .counted_run import RequestCounter
    from .request_log import RequestLog
    from .run import Run

    Done = Callable[[RequestOutcome], None]
    StartableRun = GatherRun | SingleRun | DelegatedRun

NO_CONFIGURATION_RETRY_AFTER_MS = 500.0


class Gateway:
    """Serves callers' requests under the newest configuration it has received.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    log : RequestLog
        Records the outcome of each request.
    coordinators : CoordinatorLinks or None
        Daemons that queries over all shards are delegated to; None to run all here.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force.
    last_request_ms : float
        Monotonic time of the last request that had a route; -inf before the first.
    shards : frozenset of str
        Services that configured queries ask as shards.
    request_counter : RequestCounter or None
        Counts the requests of organisations; None if they are not counted.
    """

    def __init__(
        self,
        context: ServingContext,
        log: RequestLog,
        coordinators: CoordinatorLinks | None = None,
    ) -> None:
        self._context = context
        self.coordinators = coordinators
        self._log = log
        self._authenticator = Authenticator()
        self._routes = RoutesInForce()
        self._targets = TargetChoice()
        self.configuration: Configuration | None = None
        self.last_request_ms = -math.inf
        self.shards: frozenset[str] = frozenset()
        self.request_counter: RequestCounter | None = None

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' requests; the defaults before the first configuration."""
        configuration = self.configuration
        return CallerLimits() if configuration is None else configuration.limits

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def delegates(self) -> bool:
        """Whether queries over all shards are given to another daemon now."""
        return self.coordinators is not None and self.coordinators.can_delegate

    @property
    def is_isolated(self) -> bool:
        """Whether a zone is cut off and some query cannot be served without it."""
        if self.configuration is None or not self._context.reachability.cut_off_zones():
            return False
        links = self.coordinators
        if links is not None and links.can_delegate and links.reaches_all_zones:
            return False
        targets = (route.target for route in self.configuration.routes)
        queries = (target for target in targets if isinstance(target, ToAllShards))
        return any(not self._context.can_reach(target) for target in queries)

    def traits(self, service: str) -> ServiceTraits | None:
        """Return a service's settings; None if the configuration lacks it."""
        configuration = self.configuration
        return None if configuration is None else configuration.services.get(service)

    def put_in_force(self, configuration: Configuration) -> bool:
        """Put a configuration in force if its version is newer than the current one.

        Returns
        -------
        bool
            Whether it was put in force.
        """
        if configuration.version <= self.version:
            return False
        self._authenticator.put_in_force(configuration.organisations)
        self._routes.replace(
            configuration.version, configuration.routes, self._context.timers.now_ms()
        )
        self.configuration = configuration
        self._targets.clear()
        self.shards = frozenset(
            shard
            for route in configuration.routes
            if isinstance(route.target, ToAllShards)
            for shard in route.target.shards
        )
        return True

    def submit(self, request: ForwardRequest, done: Done) -> Run:
        """Serve a request; `done` gets its outcome, possibly before this returns.

        Returns
        -------
        Run
            Handle that cancels the request.
        """
        routes = self._routes.current
        if routes is None:
            outcome = RequestRefused(
                RefusalReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_MS
            )
            return self._end_immediately(request, outcome, done)
        route = routes.find(request.host, request.path)
        if route is None:
            return self._end_immediately(request, UnknownRoute(), done)
        caller = self._authenticator.identify(route, request.api_key)
        if isinstance(caller, Unauthorized):
            return self._end_immediately(request, caller, done, route)
        request = request.identified(caller)
        started_ms = self._context.timers.now_ms()
        self.last_request_ms = started_ms
        end_ms = started_ms + time_left_ms(route, request)
        target = self._targets.target(route)
        held = self._context.crashes.refusal(request, target)
        if held is not None:
            return self._end_immediately(request, held, done, route, started_ms)

        def start(done: Done) -> Run:
            def make_run(done: Done) -> StartableRun:
                return self._make_run(route, target, request, started_ms, end_ms, done)

            return self._start(route, request, started_ms, done, make_run)

        def admit(done: Done) -> Run:
            if isinstance(target, ToAllShards) and self.delegates:
                return start(done)  # the coordinator decides
            return self._admit(route, target, request, end_ms, start, done)

        caller = request.caller
        if self.request_counter is None or not isinstance(caller, OfOrganisation):
            return admit(done)
        counted = CountedRun(
            self.request_counter, caller.name, self._context.timers, done
        )
        return counted.follow(admit(counted.finish))

    def _admit(
        self,
        route: Route,
        target: ToService | ToAllShards,
        request: ForwardRequest,
        end_ms: float,
        start: Callable[[Done], Run],
        done: Done,
    ) -> Run:
        """Start a request, unless its services are overloaded."""
        overload = self._context.overload
        if overload is None or not overload.is_on:
            return start(done)
        arrived_ms = self._context.timers.now_ms()
        pending = PendingStart(
            start,
            lambda refusal: self._end_immediately(
                request, refusal, done, route, arrived_ms
            ),
            done,
        )
        return overload.submit(route, target, request, end_ms, pending)

    def may_run(self, query: DelegatedQuery) -> bool:
        """Return whether a delegated query fits the configuration in force.

        The identity of its caller is never checked again, but a query whose caller was
        not identified at all does not run where callers need keys.
        """
        unchecked = isinstance(query.request.caller, Unchecked)
        if unchecked and self._authenticator.requires_keys:
            return False
        return self._routes_of(query.version) is not None

    def _routes_of(self, version: int) -> RouteTable | None:
        return self._routes.of_version(version, self._context.timers.now_ms())

    def submit_delegated(
        self,
        query: DelegatedQuery,
        done: Done,
        request_further: Callable[[tuple[int, ...]], None],
    ) -> Run:
        """Run a query that another daemon delegates; `done` gets its outcome.

        Parameters
        ----------
        query : DelegatedQuery
            The query.
        done : Callable
            Called once with the outcome, possibly before this returns.
        request_further : Callable
            Asks that daemon for further attempts at the shards at some positions.

        Returns
        -------
        Run
            Handle that cancels the query.
        """
        request = query.request
        routes = self._routes_of(query.version)
        route = None if routes is None else routes.find(request.host, request.path)
        if route is None or not isinstance(route.target, ToAllShards):
            refusal = RequestRefused(RefusalReason.NO_CONFIGURATION, RETRY_AFTER_MS)
            return self._end_immediately(request, refusal, done)
        now_ms = self._context.timers.now_ms()
        self.last_request_ms = now_ms
        target = route.target
        lag_ms = LAG_FACTOR * self._context.lag.value_ms
        end_ms = now_ms + query.time_left_ms

        def start(done: Done) -> Run:
            waited_ms = self._context.timers.now_ms() - now_ms
            terms = RunTerms(
                end_ms,
                max(0.0, query.answer_within_ms - lag_ms - waited_ms),
                query.earlier_attempts,
                request_further,
            )

            def make_run(done: Done) -> GatherRun:
                return GatherRun(self._context, route, target, request, terms, done)

            return self._start(route, request, now_ms, done, make_run, query.sender)

        if any(query.earlier_attempts):
            return start(done)  # it may have run, so it must not be refused
        held = self._context.crashes.refusal(request, target)
        if held is not None:
            return self._end_immediately(request, held, done, route, now_ms)
        return self._admit(route, target, request, end_ms, start, done)

    def _end_immediately(
        self,
        request: ForwardRequest,
        outcome: RequestOutcome,
        done: Done,
        route: Route | None = None,
        started_ms: float | None = None,
    ) -> Run:
        now_ms = self._context.timers.now_ms()
        elapsed_ms = 0.0 if started_ms is None else now_ms - started_ms
        ended = EndedRequest(request, route, self.version, outcome, elapsed_ms)
        self._log.record(ended, now_ms)
        done(outcome)
        return EndedRun()

    def _start(
        self,
        route: Route,
        request: ForwardRequest,
        arrived_ms: float,
        done: Done,
        make_run: Callable[[Done], StartableRun],
        received_by: str = "",
    ) -> Run:
        version = self.version
        has_ended = False

        def on_ended(outcome: RequestOutcome) -> None:
            nonlocal has_ended
            has_ended = True
            now_ms = self._context.timers.now_ms()
            ended = EndedRequest(
                request,
                route,
                version,
                outcome,
                now_ms - arrived_ms,
                tuple(run.unanswered()),
                run.stages(),
                run.delegations(),
                received_by,
            )
            self._log.record(ended, now_ms)
            done(outcome)

        run = make_run(on_ended)
        try:
            run.start()
        except Exception as error:
            # A fault of the program: what was sent must not run on without a caller.
            run.cancel()
            self._context.logger.error(
                "request_raised", request=request.request_id, error=repr(error)[:200]
            )
            if not has_ended:
                on_ended(RequestFailed(FailureReason.LEAF_LOST))
        return run

    def _make_run(
        self,
        route: Route,
        target: ToService | ToAllShards,
        request: ForwardRequest,
        arrived_ms: float,
        end_ms: float,
        done: Done,
    ) -> StartableRun:
        context = self._context
        match target:
            case ToAllShards():
                return self._make_query(
                    route, target, request, arrived_ms, end_ms, done
                )
            case ToService(service):
                return SingleRun(context, route, service, request, end_ms, done)

    def _make_query(
        self,
        route: Route,
        target: ToAllShards,
        request: ForwardRequest,
        arrived_ms: float,
        end_ms: float,
        done: Done,
    ) -> StartableRun:
        context = self._context
        links = self.coordinators
        if links is None or not links.can_delegate:
            due_ms = RouteTiming.answer_after_ms(route, context.lag.value_ms)
            waited_ms = context.timers.now_ms() - arrived_ms
            terms = RunTerms(end_ms, max(0.0, due_ms - waited_ms))
            return GatherRun(context, route, target, request, terms, done)

        def run_here(terms: RunTerms, done: Callable[[RequestOutcome], None]) -> Run:
            run = GatherRun(context, route, target, request, terms, done)
            run.start()
            return run

        query = DelegatedRequest(
            request, route, target, self.version, arrived_ms, end_ms
        )
        return DelegatedRun(context, links, query, run_here, done)


__all__ = ["Gateway"]
