"""Limit on requests that a leaf states for all daemons together.

Each daemon keeps to its share, so that the sum stays within the limit without
coordination. A limit is split as a burst: daemons whose share of the burst is at least
one request get that part of the rate too. The others ask the leaf rarely, in turn, to
learn whether it still states the limit.
"""

from __future__ import annotations

import attrs

from ..estimates.token_bucket import TokenBucket

MS_PER_S = 1000.0
# Requests that all daemons may send at once after a pause: those of one second, and
# some more, so that daemons have a share of a small limit too.
BURST_S = 1.0
BURST_REQUESTS = 3.0
# Between two requests of daemons without a share, over all of them.
RECHECK_SPACING_MS = 2000.0


def burst_of(per_s: float) -> float:
    """Return the requests that all daemons together may send at once."""
    return BURST_S * per_s + BURST_REQUESTS


@attrs.frozen
class LeafLimitShare:
    """One daemon's part of a limit.

    Parameters
    ----------
    burst : float
        Requests that it may send at once; below one it has no share.
    daemons : int
        Number of daemons that may ask the leaf.
    phase : float
        Its place among them, from 0 to 1.
    """

    burst: float
    daemons: int
    phase: float

    @property
    def recheck_period_ms(self) -> float:
        """Time between two requests of this daemon if it has no share."""
        return self.daemons * RECHECK_SPACING_MS


class LeafLimit:
    """Keeps this daemon within its share of the limit that one leaf states.

    Parameters
    ----------
    per_s : float
        Requests per second that the leaf takes from all daemons.
    share : LeafLimitShare
        This daemon's part of the burst.
    now_ms : float
        Current time.

    Attributes
    ----------
    per_s : float
        Requests per second that the leaf takes from all daemons.
    """

    def __init__(self, per_s: float, share: LeafLimitShare, now_ms: float) -> None:
        self.per_s = per_s
        self._share = share
        self._bucket = TokenBucket(share.burst, self._rate_per_ms, now_ms)
        self._recheck_at_ms = now_ms + (0.5 + share.phase) * share.recheck_period_ms

    def update(self, per_s: float, share: LeafLimitShare, now_ms: float) -> None:
        """Apply another limit or another share."""
        self.per_s = per_s
        self._share = share
        self._bucket.resize(share.burst, self._rate_per_ms, now_ms)

    def ms_until_allowed(self, now_ms: float) -> float:
        """Return the time until a request may be sent, in milliseconds."""
        if self._has_share:
            return self._bucket.ms_until(1.0, now_ms)
        return max(0.0, self._recheck_at_ms - now_ms)

    def spend(self, now_ms: float) -> None:
        """Count a request that is sent."""
        self._bucket.spend(1.0)
        self._recheck_at_ms = now_ms + self._share.recheck_period_ms

    def refund(self) -> None:
        """Take back the count of a request that did not reach the leaf."""
        self._bucket.add(1.0)

    @property
    def _has_share(self) -> bool:
        return self._share.burst >= 1.0 and self.per_s > 0.0

    @property
    def _rate_per_ms(self) -> float:
        part = self._share.burst / burst_of(self.per_s)
        return part * self.per_s / MS_PER_S


__all__ = ["LeafLimit", "LeafLimitShare", "burst_of"]
