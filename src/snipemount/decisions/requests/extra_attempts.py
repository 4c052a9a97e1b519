"""Budget of extra attempts to one service, enforced without coordination.

Each daemon has a token bucket. A request for the service adds the ratio, time adds
the daemon's share of the slack, and an extra attempt costs one token. Within any
window a daemon spends at most what its bucket held at the start, what its own
requests added, and what time added; the bucket's capacity and what time adds in a
window together don't exceed the daemon's share of the slack. A process starts with an
empty bucket, so that it can't spend again what the process before it has spent.
"""

from __future__ import annotations

import attrs

from ..estimates.token_bucket import TokenBucket

# Transit delays differ, so more attempts may arrive in a window than left in one.
TRANSIT_MARGIN = 0.95
# Share of a daemon's slack that is the bucket's capacity; time adds the rest.
CAPACITY_SHARE = 0.5


@attrs.frozen
class ExtraAttemptLimit:
    """Limit on the extra attempts of all daemons to one service.

    Parameters
    ----------
    ratio : float
        Extra attempts per request.
    slack : float
        Extra attempts allowed in addition, in each window.
    window_ms : float
        Length of the sliding window.
    """

    ratio: float
    slack: float
    window_ms: float

    @property
    def shared_slack(self) -> float:
        """Slack that is divided among the daemons, reduced by a safety margin."""
        return TRANSIT_MARGIN * self.slack


class ExtraAttemptBudget:
    """Token bucket for the extra attempts of one daemon to one service.

    Parameters
    ----------
    limit : ExtraAttemptLimit
        Limit over all daemons.
    slack : float
        This daemon's share of the limit's shared slack.
    started_ms : float
        Time at which the process started.
    """

    def __init__(
        self, limit: ExtraAttemptLimit, slack: float, started_ms: float
    ) -> None:
        self._limit = limit
        self._slack = slack
        self._bucket = TokenBucket(self._capacity, self._added_per_ms, started_ms)

    def set_limit(self, limit: ExtraAttemptLimit, slack: float, now_ms: float) -> None:
        """Replace the limit and the share of the slack."""
        self._limit = limit
        self._slack = slack
        self._bucket.resize(self._capacity, self._added_per_ms, now_ms)

    def add_request(self, now_ms: float) -> None:
        """Add the tokens for one request to the service."""
        self._bucket.available(now_ms)
        self._bucket.add(TRANSIT_MARGIN * self._limit.ratio)

    def try_spend(self, now_ms: float, share: float = 1.0) -> bool:
        """Spend the token of one extra attempt.

        Parameters
        ----------
        now_ms : float
            Current time.
        share : float
            Share of the bucket that this kind of attempt may use; the rest is reserved.

        Returns
        -------
        bool
            False when too few tokens are left; none is spent then.
        """
        reserve = (1.0 - share) * max(0.0, self._capacity - 1.0)
        if self._bucket.available(now_ms) < 1.0 + reserve:
            return False
        self._bucket.spend(1.0)
        return True

    def refund(self, attempts: int) -> None:
        """Refund the tokens of extra attempts that were never sent."""
        self._bucket.add(attempts)

    @property
    def _capacity(self) -> float:
        """Capacity in tokens; below one no extra attempt is possible."""
        return min(self._slack, max(1.0, CAPACITY_SHARE * self._slack))

    @property
    def _added_per_ms(self) -> float:
        """Tokens that time adds per millisecond."""
        return (self._slack - self._capacity) / self._limit.window_ms


__all__ = ["ExtraAttemptBudget", "ExtraAttemptLimit"]
