"""What a request asks, and how long it may take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.requests.weighted_round_robin import WeightedRoundRobin
from ..model.configuration import ToAllShards, ToService, ToWeightedServices

if TYPE_CHECKING:
    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest

ANSWER_TRANSIT_MS = 8.0  # for the answer to reach the caller before its deadline


class TargetChoice:
    """Resolves the targets of routes with weights to one service for each request."""

    def __init__(self) -> None:
        self._round_robins: dict[str, WeightedRoundRobin] = {}

    def clear(self) -> None:
        """Forget the routes, as another configuration is in force."""
        self._round_robins.clear()

    def target(self, route: Route) -> ToService | ToAllShards:
        """Return the service or the shards that the next request of a route asks."""
        match route.target:
            case ToWeightedServices() as weighted:
                return ToService(self._next_service(route, weighted))
            case target:
                return target

    def _next_service(self, route: Route, weighted: ToWeightedServices) -> str:
        round_robin = self._round_robins.get(route.name)
        if round_robin is None:
            round_robin = self._round_robins[route.name] = WeightedRoundRobin(
                weighted.parts
            )
        return round_robin.next_service()


def time_left_ms(route: Route, request: ForwardRequest) -> float:
    """Return how long a request may take from its arrival on."""
    if request.deadline_ms is None:
        return route.timeout_ms
    transit_ms = min(ANSWER_TRANSIT_MS, request.deadline_ms / 4.0)
    return min(route.timeout_ms, request.deadline_ms - transit_ms)


__all__ = ["TargetChoice", "time_left_ms"]
