"""How much of a cold leaf's load one daemon may send, so that the sum holds.

The operators' bound counts the requests of all daemons in any second. Each daemon
takes its part (see `shares`).
"""

from __future__ import annotations

from collections import deque

import attrs

SPAN_MS = 1100.0  # a second, and what sends may be delayed against each other


@attrs.frozen
class ColdBound:
    """Bound on a cold leaf's requests, over all daemons.

    Parameters
    ----------
    ratio : float
        Factor on the load that the operators state.
    slack_per_s : float
        Requests a second allowed on top.
    """

    ratio: float
    slack_per_s: float

    def requests_per_s(self, stated_per_s: float) -> int:
        """Return the whole requests that all daemons may send in a second."""
        return int(stated_per_s * self.ratio + self.slack_per_s)


class ColdSends:
    """Sends to one cold leaf within the last second."""

    def __init__(self) -> None:
        self._sent_ms: deque[float] = deque()

    def allows(self, share: int, now_ms: float) -> bool:
        """Return whether one more request fits into the daemon's part."""
        while self._sent_ms and now_ms - self._sent_ms[0] >= SPAN_MS:
            self._sent_ms.popleft()
        return len(self._sent_ms) < share

    def sent(self, now_ms: float) -> None:
        """Count a send."""
        self._sent_ms.append(now_ms)


__all__ = ["ColdBound", "ColdSends"]
