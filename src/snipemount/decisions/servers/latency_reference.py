"""Median latency of a service's exchanges on warm servers."""

from __future__ import annotations

from ..estimates.quantile import QuantileEstimate

MIN_SAMPLES = 30
# One in this many servers may be marked as slow, but always at least one.
SERVERS_PER_SLOW_ONE = 3
INITIAL_MS = 20.0


class LatencyReference:
    """Median latency over the warm servers of a service that one daemon owns.

    It also limits how many of them may count as cold for slowness alone, so that a
    slowdown of the whole service does not throttle the whole service.

    Attributes
    ----------
    servers : set of str
        Names of the servers of the service that the daemon owns.
    """

    def __init__(self) -> None:
        self._median = QuantileEstimate(0.5, INITIAL_MS)
        self._samples = 0
        self._slow: set[str] = set()
        self.servers: set[str] = set()

    @property
    def median_ms(self) -> float | None:
        """Median latency in milliseconds, or None while there are too few answers."""
        if self._samples < MIN_SAMPLES:
            return None
        return self._median.value_ms

    def add(self, latency_ms: float) -> None:
        """Record the latency of an answer of a warm server."""
        self._samples += 1
        self._median.add(latency_ms)

    def try_mark_slow(self, server: str) -> bool:
        """Mark `server` as cold for slowness, unless too many servers are already.

        Returns
        -------
        bool
            Whether the server was marked.
        """
        if len(self._slow) >= max(1, len(self.servers) // SERVERS_PER_SLOW_ONE):
            return False
        self._slow.add(server)
        return True

    def mark_warm(self, server: str) -> None:
        """Record that `server` no longer counts as cold."""
        self._slow.discard(server)


__all__ = ["LatencyReference"]
