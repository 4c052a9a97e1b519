"""Admission of new queries at the entry daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...model.request import Priority
from .fair_share import FairShare

if TYPE_CHECKING:
    from ...model.profile import QueueLimits
    from ...model.request import Request

LIMIT_FACTOR = {Priority.URGENT: 1.6, Priority.NORMAL: 1.0, Priority.BULK: 0.6}
WAIT_FACTOR = {Priority.URGENT: 1.0, Priority.NORMAL: 0.75, Priority.BULK: 0.4}
# Ratios of a caller's share of the admissions to an even share: its limits are
# multiplied by OVER_SHARE_FACTOR above the upper one, by UNDER_SHARE_FACTOR below the
# lower one.
OVER_SHARE_RATIO = 1.5
UNDER_SHARE_RATIO = 0.75
OVER_SHARE_FACTOR = 0.75
UNDER_SHARE_FACTOR = 1.25
MIN_QUERIES = 1.0  # lower bound of the limit, and headroom above it
UNDER_SHARE_HEADROOM = 3.0
MAX_WAIT_DEADLINE_SHARE = 0.4  # of the time until the deadline
INITIAL_LIMIT = 8.0
MAX_LIMIT = 4096.0
WAIT_SMOOTHING = 0.1
LIMIT_DECREASE_FACTOR = 0.98
LIMIT_INCREASE = 0.2
MIN_LOAD_TO_INCREASE = 0.7  # running queries to the limit


class Admission:
    """Refuses a query before any leg is sent when there is no capacity for it.

    Two limits apply. The expected wait at the chosen servers must be short; and the
    number of running queries must stay under a limit that falls while exchanges wait
    longer than the target and rises while they do not. The second limit doesn't depend
    on reports of the servers' load, which are outdated when other daemons send to the
    same servers. A caller with more than an even share of the recent admissions is
    refused earlier than others.

    Parameters
    ----------
    limits : QueueLimits
        Longest expected wait and target wait.

    Attributes
    ----------
    limit : float
        Limit on the running queries.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._fair_share = FairShare()
        self._running = 0
        self._wait_ms = 0.0
        self.limit = INITIAL_LIMIT

    def admits(self, request: Request, expected_wait_ms: float, now_ms: float) -> bool:
        """Return whether the query may start."""
        factor = self._fairness_factor(request.caller, now_ms)
        max_queries = self.limit * LIMIT_FACTOR[request.priority] * factor
        headroom = UNDER_SHARE_HEADROOM if factor > 1.0 else MIN_QUERIES
        if self._running >= max_queries + headroom:
            return False
        max_wait_ms = min(
            self._limits.admission_wait_ms,
            request.deadline_ms * MAX_WAIT_DEADLINE_SHARE,
        )
        return (
            expected_wait_ms <= max_wait_ms * WAIT_FACTOR[request.priority] * factor**2
        )

    def observe(self, waited_ms: float) -> None:
        """Update the limit by the time that an exchange waited at its owner."""
        self._wait_ms += WAIT_SMOOTHING * (waited_ms - self._wait_ms)
        if self._wait_ms > self._limits.target_wait_ms:
            self.limit = max(MIN_QUERIES, self.limit * LIMIT_DECREASE_FACTOR)
        elif self._running >= self.limit * MIN_LOAD_TO_INCREASE:
            self.limit = min(MAX_LIMIT, self.limit + LIMIT_INCREASE)

    def started(self, caller: str, now_ms: float) -> None:
        """Count a running query of `caller`."""
        self._fair_share.admitted(caller, now_ms)
        self._running += 1

    def ended(self) -> None:
        """Stop counting a query that has ended."""
        self._running -= 1

    def _fairness_factor(self, caller: str, now_ms: float) -> float:
        if not self._fair_share.is_contended(caller, now_ms):
            return 1.0
        ratio = self._fair_share.ratio(caller, now_ms)
        if ratio > OVER_SHARE_RATIO:
            return OVER_SHARE_FACTOR
        return UNDER_SHARE_FACTOR if ratio < UNDER_SHARE_RATIO else 1.0


__all__ = ["Admission"]
