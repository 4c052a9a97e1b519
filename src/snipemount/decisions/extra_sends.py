"""Budget of second sends to one service, kept by all daemons without talking.

Each daemon has a token bucket. A request for the service earns the ratio, time earns
the daemon's part of the slack, and a second send costs one token. Within any window a
daemon spends at most what its bucket held at the start, what its own requests earned,
and what the window earned; the buckets are as small as the slack makes up for. A
restart begins with an empty bucket, so that it cannot spend what an earlier process
has spent already.
"""

from __future__ import annotations

import attrs

MARGIN = 0.95  # sends are delayed against each other on their way
STOCK_SHARE = 0.5  # of a daemon's part of the slack; time earns the rest


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

    @property
    def safe_slack(self) -> float:
        """Slack that the daemons share out among them."""
        return MARGIN * self.slack


class ExtraSends:
    """Second sends of one daemon to one service.

    Parameters
    ----------
    bound : ExtraSendBound
        Bound over all daemons.
    slack : float
        This daemon's part of the bound's safe slack.
    started_ms : float
        Start of the process.
    """

    def __init__(self, bound: ExtraSendBound, slack: float, started_ms: float) -> None:
        self._bound = bound
        self._slack = slack
        self._tokens = 0.0
        self._earned_ms = started_ms

    def share(self, bound: ExtraSendBound, slack: float) -> None:
        """Take another bound, or another part of the slack."""
        self._bound = bound
        self._slack = slack
        self._tokens = min(self._tokens, self._stock)

    def request(self, now_ms: float) -> None:
        """Count a request for the service."""
        self._earn(now_ms)
        earned = MARGIN * self._bound.ratio
        self._tokens = min(self._stock, self._tokens + earned)

    def take(self, now_ms: float, share: float = 1.0) -> bool:
        """Spend one second send; False when this share of the stock is used up."""
        self._earn(now_ms)
        reserve = (1.0 - share) * max(0.0, self._stock - 1.0)
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self, sends: int) -> None:
        """Take back what was spent on second sends that never left."""
        self._tokens = min(self._stock, self._tokens + sends)

    @property
    def _stock(self) -> float:
        """Most tokens the bucket holds; less than one sends nothing."""
        return min(self._slack, max(1.0, STOCK_SHARE * self._slack))

    def _earn(self, now_ms: float) -> None:
        per_ms = (self._slack - self._stock) / self._bound.window_ms
        earned = per_ms * max(0.0, now_ms - self._earned_ms)
        self._earned_ms = now_ms
        self._tokens = min(self._stock, self._tokens + earned)


__all__ = ["ExtraSendBound", "ExtraSends"]
