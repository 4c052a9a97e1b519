"""Speed and concurrency limit of one start of a leaf, as learnt by one daemon.

A sample is the latency of an answer relative to the route's typical latency, with the
number of requests that the leaf reported in that answer. The limit follows Little's
law, like TCP Vegas: usual latency x requests / latency is the concurrency at which the
leaf works without slowing down.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .shared_estimate import SharedEstimate
from .work_prior import WorkPrior

if TYPE_CHECKING:
    from ..model.forwarding import LoadReport

MIN_RATIO = 0.3
MAX_RATIO = 30.0
# Weights of a sample. Waiting only ever lengthens an answer, so low samples weigh more.
FALL_WEIGHT = 0.5
RISE_WEIGHT = 0.15
USUAL_FALL_WEIGHT = 0.15
USUAL_RISE_WEIGHT = 0.06
MAX_USUAL_RISE = 1.6  # a pause must not pass as the usual speed
CONFIRMED_RISE_WEIGHT = 0.15
MAX_CONFIRMED_RISE = 3.0
# Without answers the usual speed is forgotten: a leaf that was slow is used again.
USUAL_HELD_MS = 1000.0
USUAL_DECAY_MS = 20_000.0
MAX_USUAL = 2.5  # slow enough to be avoided; more would only be forgotten later
# A slow sample may be a pause of a quarter of a second; each one in a row that was sent
# after the one before had ended makes a longer slowness more likely.
SLOW_RATIO = 2.5
RECENT_DECAY_MS = 2000.0
NO_RECENT_AFTER = 5.0  # multiples of the decay time; the weight is then under 1 %
MAX_SLOW_IN_A_ROW = 2
LIMIT_WEIGHT = 0.2
LIMIT_HEADROOM = 1.15  # latencies scatter
# Beyond it, for each request, the leaf is slow or paused whatever its load.
MAX_SLOWDOWN = 1.5
LIMIT_RECOVERY_MS = 8000.0
MAX_QUEUEING = 8.0
# A daemon gets a report of each leaf about once a second.
REPORTED_LOAD_DECAY_MS = 120.0
MEAN_LOAD_WEIGHT = 0.25
MEAN_LOAD_DECAY_MS = 1500.0
MAX_COUNTED_LOAD = 64.0
# Beyond these ages the last report, and the mean, have next to no weight.
NO_LAST_LOAD_AFTER_MS = 480.0
NO_LOAD_AFTER_MS = 6000.0
# Cost of a leaf at its limit: busy leafs finish later on average than free ones.
BUSY_COST = 0.25
CHANGED_FACTOR = 1.2
REPEAT_MS = 1000.0  # what was shared has then lost a quarter of its weight


class LeafCapacity:
    """Estimates the service time and the concurrency limit of a leaf.

    Parameters
    ----------
    slots : int
        Maximum number of requests that the leaf runs at the same time.
    now_ms : float
        Current time.

    Attributes
    ----------
    slots : int
        Upper bound of the limit.
    unshared : bool
        Whether an answer was observed since the last `take_changed`.
    """

    __slots__ = (
        "_last_shared_at_ms",
        "_last_shared_limit",
        "_last_shared_ratio",
        "_limit",
        "_limit_at_ms",
        "_mean_load",
        "_observed_at_ms",
        "_prior",
        "_recent",
        "_recent_decay_ms",
        "_reported_at_ms",
        "_reported_load",
        "_sent_since_report",
        "_shared",
        "_slow_in_a_row",
        "_slow_until_ms",
        "_usual",
        "slots",
        "unshared",
    )

    def __init__(self, slots: int, now_ms: float) -> None:
        self.slots = max(1, slots)
        self.unshared = False
        self._usual = 1.0
        self._recent = 1.0
        self._recent_decay_ms = RECENT_DECAY_MS
        self._observed_at_ms = -math.inf
        self._slow_in_a_row = 0
        self._slow_until_ms = -math.inf
        self._limit = float(self.slots)
        self._limit_at_ms = now_ms
        self._reported_load = 0.0
        self._reported_at_ms = -math.inf
        self._mean_load = 0.0
        self._sent_since_report = 0
        self._prior = WorkPrior()
        self._shared = SharedEstimate()
        self._last_shared_at_ms = -math.inf
        self._last_shared_ratio = 1.0
        self._last_shared_limit = float(self.slots)

    def sent(self) -> None:
        """Record the start of an attempt."""
        self._sent_since_report += 1

    def load_reported(self, load: LoadReport, now_ms: float) -> None:
        """Record a load report, excluding the request reported on."""
        others = float(max(0, load.running + load.waiting - 1))
        self._reported_load = min(MAX_COUNTED_LOAD, others)
        known = self._mean_load_at(now_ms)
        self._mean_load = known + MEAN_LOAD_WEIGHT * (self._reported_load - known)
        self._reported_at_ms = now_ms
        self._sent_since_report = 0
        if load.work_ratio is not None:
            self._prior.reported(load.work_ratio, now_ms)

    def answered(self, ratio: float, sent_ms: float, now_ms: float) -> None:
        """Record an answer, after the load that it reports.

        Parameters
        ----------
        ratio : float
            Its latency relative to the typical latency.
        sent_ms : float
            When the attempt was sent.
        now_ms : float
            Current time.
        """
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        self._settle_usual(now_ms)
        requests = 1.0
        if self._reported_at_ms == now_ms:
            requests += self._reported_load
        limit = self._own_limit(now_ms)
        queueing = min(MAX_QUEUEING, max(1.0, requests / limit))
        sample = max(MIN_RATIO, ratio / queueing)
        if requests >= 2.0 and ratio <= MAX_SLOWDOWN * requests * self._usual:
            self._update_limit(limit, requests / ratio, now_ms)
        self._prior.compare(sample / self._usual, now_ms)
        self._update_recent(sample, queueing > 1.0, sent_ms, now_ms)
        if queueing == 1.0:
            self._update_usual(sample)
        self.unshared = True

    def cancelled(self, ratio: float, sent_ms: float, now_ms: float) -> None:
        """Record a cancelled attempt, whose age is a lower bound of its latency."""
        if ratio > max(1.0, self.service_ratio(now_ms)):
            bounded = min(MAX_RATIO, ratio)
            self._settle_usual(now_ms)
            self._update_recent(bounded, False, sent_ms, now_ms)
            self.unshared = True

    def estimate_reported(self, ratio: float, limit: float, now_ms: float) -> None:
        """Merge the estimates of another daemon."""
        own_ratio = self._own_ratio(now_ms)
        self._shared.reported(
            ratio / own_ratio, limit / self._own_limit(now_ms), now_ms
        )

    def take_changed(self, now_ms: float) -> tuple[float, float] | None:
        """Return service ratio and limit if one changed by a fifth since the last time.

        They are what this daemon observed itself.
        """
        self.unshared = False
        ratio, limit = self._own_ratio(now_ms), self._own_limit(now_ms)
        last_ratio, last_limit = self._last_shared_ratio, self._last_shared_limit
        if now_ms - self._last_shared_at_ms > REPEAT_MS:
            last_ratio, last_limit = self._usual, float(self.slots)
        if not (_changed(ratio, last_ratio) or _changed(limit, last_limit)):
            return None
        self._last_shared_ratio, self._last_shared_limit = ratio, limit
        self._last_shared_at_ms = now_ms
        return ratio, limit

    def service_ratio(self, now_ms: float) -> float:
        """Return the expected service time relative to the typical latency."""
        ratio = self._own_ratio(now_ms) * self._prior.factor(now_ms)
        if self._shared.holds(now_ms):
            ratio *= self._shared.ratio_factor(self._observed_at_ms, now_ms)
        return ratio

    def limit(self, now_ms: float) -> float:
        """Return how many requests the leaf handles well at a time, 1 to its slots."""
        limit = self._own_limit(now_ms)
        if self._shared.holds(now_ms):
            limit *= self._shared.limit_factor(self._observed_at_ms, now_ms)
            limit = min(float(self.slots), max(1.0, limit))
        return limit

    def finish_ratio(self, in_flight: int, now_ms: float) -> float:
        """Return the expected finish time of a new request.

        It is the service time, longer by the excess of the requests at the leaf over
        its limit, relative to the typical latency.

        Parameters
        ----------
        in_flight : int
            Pending attempts of this daemon.
        now_ms : float
            Current time.
        """
        limit = self.limit(now_ms)
        busy = self._load(in_flight, now_ms) / limit
        queueing = max(1.0, busy + 1.0 / limit) + BUSY_COST * min(1.0, busy)
        return self.service_ratio(now_ms) * queueing

    def _load(self, in_flight: int, now_ms: float) -> float:
        """Return the expected number of requests at the leaf."""
        age_ms = now_ms - self._reported_at_ms
        if age_ms > NO_LOAD_AFTER_MS:
            return float(in_flight)
        load = self._mean_load * math.exp(-age_ms / MEAN_LOAD_DECAY_MS)
        if age_ms < NO_LAST_LOAD_AFTER_MS:
            weight = math.exp(-age_ms / REPORTED_LOAD_DECAY_MS)
            load += weight * (self._reported_load - load)
        return max(in_flight, load + min(in_flight, self._sent_since_report))

    def _mean_load_at(self, now_ms: float) -> float:
        age_ms = now_ms - self._reported_at_ms
        return self._mean_load * math.exp(-age_ms / MEAN_LOAD_DECAY_MS)

    def _own_ratio(self, now_ms: float) -> float:
        if self._observed_at_ms == -math.inf:
            return 1.0
        age_ms = now_ms - self._observed_at_ms
        usual = self._usual_at(age_ms)
        if age_ms > NO_RECENT_AFTER * self._recent_decay_ms:
            return usual
        weight = math.exp(-age_ms / self._recent_decay_ms)
        return usual + (self._recent - self._usual) * weight

    def _usual_at(self, age_ms: float) -> float:
        if age_ms < USUAL_HELD_MS:
            return self._usual
        weight = math.exp((USUAL_HELD_MS - age_ms) / USUAL_DECAY_MS)
        return 1.0 + (self._usual - 1.0) * weight

    def _settle_usual(self, now_ms: float) -> None:
        """Apply the decay of the usual speed since the last answer."""
        recent = self._own_ratio(now_ms)
        self._usual = self._usual_at(now_ms - self._observed_at_ms)
        self._recent = recent
        self._observed_at_ms = now_ms

    def _own_limit(self, now_ms: float) -> float:
        short = self.slots - self._limit
        if short < 0.01:
            return float(self.slots)
        age_ms = now_ms - self._limit_at_ms
        return self.slots - short * math.exp(-age_ms / LIMIT_RECOVERY_MS)

    def _update_limit(self, limit: float, per_latency: float, now_ms: float) -> None:
        target = LIMIT_HEADROOM * self._usual * per_latency
        bounded = min(float(self.slots), max(1.0, target))
        self._limit = limit + LIMIT_WEIGHT * (bounded - limit)
        self._limit_at_ms = now_ms

    def _update_recent(
        self, sample: float, queued: bool, sent_ms: float, now_ms: float
    ) -> None:
        known = self._recent
        slow = sample > SLOW_RATIO * self._usual
        if not slow:
            self._slow_in_a_row = 0
        elif sent_ms >= self._slow_until_ms:
            self._slow_in_a_row = min(MAX_SLOW_IN_A_ROW, self._slow_in_a_row + 1)
            self._slow_until_ms = now_ms
        confirmed = max(1, self._slow_in_a_row)
        weight = FALL_WEIGHT
        if sample > known or queued:
            weight = RISE_WEIGHT * confirmed
        self._recent = known + weight * (sample - known)
        self._recent_decay_ms = RECENT_DECAY_MS * confirmed

    def _update_usual(self, sample: float) -> None:
        if sample <= self._usual:
            weight, bound = USUAL_FALL_WEIGHT, sample
        elif self._slow_in_a_row < MAX_SLOW_IN_A_ROW:
            weight, bound = USUAL_RISE_WEIGHT, MAX_USUAL_RISE * self._usual
        else:
            weight, bound = CONFIRMED_RISE_WEIGHT, MAX_CONFIRMED_RISE * self._usual
        risen = self._usual + weight * (min(sample, bound) - self._usual)
        self._usual = min(MAX_USUAL, risen)


def _changed(value: float, last: float) -> bool:
    return value > CHANGED_FACTOR * last or last > CHANGED_FACTOR * value


__all__ = ["LeafCapacity"]
