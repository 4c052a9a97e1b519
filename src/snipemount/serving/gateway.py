"""Gateway: routes each request by the configuration in force and starts its run."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.route_table import RouteTable
from ..decisions.weighted_round_robin import WeightedRoundRobin
from ..model.configuration import (
    CallerLimits,
    ToAllShards,
    ToService,
    ToWeightedServices,
)
from ..model.forwarding import RefusalReason, RequestRefused, UnknownRoute
from .gather_run import GatherRun
from .request_log import EndedRequest
from .run import EndedRun
from .single_run import SingleRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Configuration, Route, ServiceTraits
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from .context import ServingContext
    from .request_log import RequestLog
    from .run import Run

ANSWER_TRANSIT_MS = 8.0  # for the answer to reach the caller before its deadline
NO_CONFIGURATION_RETRY_AFTER_MS = 500.0


class Gateway:
    """Serves callers' requests under the newest configuration it has received.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    log : RequestLog
        Records the outcome of each request.

    Attributes
    ----------
    configuration : Configuration or None
        The configuration in force.
    last_request_ms : float
        Monotonic time of the last request that had a route; -inf before the first.
    """

    def __init__(self, context: ServingContext, log: RequestLog) -> None:
        self._context = context
        self._log = log
        self._routes: RouteTable | None = None
        self._round_robins: dict[str, WeightedRoundRobin] = {}
        self.configuration: Configuration | None = None
        self.last_request_ms = -math.inf

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
    def is_isolated(self) -> bool:
        """Whether a zone is cut off and some query cannot be served without it."""
        if self.configuration is None or not self._context.reachability.cut_off_zones():
            return False
        targets = (route.target for route in self.configuration.routes)
        queries = (target for target in targets if isinstance(target, ToAllShards))
        return any(not self._context.can_serve(target) for target in queries)

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
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)
        self._round_robins.clear()
        return True

    def submit(
        self, request: ForwardRequest, done: Callable[[RequestOutcome], None]
    ) -> Run:
        """Serve a request; `done` gets its outcome, possibly before this returns.

        Returns
        -------
        Run
            Handle that cancels the request.
        """
        if self._routes is None:
            outcome = RequestRefused(
                RefusalReason.NO_CONFIGURATION, NO_CONFIGURATION_RETRY_AFTER_MS
            )
            return self._end_immediately(request, outcome, done)
        route = self._routes.find(request.host, request.path)
        if route is None:
            return self._end_immediately(request, UnknownRoute(), done)
        return self._serve(route, request, done)

    def _end_immediately(
        self,
        request: ForwardRequest,
        outcome: RequestOutcome,
        done: Callable[[RequestOutcome], None],
    ) -> Run:
        now_ms = self._context.timers.now_ms()
        self._log.record(EndedRequest(request, None, self.version, outcome), now_ms)
        done(outcome)
        return EndedRun()

    def _serve(
        self,
        route: Route,
        request: ForwardRequest,
        done: Callable[[RequestOutcome], None],
    ) -> Run:
        started_ms = self._context.timers.now_ms()
        self.last_request_ms = started_ms
        version = self.version

        def on_ended(outcome: RequestOutcome) -> None:
            now_ms = self._context.timers.now_ms()
            ended = EndedRequest(
                request,
                route,
                version,
                outcome,
                now_ms - started_ms,
                tuple(run.unanswered()),
                run.stages(),
            )
            self._log.record(ended, now_ms)
            done(outcome)

        run = self._make_run(route, request, started_ms, on_ended)
        run.start()
        return run

    def _make_run(
        self,
        route: Route,
        request: ForwardRequest,
        started_ms: float,
        done: Callable[[RequestOutcome], None],
    ) -> GatherRun | SingleRun:
        context = self._context
        end_ms = started_ms + self._time_left_ms(route, request)
        match route.target:
            case ToAllShards() as target:
                return GatherRun(context, route, target, request, end_ms, done)
            case ToService(service):
                return SingleRun(context, route, service, request, end_ms, done)
            case ToWeightedServices() as weighted:
                service = self._next_weighted_service(route, weighted)
                return SingleRun(context, route, service, request, end_ms, done)

    @staticmethod
    def _time_left_ms(route: Route, request: ForwardRequest) -> float:
        if request.deadline_ms is None:
            return route.timeout_ms
        transit_ms = min(ANSWER_TRANSIT_MS, request.deadline_ms / 4.0)
        return min(route.timeout_ms, request.deadline_ms - transit_ms)

    def _next_weighted_service(self, route: Route, weighted: ToWeightedServices) -> str:
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = WeightedRoundRobin(
                weighted.parts
            )
        return round_robin.next_service()


__all__ = ["Gateway"]
