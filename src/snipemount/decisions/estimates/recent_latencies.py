"""Quantiles of recent latencies, from a histogram with decaying counts."""

from __future__ import annotations

import math

BUCKET_RATIO = 1.06
LOG_BUCKET_RATIO = math.log(BUCKET_RATIO)
MIN_BUCKET_MS = 0.25
BUCKET_COUNT = 200
MIN_SAMPLES = 20  # with fewer the initial estimates are used
MAX_WEIGHT = 600.0  # sum of the counts, above which all of them are scaled down
SAMPLES_PER_UPDATE = 50  # between two updates of the quantiles


class RecentLatencies:
    """Quantiles of recent latencies, independent of the order of the samples.

    The legs of a query end in order of their latency, a hundred at a time: an estimate
    that each sample moves (see `QuantileEstimate`) would be too high after each query.

    Parameters
    ----------
    initial_ms : dict of float to float
        Initial estimate, in milliseconds, of each quantile to keep.
    """

    def __init__(self, initial_ms: dict[float, float]) -> None:
        self._values_ms = dict(initial_ms)
        self._counts = [0.0] * BUCKET_COUNT
        self._weight = 0.0
        self._new_samples = 0
        self._has_samples = False

    def value_ms(self, quantile: float) -> float:
        """Return the estimate of one of the quantiles, in milliseconds."""
        return self._values_ms[quantile]

    @property
    def has_samples(self) -> bool:
        """Whether the estimates rest on samples."""
        return self._has_samples

    def add(self, sample_ms: float) -> bool:
        """Record a latency; return whether the quantiles were recomputed."""
        self._counts[_bucket(sample_ms)] += 1.0
        self._weight += 1.0
        self._new_samples += 1
        needed = SAMPLES_PER_UPDATE if self._has_samples else MIN_SAMPLES
        if self._new_samples >= needed:
            self._new_samples = 0
            self._recompute()
            return True
        return False

    def _recompute(self) -> None:
        if self._weight > MAX_WEIGHT:
            keep = MAX_WEIGHT / self._weight
            self._counts = [keep * count for count in self._counts]
            self._weight = MAX_WEIGHT
        self._has_samples = True
        for quantile in self._values_ms:
            self._values_ms[quantile] = self._quantile_ms(quantile)

    def _quantile_ms(self, quantile: float) -> float:
        rank = quantile * self._weight
        for number, count in enumerate(self._counts):
            if count > 0.0 and rank <= count:
                return MIN_BUCKET_MS * math.exp(
                    LOG_BUCKET_RATIO * (number + rank / count)
                )
            rank -= count
        return MIN_BUCKET_MS * math.exp(LOG_BUCKET_RATIO * BUCKET_COUNT)


def _bucket(sample_ms: float) -> int:
    if sample_ms <= MIN_BUCKET_MS:
        return 0
    number = int(math.log(sample_ms / MIN_BUCKET_MS) / LOG_BUCKET_RATIO)
    return min(BUCKET_COUNT - 1, number)


__all__ = ["RecentLatencies"]
