"""Share of its concurrency that a backend server gets during a cold start."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...model.profile import ColdStartLimits
    from .latency_reference import LatencyReference

SLOW_RATIO = 2.0  # latency of a slow answer to the median latency
SLOW_ANSWER_PENALTY = 2  # subtracted from the answer count per slow answer
# A warm server counts as cold when a cumulative sum (CUSUM) of the logarithms of its
# latency ratios, less the drift, exceeds the limit.
SLOWNESS_DRIFT = 0.55
MAX_LOG_RATIO = 1.2
SLOWNESS_SUM_LIMIT = 1.7
SHED_FACTOR = 0.7


class ColdStartGuard:
    """Fraction of full concurrency that a server may get now.

    The fraction falls at once to that of a cold server; it rises step by step, with
    time and fast answers. A new start id, a series of slow answers or a lost server
    count as a cold start, whatever the health endpoint reports.

    Parameters
    ----------
    server : str
        Backend server's name.
    limits : ColdStartLimits
        Initial fraction, growth, and time and answers that each step needs.
    reference : LatencyReference
        Median latency on warm servers of the service.
    cold : bool
        Whether the server starts out cold.
    now_ms : float
        Current time.
    """

    def __init__(
        self,
        server: str,
        limits: ColdStartLimits,
        reference: LatencyReference,
        cold: bool,
        now_ms: float,
    ) -> None:
        self._server = server
        self._limits = limits
        self._reference = reference
        self._start_id: str | None = None
        self._slowness_sum = 0.0
        self._answers = 0
        self._changed_at_ms = now_ms
        self.fraction = limits.initial_fraction if cold else 1.0
        reference.servers.add(server)

    @property
    def cold(self) -> bool:
        """Whether the server gets less than its full concurrency."""
        return self.fraction < 1.0

    def reset_to_cold(self, now_ms: float) -> None:
        """Reset the fraction to that of a cold server."""
        self.fraction = self._limits.initial_fraction
        self._answers = 0
        self._slowness_sum = 0.0
        self._changed_at_ms = now_ms

    def record_start_id(self, start_id: str, now_ms: float) -> None:
        """Record the start id; a changed one counts as a cold start."""
        changed = self._start_id is not None and start_id != self._start_id
        self._start_id = start_id
        if changed:
            self.reset_to_cold(now_ms)

    def record_answer(self, latency_ms: float, now_ms: float) -> None:
        """Raise the fraction on fast answers; reset it on a series of slow ones."""
        median_ms = self._reference.median_ms
        ratio = 1.0 if median_ms is None else latency_ms / median_ms
        if self.cold:
            self._answered_while_cold(ratio, now_ms)
        else:
            self._answered_while_warm(ratio, latency_ms, now_ms)

    def record_shed(self, now_ms: float) -> None:
        """Lower the fraction because the server refused for lack of capacity."""
        lower = self.fraction * SHED_FACTOR
        self.fraction = max(self._limits.initial_fraction, lower)
        self._answers = 0
        self._changed_at_ms = now_ms

    def _answered_while_cold(self, ratio: float, now_ms: float) -> None:
        if ratio <= SLOW_RATIO:
            self._grow(now_ms)
        else:
            self._answers = max(0, self._answers - SLOW_ANSWER_PENALTY)

    def _answered_while_warm(
        self, ratio: float, latency_ms: float, now_ms: float
    ) -> None:
        log_ratio = min(MAX_LOG_RATIO, math.log(max(ratio, 0.01)))
        self._slowness_sum = max(0.0, self._slowness_sum + log_ratio - SLOWNESS_DRIFT)
        if self._slowness_sum > SLOWNESS_SUM_LIMIT:
            if self._reference.try_mark_slow(self._server):
                self.reset_to_cold(now_ms)
                return
            self._slowness_sum = SLOWNESS_SUM_LIMIT
        self._reference.add(latency_ms)

    def _grow(self, now_ms: float) -> None:
        self._answers += 1
        waited = now_ms - self._changed_at_ms >= self._limits.step_ms
        if not waited or self._answers < self._answers_needed():
            return
        self.fraction = min(1.0, self.fraction * self._limits.growth)
        self._answers = 0
        self._changed_at_ms = now_ms
        if not self.cold:
            self._reference.mark_warm(self._server)

    def _answers_needed(self) -> int:
        if self._reference.median_ms is None:
            return self._limits.answers
        return self._limits.proven_answers


__all__ = ["ColdStartGuard"]
