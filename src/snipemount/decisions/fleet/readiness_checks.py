"""When the platform's balancer moves callers away from a daemon that is not ready."""

from __future__ import annotations

CHECK_PERIOD_MS = 1000.0
MISSES_UNTIL_MOVED = 2  # failed checks in a row


class ReadinessChecks:
    """Results of the balancer's readiness checks, as this daemon gave them."""

    def __init__(self) -> None:
        self._misses = 0
        self._checked_ms: float | None = None

    def note(self, ready: bool, now_ms: float) -> None:
        """Record the result of a check."""
        self._misses = 0 if ready else self._misses + 1
        self._checked_ms = now_ms

    def ms_until_moved(self, now_ms: float) -> float:
        """Return how long a daemon that is not ready still gets new callers.

        Parameters
        ----------
        now_ms : float
            Current time.

        Returns
        -------
        float
            Milliseconds until the balancer has found it not ready often enough; 0 when
            it has, or when there are no checks.
        """
        misses_left = MISSES_UNTIL_MOVED - self._misses
        if misses_left <= 0 or self._checked_ms is None:
            return 0.0
        until_next_ms = max(0.0, self._checked_ms + CHECK_PERIOD_MS - now_ms)
        return until_next_ms + (misses_left - 1) * CHECK_PERIOD_MS


__all__ = ["ReadinessChecks"]
