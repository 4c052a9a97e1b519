"""Circuit breaker in front of one backend server."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
FIRST_OPEN_MS = 500.0
MAX_OPEN_MS = 10_000.0
MAX_DOUBLINGS = 10


class CircuitBreaker:
    """Refuses exchanges for a server that fails; after a pause one exchange probes it.

    The pause doubles with each probe that fails.
    """

    def __init__(self) -> None:
        self._failures = 0
        self._openings = 0
        self._open_until_ms = 0.0
        self._probing = False

    def allows(self, now_ms: float) -> bool:
        """Return whether an exchange may be sent now."""
        if self._openings == 0:
            return True
        return now_ms >= self._open_until_ms and not self._probing

    def sent(self) -> None:
        """Record the start of an exchange; it is the probe if the breaker was open."""
        self._probing = self._openings > 0

    def succeeded(self) -> None:
        """Close the breaker after a successful exchange."""
        self._failures = 0
        self._openings = 0
        self._probing = False

    def probe_inconclusive(self) -> None:
        """Allow another probe after an exchange that neither succeeded nor failed."""
        self._probing = False

    def failed(self, certain: bool, now_ms: float) -> None:
        """Record a failure; open the breaker after some in a row.

        Parameters
        ----------
        certain : bool
            Whether this failure alone shows that the server is unusable; it opens the
            breaker at once then.
        now_ms : float
            Current time.
        """
        self._failures += 1
        self._probing = False
        if not certain and self._openings == 0 and self._failures < FAILURES_TO_OPEN:
            return
        if now_ms < self._open_until_ms:
            return
        pause_ms = FIRST_OPEN_MS * 2.0**self._openings
        self._open_until_ms = now_ms + min(MAX_OPEN_MS, pause_ms)
        self._openings = min(self._openings + 1, MAX_DOUBLINGS)


__all__ = ["CircuitBreaker"]
