"""Limit on the requests that one daemon sends to a cold leaf.

The operators' limit counts the requests of all daemons in any second. Each daemon
keeps to its share of the limit (see `shares`), so that the sum stays within it.
"""

from __future__ import annotations

from collections import deque

import attrs

# One second, plus the largest difference between transit delays of attempts.
WINDOW_MS = 1100.0


@attrs.frozen
class ColdLimit:
    """Limit on the requests of all daemons to a cold leaf.

    Parameters
    ----------
    ratio : float
        Factor by which the load stated by the operators is multiplied.
    slack_per_s : float
        Requests per second allowed in addition.
    """

    ratio: float
    slack_per_s: float

    def requests_per_s(self, stated_per_s: float) -> int:
        """Return the requests per second of all daemons, rounded down."""
        return int(stated_per_s * self.ratio + self.slack_per_s)


class ColdAttempts:
    """Sliding window of this daemon's attempts at one cold leaf."""

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque()

    def allows(self, share: int, now_ms: float) -> bool:
        """Return whether another attempt stays within the daemon's share."""
        while self._sent_ms and now_ms - self._sent_ms[0] >= WINDOW_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) < share

    def record(self, now_ms: float) -> None:
        """Record an attempt."""
        self._sent_ms.append(now_ms)


__all__ = ["ColdAttempts", "ColdLimit"]
