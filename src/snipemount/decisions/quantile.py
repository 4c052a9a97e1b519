"""A running estimate of one quantile of a latency."""

from __future__ import annotations

import math

STEP = 0.03
LEAST_MS = 0.1


class QuantileEstimate:
    """Quantile that each sample moves up or down by a fixed ratio.

    Parameters
    ----------
    quantile : float
        Between 0 and 1.
    initial_ms : float
        First estimate, in milliseconds.
    """

    __slots__ = ("_down", "_up", "value_ms")

    def __init__(self, quantile: float, initial_ms: float) -> None:
        self._up = math.exp(STEP * quantile)
        self._down = math.exp(-STEP * (1.0 - quantile))
        self.value_ms = initial_ms

    def add(self, sample_ms: float) -> None:
        """Move the estimate towards the quantile of the samples."""
        factor = self._up if sample_ms > self.value_ms else self._down
        self.value_ms = max(LEAST_MS, self.value_ms * factor)


__all__ = ["QuantileEstimate"]
