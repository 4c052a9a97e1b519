"""Admission of new queries at the entry daemon."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from ..model.request import Priority

if TYPE_CHECKING:
    from ..model.profile import QueueLimits
    from ..model.request import Request

PRIORITY_SHARE = {Priority.URGENT: 1.0, Priority.NORMAL: 0.75, Priority.BULK: 0.4}
OVER_FAIR_SHARE = 0.5
DEADLINE_SHARE = 0.4


class Admission:
    """Refuses a query before any leg is sent when the wait would be too long.

    A caller that has more than an even share of the running queries is refused
    at half the wait, so that a flood of one caller leaves room for the others.

    Parameters
    ----------
    limits : QueueLimits
        Longest expected wait.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._running: Counter[str] = Counter()
        self._total = 0

    def admits(self, request: Request, expected_wait_ms: float) -> bool:
        """Return whether the query may start."""
        most_ms = min(
            self._limits.admission_wait_ms, request.deadline_ms * DEADLINE_SHARE
        )
        most_ms *= PRIORITY_SHARE[request.priority]
        if self._over_fair_share(request.caller):
            most_ms *= OVER_FAIR_SHARE
        return expected_wait_ms <= most_ms

    def started(self, caller: str) -> None:
        """Count a running query of `caller`."""
        self._running[caller] += 1
        self._total += 1

    def ended(self, caller: str) -> None:
        """Stop counting a query of `caller`."""
        self._total -= 1
        self._running[caller] -= 1
        if self._running[caller] <= 0:
            del self._running[caller]

    def _over_fair_share(self, caller: str) -> bool:
        callers = len(self._running)
        if callers < 2:
            return False
        return self._running[caller] * callers > self._total


__all__ = ["Admission"]
