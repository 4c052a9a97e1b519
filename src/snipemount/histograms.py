"""Latency histograms for each service, caller and priority class."""

from __future__ import annotations

from collections import OrderedDict

import attrs
from hdrh.histogram import HdrHistogram

LEAST_US = 1
LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
MOST_SERIES = 500
US_PER_MS = 1000.0


@attrs.frozen
class Series:
    """What one histogram is kept for."""

    service: str
    caller: str
    priority: str


@attrs.frozen
class Quantiles:
    """Summary of one histogram, in milliseconds."""

    series: Series
    count: int
    p50_ms: float
    p99_ms: float
    p999_ms: float


class Histograms:
    """A bounded set of mergeable histograms; the least used series go first."""

    def __init__(self) -> None:
        self._histograms: OrderedDict[Series, HdrHistogram] = OrderedDict()

    def record(self, series: Series, elapsed_ms: float) -> None:
        """Count one answer."""
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = HdrHistogram(LEAST_US, LONGEST_US, SIGNIFICANT_DIGITS)
            self._histograms[series] = histogram
            if len(self._histograms) > MOST_SERIES:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(series)
        histogram.record_value(max(LEAST_US, int(elapsed_ms * US_PER_MS)))

    def quantiles(self) -> tuple[Quantiles, ...]:
        """Return a summary of each series, in order of service and caller."""
        ordered = sorted(self._histograms.items(), key=lambda item: str(item[0]))
        return tuple(self._summary(series, found) for series, found in ordered)

    @staticmethod
    def _summary(series: Series, histogram: HdrHistogram) -> Quantiles:
        p50, p99, p999 = (
            histogram.get_value_at_percentile(percent) / US_PER_MS
            for percent in (50.0, 99.0, 99.9)
        )
        return Quantiles(series, histogram.get_total_count(), p50, p99, p999)


__all__ = ["Histograms", "Quantiles", "Series"]
