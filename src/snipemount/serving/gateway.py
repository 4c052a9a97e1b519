"""Entry of requests: the configuration in force decides where each one goes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.route_table import RouteTable
from ..decisions.weighted_turns import WeightedTurns
from ..model.configuration import (
    CallerLimits,
    ToAllShards,
    ToService,
    ToWeightedServices,
)
from ..model.forwarding import RefusalReason, Refused, UnknownRoute
from .gather_run import GatherRun
from .run import NoRun
from .single_run import SingleRun

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Configuration, Route, ServiceTraits
    from ..model.forwarding import ForwardRequest, Outcome
    from .request_log import RequestLog
    from .run import Run
    from .surroundings import Surroundings

WAY_BACK_MS = 8.0  # an answer has to reach the caller before it gives up
START_RETRY_MS = 500.0


class Gateway:
    """Serves callers under the newest configuration that it has been given.

    Parameters
    ----------
    surroundings : Surroundings
        Shared state.
    log : RequestLog
        Takes the outcomes.
    """

    def __init__(self, surroundings: Surroundings, log: RequestLog) -> None:
        self._around = surroundings
        self._log = log
        self._routes: RouteTable | None = None
        self._turns: dict[str, WeightedTurns] = {}
        self.configuration: Configuration | None = None
        self.used_ms = -math.inf

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers now in force."""
        known = self.configuration
        return CallerLimits() if known is None else known.limits

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self.configuration is None else self.configuration.version

    @property
    def is_isolated(self) -> bool:
        """Whether a zone is cut off and queries cannot be served without it."""
        if self.configuration is None or not self._around.reach.cut_off_zones():
            return False
        targets = (route.target for route in self.configuration.routes)
        queries = (target for target in targets if isinstance(target, ToAllShards))
        return any(not self._around.can_serve(target) for target in queries)

    def traits(self, service: str) -> ServiceTraits | None:
        """Return what the operators state about a service."""
        known = self.configuration
        return None if known is None else known.services.get(service)

    def put_in_force(self, configuration: Configuration) -> bool:
        """Take a configuration unless a newer one is in force."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._routes = RouteTable(configuration.routes)
        self._turns.clear()
        return True

    def submit(self, request: ForwardRequest, done: Callable[[Outcome], None]) -> Run:
        """Serve a request; `done` gets its outcome."""
        if self._routes is None:
            outcome = Refused(RefusalReason.NO_CONFIGURATION, START_RETRY_MS)
            return self._end_at_once(request, outcome, done)
        route = self._routes.find(request.host, request.path)
        if route is None:
            return self._end_at_once(request, UnknownRoute(), done)
        return self._serve(route, request, done)

    def _end_at_once(
        self,
        request: ForwardRequest,
        outcome: Outcome,
        done: Callable[[Outcome], None],
    ) -> Run:
        now_ms = self._around.timers.now_ms()
        self._log.ended(request, None, self.version, outcome, [], 0.0, now_ms)
        done(outcome)
        return NoRun()

    def _serve(
        self, route: Route, request: ForwardRequest, done: Callable[[Outcome], None]
    ) -> Run:
        started_ms = self._around.timers.now_ms()
        self.used_ms = started_ms
        version = self.version

        def ended(outcome: Outcome) -> None:
            now_ms = self._around.timers.now_ms()
            elapsed_ms = now_ms - started_ms
            left_out = run.unanswered()
            self._log.ended(
                request, route, version, outcome, left_out, elapsed_ms, now_ms
            )
            done(outcome)

        run = self._make_run(route, request, started_ms, ended)
        run.start()
        return run

    def _make_run(
        self,
        route: Route,
        request: ForwardRequest,
        started_ms: float,
        done: Callable[[Outcome], None],
    ) -> GatherRun | SingleRun:
        around = self._around
        end_ms = started_ms + self._time_left_ms(route, request)
        match route.target:
            case ToAllShards() as target:
                return GatherRun(around, route, target, request, end_ms, done)
            case ToService(service):
                return SingleRun(around, route, service, request, end_ms, done)
            case ToWeightedServices() as split:
                service = self._turn(route, split)
                return SingleRun(around, route, service, request, end_ms, done)

    @staticmethod
    def _time_left_ms(route: Route, request: ForwardRequest) -> float:
        if request.deadline_ms is None:
            return route.timeout_ms
        way_back_ms = min(WAY_BACK_MS, request.deadline_ms / 4.0)
        return min(route.timeout_ms, request.deadline_ms - way_back_ms)

    def _turn(self, route: Route, split: ToWeightedServices) -> str:
        turns = self._turns.get(route.name)
        if turns is None:
            turns = self._turns[route.name] = WeightedTurns(split.parts)
        return turns.next()


__all__ = ["Gateway"]
