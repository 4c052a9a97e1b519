"""What an exchange of a service takes on a warm server."""

from __future__ import annotations

from .quantile import QuantileEstimate

SAMPLES_TO_TRUST = 30
SLOW_SHARE = 3
INITIAL_MS = 20.0


class LatencyReference:
    """Median over the warm servers that one daemon owns of a service.

    It also bounds how many of them may be taken as cold for slowness alone, so
    that a slowdown of the whole service does not throttle the whole service.
    """

    def __init__(self) -> None:
        self._median = QuantileEstimate(0.5, INITIAL_MS)
        self._samples = 0
        self._slow: set[str] = set()
        self.servers: set[str] = set()

    @property
    def median_ms(self) -> float | None:
        """Median latency, or None while too few answers have come."""
        if self._samples < SAMPLES_TO_TRUST:
            return None
        return self._median.value_ms

    def add(self, latency_ms: float) -> None:
        """Learn from an answer of a warm server."""
        self._samples += 1
        self._median.add(latency_ms)

    def may_call_slow(self, server: str) -> bool:
        """Take `server` as cold for slowness unless too many are already."""
        if len(self._slow) >= max(1, len(self.servers) // SLOW_SHARE):
            return False
        self._slow.add(server)
        return True

    def called_warm(self, server: str) -> None:
        """Note that `server` is no longer taken as cold."""
        self._slow.discard(server)


__all__ = ["LatencyReference"]
