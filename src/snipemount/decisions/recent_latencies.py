"""Quantiles of the latest latencies, from a histogram that forgets."""

from __future__ import annotations

import math

BUCKET_RATIO = 1.06
LOG_RATIO = math.log(BUCKET_RATIO)
SMALLEST_MS = 0.25
BUCKETS = 200
FEW_SAMPLES = 20  # below it the first guess still counts
MEMORY_SAMPLES = 600.0
FRESH_SAMPLES = 50  # after so many the quantiles are worked out anew


class RecentLatencies:
    """Quantiles of the latest latencies, whatever the order in which they come.

    The legs of a query end in order of their latency, a hundred at a time: an estimate
    that each sample moves would end each query too high.

    Parameters
    ----------
    guesses : dict of float to float
        First estimate, in milliseconds, for each quantile that is asked for.
    """

    def __init__(self, guesses: dict[float, float]) -> None:
        self._values_ms = dict(guesses)
        self._counts = [0.0] * BUCKETS
        self._weight = 0.0
        self._unseen = 0
        self._worked_out = False

    def value_ms(self, quantile: float) -> float:
        """Return the estimate of one of the quantiles."""
        return self._values_ms[quantile]

    @property
    def has_told(self) -> bool:
        """Whether the estimates rest on samples."""
        return self._worked_out

    def add(self, sample_ms: float) -> bool:
        """Take a latency, the oldest count less and less; return whether one moved."""
        self._counts[_bucket(sample_ms)] += 1.0
        self._weight += 1.0
        self._unseen += 1
        least = FRESH_SAMPLES if self._worked_out else FEW_SAMPLES
        if self._unseen >= least:
            self._unseen = 0
            self._work_out()
            return True
        return False

    def _work_out(self) -> None:
        if self._weight > MEMORY_SAMPLES:
            keep = MEMORY_SAMPLES / self._weight
            self._counts = [keep * count for count in self._counts]
            self._weight = MEMORY_SAMPLES
        self._worked_out = True
        for quantile in self._values_ms:
            self._values_ms[quantile] = self._quantile_ms(quantile)

    def _quantile_ms(self, quantile: float) -> float:
        left = quantile * self._weight
        for number, count in enumerate(self._counts):
            if count > 0.0 and left <= count:
                return SMALLEST_MS * math.exp(LOG_RATIO * (number + left / count))
            left -= count
        return SMALLEST_MS * math.exp(LOG_RATIO * BUCKETS)


def _bucket(sample_ms: float) -> int:
    if sample_ms <= SMALLEST_MS:
        return 0
    number = int(math.log(sample_ms / SMALLEST_MS) / LOG_RATIO)
    return min(BUCKETS - 1, number)


__all__ = ["RecentLatencies"]
