"""Running estimate of one quantile of a latency."""

from __future__ import annotations

import math

STEP = 0.03  # relative step size
MIN_MS = 0.1


class QuantileEstimate:
    """Estimate of a quantile that each sample raises or lowers by a fixed factor.

    Parameters
    ----------
    quantile : float
        Quantile to estimate, between 0 and 1.
    initial_ms : float
        Initial estimate, in milliseconds.

    Attributes
    ----------
    value_ms : float
        Current estimate, in milliseconds.
    """

    __slots__ = ("_down", "_up", "value_ms")

    def __init__(self, quantile: float, initial_ms: float) -> None:
        self._up = math.exp(STEP * quantile)
        self._down = math.exp(-STEP * (1.0 - quantile))
        self.value_ms = initial_ms

    def add(self, sample_ms: float) -> None:
        """Update the estimate by one sample."""
        factor = self._up if sample_ms > self.value_ms else self._down
        self.value_ms = max(MIN_MS, self.value_ms * factor)


__all__ = ["QuantileEstimate"]
