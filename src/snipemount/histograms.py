"""Latency histograms by service, caller and priority class."""

from __future__ import annotations

from collections import OrderedDict

import attrs
from hdrh.histogram import HdrHistogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MAX_SERIES = 500
US_PER_MS = 1000.0


@attrs.frozen
class Series:
    """Labels of one histogram: service, caller and priority class."""

    service: str
    caller: str
    priority: str


@attrs.frozen
class LatencySummary:
    """Count of answers and latency percentiles of one histogram."""

    series: Series
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Histograms:
    """A bounded set of latency histograms.

    A new series beyond the limit evicts the least recently used one.
    """

    def __init__(self) -> None:
        self._histograms: OrderedDict[Series, HdrHistogram] = OrderedDict()

    def record(self, series: Series, elapsed_ms: float) -> None:
        """Add the latency of one answer to the histogram of its series."""
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
            if len(self._histograms) > MAX_SERIES:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(series)
        histogram.record_value(max(MIN_LATENCY_US, int(elapsed_ms * US_PER_MS)))

    def summaries(self) -> tuple[LatencySummary, ...]:
        """Return a summary of each series, ordered by service and caller."""
        ordered = sorted(self._histograms.items(), key=lambda item: str(item[0]))
        return tuple(self._summary(series, histogram) for series, histogram in ordered)

    @staticmethod
    def _summary(series: Series, histogram: HdrHistogram) -> LatencySummary:
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percent) / US_PER_MS
            for percent in (50.0, 99.0, 99.9)
        )
        return LatencySummary(series, histogram.get_total_count(), p50, p99, p999)


__all__ = ["Histograms", "LatencySummary", "Series"]
