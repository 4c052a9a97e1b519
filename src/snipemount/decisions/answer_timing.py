"""When a second leaf is asked, and when a query stops waiting for shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.configuration import ToAllShards
from .quantile import QuantileEstimate
from .recent_latencies import RecentLatencies

if TYPE_CHECKING:
    from ..model.configuration import Route

USUAL_QUANTILE = 0.5
LATE_QUANTILE = 0.95  # of the legs of a query over few shards
EARLIEST_QUANTILE = 0.86
QUANTILE_PER_SHARD = 0.0012  # the more shards, the surer is a straggler
FEW_SHARDS = 20
FIRST_USUAL_SHARE = 0.2
FIRST_LATE_SHARE = 0.35
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.5
ANSWER_MARGIN_MS = 9.0  # way from and to the caller
LAG_RATIO = 1.5  # the request came late too, and the answer has to be merged
LAG_QUANTILE = 0.9
FIRST_LAG_MS = 0.7


class RouteTiming:
    """Latencies of the legs of one route, and the times that follow from them.

    Parameters
    ----------
    route : Route
        Its target latency sets the first guesses.

    Attributes
    ----------
    usual_ms : float
        Median latency of a leg.
    """

    def __init__(self, route: Route) -> None:
        target_ms = route.latency_objective_ms
        self._late_quantile = late_quantile(route)
        self._latencies = RecentLatencies(
            {self._late_quantile: FIRST_LATE_SHARE * target_ms}
        )
        self._first_usual_ms = FIRST_USUAL_SHARE * target_ms
        self._zones: dict[str, RecentLatencies] = {}
        self.usual_ms = self._first_usual_ms

    def add(self, zone: str, latency_ms: float) -> None:
        """Learn from an answer, or from a leg that was given up after so long.

        What is usual is the median of the fastest zone: where all leafs of the own zone
        are slow, that is not what is usual.
        """
        self._latencies.add(latency_ms)
        known = self._zones.get(zone)
        if known is None:
            first = {USUAL_QUANTILE: self._first_usual_ms}
            known = self._zones[zone] = RecentLatencies(first)
        if known.add(latency_ms):
            told = (seen for seen in self._zones.values() if seen.has_told)
            self.usual_ms = min(seen.value_ms(USUAL_QUANTILE) for seen in told)

    def second_send_ms(self, route: Route) -> float:
        """Return how long after its start a leg is given a second leaf."""
        target_ms = route.latency_objective_ms
        earliest_ms = EARLIEST_SHARE * target_ms
        latest_ms = LATEST_SHARE * target_ms
        late_ms = self._latencies.value_ms(self._late_quantile)
        return min(latest_ms, max(earliest_ms, late_ms))

    @staticmethod
    def answer_ms(route: Route, lag_ms: float) -> float:
        """Return how long after its arrival a query answers with what is in.

        Parameters
        ----------
        route : Route
            Its latency objective.
        lag_ms : float
            How much later than asked for the daemon's timers fire.
        """
        objective_ms = route.latency_objective_ms
        margin_ms = ANSWER_MARGIN_MS + LAG_RATIO * lag_ms
        return max(objective_ms / 2.0, objective_ms - margin_ms)


def late_quantile(route: Route) -> float:
    """Return the share of a route's legs that are not given a second leaf."""
    if not isinstance(route.target, ToAllShards):
        return LATE_QUANTILE
    more = max(0, len(route.target.shards) - FEW_SHARDS)
    return max(EARLIEST_QUANTILE, LATE_QUANTILE - QUANTILE_PER_SHARD * more)


class LoopLag:
    """How late the daemon's timers fire: it is as late with reading and writing."""

    def __init__(self) -> None:
        self._late = QuantileEstimate(LAG_QUANTILE, FIRST_LAG_MS)

    @property
    def value_ms(self) -> float:
        """Lateness that few timers exceed."""
        return self._late.value_ms

    def add(self, lag_ms: float) -> None:
        """Learn from a timer."""
        self._late.add(max(0.0, lag_ms))


__all__ = ["LoopLag", "RouteTiming", "late_quantile"]
