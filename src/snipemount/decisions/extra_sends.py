"""Budget of second sends to one service, kept by all daemons without talking.

Each daemon stays within the ratio of its own requests and its part of the slack;
so the sums of all daemons stay within the bound, also while some are frozen, cut
off or replaced.
"""

from __future__ import annotations

from collections import deque

import attrs

BUCKETS = 20
RATIO_MARGIN = 0.7  # what was spent before a restart may still count
SLACK_MARGIN = 0.5  # a daemon and its restart may both spend their part in one window


@attrs.frozen
class ExtraSendBound:
    """Bound on second sends over all daemons.

    Parameters
    ----------
    ratio : float
        Second sends for each request.
    slack : float
        Second sends allowed on top, in each window.
    window_ms : float
        Sliding window.
    """

    ratio: float
    slack: float
    window_ms: float


@attrs.define
class Bucket:
    """Counts of a short span of time."""

    number: int
    requests: int = 0
    extra: int = 0


class ExtraSends:
    """Second sends of one daemon to one service.

    Parameters
    ----------
    bound : ExtraSendBound
        Bound over all daemons.
    started_ms : float
        Start of the process; the slack is granted little by little from here, as an
        earlier process of this daemon may have spent it.
    """

    def __init__(self, bound: ExtraSendBound, started_ms: float) -> None:
        self._bound = bound
        self._bucket_ms = bound.window_ms / BUCKETS
        self._started_ms = started_ms
        self._buckets: deque[Bucket] = deque()

    def request(self, now_ms: float) -> None:
        """Count a request for the service."""
        self._bucket(now_ms).requests += 1

    def take(self, daemons: int, now_ms: float, share: float = 1.0) -> bool:
        """Spend one second send; False when this share of the budget is used up."""
        bucket = self._bucket(now_ms)
        # Requests over at most the bound's window, second sends over at least it.
        first = bucket.number - BUCKETS + 1
        requests = sum(b.requests for b in self._buckets if b.number >= first)
        extra = sum(b.extra for b in self._buckets)
        age = min(1.0, (now_ms - self._started_ms) / self._bound.window_ms)
        slack = SLACK_MARGIN * age * self._bound.slack / max(1, daemons)
        allowed = RATIO_MARGIN * self._bound.ratio * requests + slack
        if extra + 1 > share * allowed:
            return False
        bucket.extra += 1
        return True

    def _bucket(self, now_ms: float) -> Bucket:
        number = int(now_ms // self._bucket_ms)
        while self._buckets and self._buckets[0].number < number - BUCKETS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(Bucket(number))
        return self._buckets[-1]


__all__ = ["ExtraSendBound", "ExtraSends"]
