"""Circuit breaker in front of one backend server."""

from __future__ import annotations

FAILURES_TO_OPEN = 3
FIRST_OPEN_MS = 500.0
LONGEST_OPEN_MS = 10_000.0
MOST_DOUBLINGS = 10


class CircuitBreaker:
    """Refuses a failing server for a while, then lets one exchange try it."""

    def __init__(self) -> None:
        self._failures = 0
        self._openings = 0
        self._open_until_ms = 0.0
        self._trying = False

    def allows(self, now_ms: float) -> bool:
        """Return whether an exchange may be sent now."""
        if self._openings == 0:
            return True
        return now_ms >= self._open_until_ms and not self._trying

    def sent(self) -> None:
        """Note an exchange on its way; after a pause it is the trial."""
        self._trying = self._openings > 0

    def succeeded(self) -> None:
        """Close after a good answer."""
        self._failures = 0
        self._openings = 0
        self._trying = False

    def undecided(self) -> None:
        """Let another exchange try when the trial told nothing."""
        self._trying = False

    def failed(self, certain: bool, now_ms: float) -> None:
        """Open after some failures in a row, or at once when `certain`."""
        self._failures += 1
        self._trying = False
        if not certain and self._openings == 0 and self._failures < FAILURES_TO_OPEN:
            return
        if now_ms < self._open_until_ms:
            return
        pause_ms = FIRST_OPEN_MS * 2.0**self._openings
        self._open_until_ms = now_ms + min(LONGEST_OPEN_MS, pause_ms)
        self._openings = min(self._openings + 1, MOST_DOUBLINGS)


__all__ = ["CircuitBreaker"]
