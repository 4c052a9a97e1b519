"""When a second leaf is asked, and when a query stops waiting for shards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .quantile import QuantileEstimate

if TYPE_CHECKING:
    from ..model.configuration import Route

USUAL_QUANTILE = 0.5
LATE_QUANTILE = 0.95
FIRST_USUAL_SHARE = 0.2
FIRST_LATE_SHARE = 0.35
EARLIEST_SHARE = 0.1
LATEST_SHARE = 0.5
ANSWER_MARGIN_MS = 10.0  # way back to the caller and late timers


class RouteTiming:
    """Latencies of the legs of one route, and the times that follow from them.

    Parameters
    ----------
    route : Route
        Its target latency sets the first guesses.
    """

    def __init__(self, route: Route) -> None:
        target_ms = route.latency_objective_ms
        self._usual = QuantileEstimate(USUAL_QUANTILE, FIRST_USUAL_SHARE * target_ms)
        self._late = QuantileEstimate(LATE_QUANTILE, FIRST_LATE_SHARE * target_ms)

    @property
    def usual_ms(self) -> float:
        """Median latency of a leg."""
        return self._usual.value_ms

    def add(self, latency_ms: float) -> None:
        """Learn from an answer."""
        self._usual.add(latency_ms)
        self._late.add(latency_ms)

    def second_send_ms(self, route: Route) -> float:
        """Return how long after its start a leg is given a second leaf."""
        target_ms = route.latency_objective_ms
        earliest_ms = EARLIEST_SHARE * target_ms
        latest_ms = LATEST_SHARE * target_ms
        return min(latest_ms, max(earliest_ms, self._late.value_ms))

    @staticmethod
    def answer_ms(route: Route) -> float:
        """Return how long after its arrival a query answers with what is in."""
        target_ms = route.latency_objective_ms
        return max(target_ms / 2.0, target_ms - ANSWER_MARGIN_MS)


__all__ = ["RouteTiming"]
