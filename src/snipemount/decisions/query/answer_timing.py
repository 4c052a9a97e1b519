"""Delay before a hedge, and time at which a query stops waiting for shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...model.configuration import ToAllShards
from ..estimates.quantile import QuantileEstimate
from ..estimates.recent_latencies import RecentLatencies

if TYPE_CHECKING:
    from ...model.configuration import Route

TYPICAL_QUANTILE = 0.5
HEDGE_QUANTILE = 0.95  # for queries over at most SHARDS_AT_HEDGE_QUANTILE shards
MIN_HEDGE_QUANTILE = 0.86
# With more shards a query is more likely to have a slow leg, so it hedges earlier.
QUANTILE_DROP_PER_SHARD = 0.0012
SHARDS_AT_HEDGE_QUANTILE = 20
# Shares of the latency objective.
INITIAL_TYPICAL_SHARE = 0.2
INITIAL_HEDGE_SHARE = 0.35
MIN_HEDGE_DELAY_SHARE = 0.1
MAX_HEDGE_DELAY_SHARE = 0.5
ANSWER_MARGIN_MS = 9.0  # transit time from and to the caller
# More than 1: the lag also delays reading the request and merging the answer.
LAG_FACTOR = 1.5
LAG_QUANTILE = 0.9
INITIAL_LAG_MS = 0.7


class RouteTiming:
    """Latencies of the attempts on one route, and the delays derived from them.

    Parameters
    ----------
    route : Route
        Its latency objective sets the initial estimates.

    Attributes
    ----------
    typical_ms : float
        Typical latency: median latency of a leg in the fastest zone.
    """

    def __init__(self, route: Route) -> None:
        objective_ms = route.latency_objective_ms
        self._hedge_quantile = hedge_delay_quantile(route)
        self._latencies = RecentLatencies(
            {self._hedge_quantile: INITIAL_HEDGE_SHARE * objective_ms}
        )
        self._initial_typical_ms = INITIAL_TYPICAL_SHARE * objective_ms
        self._zones: dict[str, RecentLatencies] = {}
        self.typical_ms = self._initial_typical_ms

    def add(self, zone: str, latency_ms: float) -> None:
        """Record the latency of an attempt, and update the typical latency.

        The typical latency is the median of the fastest zone, so that it doesn't rise
        when all leafs of the daemon's own zone are slow.

        Parameters
        ----------
        zone : str
            Availability zone of the leaf.
        latency_ms : float
            Time until the answer, or until an attempt without an answer was cancelled.
        """
        self._latencies.add(latency_ms)
        latencies = self._zones.get(zone)
        if latencies is None:
            initial = {TYPICAL_QUANTILE: self._initial_typical_ms}
            latencies = self._zones[zone] = RecentLatencies(initial)
        if latencies.add(latency_ms):
            sampled = (known for known in self._zones.values() if known.has_samples)
            self.typical_ms = min(known.value_ms(TYPICAL_QUANTILE) for known in sampled)

    def hedge_delay_ms(self, route: Route) -> float:
        """Return the delay in milliseconds after which a leg is hedged."""
        objective_ms = route.latency_objective_ms
        min_delay_ms = MIN_HEDGE_DELAY_SHARE * objective_ms
        max_delay_ms = MAX_HEDGE_DELAY_SHARE * objective_ms
        delay_ms = self._latencies.value_ms(self._hedge_quantile)
        return min(max_delay_ms, max(min_delay_ms, delay_ms))

    @staticmethod
    def answer_after_ms(route: Route, lag_ms: float) -> float:
        """Return how long a query waits for all shards, in milliseconds.

        After this time it answers with the parts received, once they suffice.

        Parameters
        ----------
        route : Route
            Route whose latency objective the answer should meet.
        lag_ms : float
            How late the daemon's timers fire.
        """
        objective_ms = route.latency_objective_ms
        margin_ms = ANSWER_MARGIN_MS + LAG_FACTOR * lag_ms
        return max(objective_ms / 2.0, objective_ms - margin_ms)


def hedge_delay_quantile(route: Route) -> float:
    """Return the latency quantile of a route's legs after which a leg is hedged.

    It falls with the number of shards.
    """
    if not isinstance(route.target, ToAllShards):
        return HEDGE_QUANTILE
    excess_shards = max(0, len(route.target.shards) - SHARDS_AT_HEDGE_QUANTILE)
    return max(
        MIN_HEDGE_QUANTILE, HEDGE_QUANTILE - QUANTILE_DROP_PER_SHARD * excess_shards
    )


class LoopLag:
    """Lag of the daemon's timers, which delays its reads and writes as much."""

    def __init__(self) -> None:
        self._estimate = QuantileEstimate(LAG_QUANTILE, INITIAL_LAG_MS)

    @property
    def value_ms(self) -> float:
        """Lag in milliseconds that a timer exceeds only rarely."""
        return self._estimate.value_ms

    def add(self, lag_ms: float) -> None:
        """Record how late a timer fired, in milliseconds."""
        self._estimate.add(max(0.0, lag_ms))


__all__ = ["LoopLag", "RouteTiming", "hedge_delay_quantile"]
