"""The work figure that a leaf reports, weighted by how well it fits its answers."""

from __future__ import annotations

import math

SMOOTHING_MS = 300.0
MIN_WORK = 0.3
MAX_WORK = 10.0
TRUST_WEIGHT = 0.2
# A figure without effect on the latency neither gains nor loses trust.
MIN_STATED_CHANGE = 0.1


class WorkPrior:
    """Expected change of the service time, from the figures that the leaf reports."""

    __slots__ = ("_at_ms", "_log_work", "_trust")

    def __init__(self) -> None:
        self._log_work = 0.0
        self._at_ms = -math.inf
        self._trust = 1.0

    def reported(self, work_ratio: float, now_ms: float) -> None:
        """Record a figure: how long work takes, relative to usual."""
        bounded = math.log(min(MAX_WORK, max(MIN_WORK, work_ratio)))
        kept = math.exp(-(now_ms - self._at_ms) / SMOOTHING_MS)
        self._log_work = bounded + kept * (self._log_work - bounded)
        self._at_ms = now_ms

    def compare(self, measured: float, now_ms: float) -> None:
        """Compare the figure with an answer's service time, relative to its usual one.

        Trust rises while the figure explains the time better than no figure does.
        """
        stated = self._log_work
        if now_ms != self._at_ms or abs(stated) < MIN_STATED_CHANGE:
            return
        log_measured = math.log(measured)
        fits = abs(log_measured - stated) < 0.5 * abs(log_measured) + MIN_STATED_CHANGE
        self._trust += TRUST_WEIGHT * ((1.0 if fits else 0.0) - self._trust)

    def factor(self, now_ms: float) -> float:
        """Return the expected service time relative to that without the figure."""
        age_ms = now_ms - self._at_ms
        if age_ms > 4.0 * SMOOTHING_MS or self._trust < MIN_STATED_CHANGE:
            return 1.0
        return math.exp(self._trust * self._log_work * math.exp(-age_ms / SMOOTHING_MS))


__all__ = ["WorkPrior"]
