"""What other daemons report of a leaf's capacity."""

from __future__ import annotations

import math

VALID_MS = 2000.0
OWN_PRECEDENCE_MS = 500.0
MAX_FACTOR = 2.0


class SharedEstimate:
    """The latest reported estimates, relative to this daemon's own.

    They decay to nothing, and have no weight while this daemon's own
    observation is recent.
    """

    __slots__ = ("_at_ms", "_limit_factor", "_ratio_factor")

    def __init__(self) -> None:
        self._at_ms = -math.inf
        self._ratio_factor = 1.0
        self._limit_factor = 1.0

    def reported(self, ratio_factor: float, limit_factor: float, now_ms: float) -> None:
        """Record estimates, at most twice or half of this daemon's own."""
        self._ratio_factor = _bounded(ratio_factor)
        self._limit_factor = _bounded(limit_factor)
        self._at_ms = now_ms

    def holds(self, now_ms: float) -> bool:
        """Return whether any report is recent enough to count."""
        return now_ms - self._at_ms < VALID_MS

    def ratio_factor(self, observed_at_ms: float, now_ms: float) -> float:
        """Return by how much the reported service time exceeds the own one."""
        return math.pow(self._ratio_factor, self._weight(observed_at_ms, now_ms))

    def limit_factor(self, observed_at_ms: float, now_ms: float) -> float:
        """Return by how much the reported limit exceeds the own one."""
        return math.pow(self._limit_factor, self._weight(observed_at_ms, now_ms))

    def _weight(self, observed_at_ms: float, now_ms: float) -> float:
        observed_later = observed_at_ms >= self._at_ms
        if observed_later or now_ms - observed_at_ms < OWN_PRECEDENCE_MS:
            return 0.0
        age = (now_ms - self._at_ms) / VALID_MS
        return max(0.0, 1.0 - age * age)


def _bounded(factor: float) -> float:
    return min(MAX_FACTOR, max(1.0 / MAX_FACTOR, factor))


__all__ = ["SharedEstimate"]
