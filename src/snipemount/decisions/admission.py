"""Admission of new queries at the entry daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.request import Priority
from .fair_share import FairShare

if TYPE_CHECKING:
    from ..model.profile import QueueLimits
    from ..model.request import Request

PRIORITY_SHARE = {Priority.URGENT: 1.6, Priority.NORMAL: 1.0, Priority.BULK: 0.6}
WAIT_SHARE = {Priority.URGENT: 1.0, Priority.NORMAL: 0.75, Priority.BULK: 0.4}
OVER_RATIO = 1.5
UNDER_RATIO = 0.75
OVER_FAIR_SHARE = 0.75
UNDER_FAIR_SHARE = 1.25
ALWAYS_ADMITTED = 1.0
HEADROOM_UNDER = 3.0
DEADLINE_SHARE = 0.4
INITIAL_LIMIT = 8.0
MOST_LIMIT = 4096.0
WAIT_SMOOTHING = 0.1
DECREASE = 0.98
INCREASE = 0.2
BUSY_SHARE = 0.7


class Admission:
    """Refuses a query before any leg is sent when there is no room for it.

    Two limits hold. The expected wait at the chosen servers must be short; and
    the number of running queries must stay under a limit that falls while
    exchanges wait longer than the target and climbs while they do not. The
    second one needs no fresh knowledge of the servers, which the other daemons
    are filling at the same time. A caller that has had more than an even
    share of late is refused earlier than the others.

    Parameters
    ----------
    limits : QueueLimits
        Longest expected wait and target wait.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._fair_share = FairShare()
        self._total = 0
        self._wait_ms = 0.0
        self.limit = INITIAL_LIMIT

    def admits(self, request: Request, expected_wait_ms: float, now_ms: float) -> bool:
        """Return whether the query may start."""
        share = self._share(request.caller, now_ms)
        most = self.limit * PRIORITY_SHARE[request.priority] * share
        headroom = HEADROOM_UNDER if share > 1.0 else ALWAYS_ADMITTED
        if self._total >= most + headroom:
            return False
        most_ms = min(
            self._limits.admission_wait_ms, request.deadline_ms * DEADLINE_SHARE
        )
        return expected_wait_ms <= most_ms * WAIT_SHARE[request.priority] * share**2

    def observe(self, waited_ms: float) -> None:
        """Learn how long an exchange waited at its owner."""
        self._wait_ms += WAIT_SMOOTHING * (waited_ms - self._wait_ms)
        if self._wait_ms > self._limits.target_wait_ms:
            self.limit = max(ALWAYS_ADMITTED, self.limit * DECREASE)
        elif self._total >= self.limit * BUSY_SHARE:
            self.limit = min(MOST_LIMIT, self.limit + INCREASE)

    def started(self, caller: str, now_ms: float) -> None:
        """Count a running query of `caller`."""
        self._fair_share.admitted(caller, now_ms)
        self._total += 1

    def ended(self) -> None:
        """Stop counting a query."""
        self._total -= 1

    def _share(self, caller: str, now_ms: float) -> float:
        if not self._fair_share.is_contended(caller, now_ms):
            return 1.0
        ratio = self._fair_share.ratio(caller, now_ms)
        if ratio > OVER_RATIO:
            return OVER_FAIR_SHARE
        return UNDER_FAIR_SHARE if ratio < UNDER_RATIO else 1.0


__all__ = ["Admission"]
