"""Load, latency, failures and cold start of a leaf, as observed by one daemon."""

from __future__ import annotations

import math
from itertools import count
from typing import TYPE_CHECKING

import attrs

from ...capacity.leaf_capacity import LeafCapacity
from .cold_limit import ColdAttempts

if TYPE_CHECKING:
    from ...model.forwarding import LoadReport
    from ...model.leaf import Leaf
    from .leaf_limit import LeafLimit

# Weights are those of a new sample in a moving average; *_DECAY_MS are time constants
# of exponential decay.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_DECAY_MS = 2500.0
MAX_SLOWNESS = 30.0
MIN_REPORTED_SLOWNESS = 3.0
REPORTED_SLOWNESS_WEIGHT = 0.3
# A cancelled attempt would have taken about twice as long as it had waited.
CANCELLED_LATENCY_FACTOR = 2.0
FAILURE_WEIGHT = 0.25
FAILURE_DECAY_MS = 4000.0
REPORTED_LOAD_DECAY_MS = 120.0
FIRST_PAUSE_MS = 250.0
MAX_PAUSE_MS = 2000.0
REFUSAL_PAUSE_MS = 60.0
REFUSAL_WEIGHT = 0.25
REFUSAL_DECAY_MS = 3000.0


@attrs.define
class LeafStatements:
    """What one start of a leaf has stated about itself and still holds.

    Parameters
    ----------
    limit : LeafLimit or None
        Limit that it states for all daemons together.
    leaving : bool
        Whether it has stated that it leaves; that holds until its end.
    rests_until_ms : float
        Until then it wants no requests of this daemon.
    """

    limit: LeafLimit | None = None
    leaving: bool = False
    rests_until_ms: float = -math.inf

    def rest(self, until_ms: float) -> None:
        """Record that the leaf wants no requests until then."""
        self.rests_until_ms = max(self.rests_until_ms, until_ms)

    def ms_until_allowed(self, now_ms: float) -> float:
        """Return the time until the leaf takes a request of this daemon again."""
        rest_ms = max(0.0, self.rests_until_ms - now_ms)
        if self.limit is None:
            return rest_ms
        return max(rest_ms, self.limit.ms_until_allowed(now_ms))

    @property
    def empty(self) -> bool:
        """Whether nothing is stated."""
        rested = self.rests_until_ms > -math.inf
        return self.limit is None and not self.leaving and not rested


class LeafState:
    """Statistics on one process start of a leaf.

    Parameters
    ----------
    leaf : Leaf
        Entry of the leaf in the directory.
    now_ms : float
        Time at which the entry was first seen.

    Attributes
    ----------
    leaf : Leaf
        Latest entry of the leaf.
    paused_until_ms : float
        Until then other leafs are preferred.
    consecutive_losses : int
        Attempts without an answer since the last answer.
    cold_until_ms : float
        Until then the leaf counts as cold.
    cold_attempts : ColdAttempts
        Attempts during the cold start, for the limit on them.
    statements : LeafStatements
        What this start of the leaf has stated about itself and still holds.
    capacity : LeafCapacity or None
        Learnt capacity, once the leaf has reported a work ratio.
    """

    def __init__(self, leaf: Leaf, now_ms: float) -> None:
        self.leaf = leaf
        self._pending: dict[int, float] = {}
        self._next_number = count()
        self._slowness = 1.0
        self._slowness_at_ms = now_ms
        self._unreported_slowness = 0.0
        self._failure_rate = 0.0
        self._failure_at_ms = now_ms
        self._refusal_rate = 0.0
        self._refusal_at_ms = now_ms
        self._reported_load = 0
        self._reported_load_at_ms = -math.inf
        self._pause_ms = 0.0
        self.paused_until_ms = -math.inf
        self.consecutive_losses = 0
        self.cold_until_ms = now_ms + leaf.cold_ms
        self.cold_attempts = ColdAttempts()
        self.statements = LeafStatements()
        self.capacity: LeafCapacity | None = None

    @property
    def limit(self) -> LeafLimit | None:
        """Limit that the leaf states for all daemons together, if it states one."""
        return self.statements.limit

    @property
    def in_flight(self) -> int:
        """Number of pending attempts of this daemon."""
        return len(self._pending)

    def update(self, leaf: Leaf, now_ms: float) -> None:
        """Replace the entry by a newer one of the same start."""
        self.leaf = leaf
        self.cold_until_ms = now_ms + leaf.cold_ms
        if self.capacity is not None:
            self.capacity.slots = max(1, leaf.slots)

    def sent(self, now_ms: float) -> int:
        """Record the start of an attempt and return its number."""
        number = next(self._next_number)
        if self.is_cold(now_ms):
            self.cold_attempts.record(now_ms)
        if self.limit is not None:
            self.limit.spend(now_ms)
        self._pending[number] = now_ms
        if self.capacity is not None:
            self.capacity.sent()
        return number

    def not_arrived(self) -> None:
        """Record that an attempt did not reach the leaf; it counts in no limit."""
        if self.limit is not None:
            self.limit.refund()

    def answered(self, number: int, expected_ms: float, now_ms: float) -> None:
        """Record an answer, and end a pause of the leaf.

        Parameters
        ----------
        number : int
            Number of the attempt.
        expected_ms : float
            Typical latency.
        now_ms : float
            Current time.
        """
        sent_ms = self._pending.pop(number, now_ms)
        ratio = (now_ms - sent_ms) / expected_ms
        self._update_slowness(ratio, now_ms)
        if self.capacity is not None:
            self.capacity.answered(ratio, sent_ms, now_ms)
        self._update_failure_rate(0.0, now_ms)
        self._update_refusal_rate(0.0, now_ms)
        self._pause_ms = 0.0
        self.consecutive_losses = 0
        self.paused_until_ms = -math.inf

    def failed(self, number: int, now_ms: float) -> None:
        """Record an answer that reports a failure."""
        self._pending.pop(number, None)
        self._update_failure_rate(1.0, now_ms)
        self.consecutive_losses = 0

    def lost(self, number: int, certain: bool, now_ms: float) -> None:
        """Record an attempt that ended without an answer.

        The leaf is paused at the second loss in a row, or at once when `certain`.

        Parameters
        ----------
        number : int
            Number of the attempt.
        certain : bool
            Whether the attempt certainly did not reach the leaf.
        now_ms : float
            Current time.
        """
        self._pending.pop(number, None)
        self._update_failure_rate(1.0, now_ms)
        self.consecutive_losses += 1
        if certain or self.consecutive_losses > 1:
            self._pause(now_ms)

    def refused(self, number: int, now_ms: float) -> None:
        """Record a refusal for lack of capacity, and pause the leaf briefly."""
        self._pending.pop(number, None)
        self._update_refusal_rate(1.0, now_ms)
        self.paused_until_ms = max(self.paused_until_ms, now_ms + REFUSAL_PAUSE_MS)

    def cancelled(self, number: int, expected_ms: float, now_ms: float) -> None:
        """Record a cancelled attempt, whose age is a lower bound of its latency.

        It counts only when it raises the slowness.
        """
        sent_ms = self._pending.pop(number, now_ms)
        ratio = (now_ms - sent_ms) / expected_ms
        if self.capacity is not None:
            self.capacity.cancelled(ratio, sent_ms, now_ms)
        if ratio > max(1.0, self.slowness(now_ms)):
            self._update_slowness(ratio, now_ms)
            self._note_unreported(CANCELLED_LATENCY_FACTOR * ratio)

    def slowness_reported(self, slowness: float, now_ms: float) -> None:
        """Merge the slowness reported by another daemon, if it is higher."""
        known = self.slowness(now_ms)
        if slowness > known:
            bounded = min(MAX_SLOWNESS, slowness)
            self._slowness = known + REPORTED_SLOWNESS_WEIGHT * (bounded - known)
            self._slowness_at_ms = now_ms

    def take_unreported_slowness(self) -> float:
        """Return the highest slowness observed since the last call, to be reported.

        Returns
        -------
        float
            0 when no attempt was slow enough to be reported.
        """
        slowness, self._unreported_slowness = self._unreported_slowness, 0.0
        return slowness

    def load_reported(self, load: LoadReport, now_ms: float) -> None:
        """Record the load that the leaf reported, excluding the request reported on."""
        self._reported_load = max(0, load.running + load.waiting - 1)
        self._reported_load_at_ms = now_ms
        if self.capacity is None and load.work_ratio is not None:
            self.capacity = LeafCapacity(self.leaf.slots, now_ms)
        if self.capacity is not None:
            self.capacity.load_reported(load, now_ms)

    def slowness(self, now_ms: float) -> float:
        """Return the ratio of the latency to the typical latency, decaying to 1."""
        if self._slowness == 1.0:
            return 1.0
        age_ms = now_ms - self._slowness_at_ms
        decay = math.exp(-age_ms / SLOWNESS_DECAY_MS)
        return 1.0 + (self._slowness - 1.0) * decay

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of attempts that failed, decaying to 0."""
        if self._failure_rate == 0.0:
            return 0.0
        age_ms = now_ms - self._failure_at_ms
        return self._failure_rate * math.exp(-age_ms / FAILURE_DECAY_MS)

    def refusal_rate(self, now_ms: float) -> float:
        """Return the share of attempts that the leaf refused, decaying to 0."""
        if self._refusal_rate == 0.0:
            return 0.0
        age_ms = now_ms - self._refusal_at_ms
        return self._refusal_rate * math.exp(-age_ms / REFUSAL_DECAY_MS)

    def load(self, now_ms: float) -> float:
        """Return the estimated number of requests ahead of a new one."""
        own = float(len(self._pending))
        if not self._reported_load:
            return own
        age_ms = now_ms - self._reported_load_at_ms
        return max(
            own, self._reported_load * math.exp(-age_ms / REPORTED_LOAD_DECAY_MS)
        )

    def oldest_ms(self, now_ms: float) -> float:
        """Return the age of the oldest pending attempt, in milliseconds."""
        if not self._pending:
            return 0.0
        return now_ms - next(iter(self._pending.values()))

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the leaf is in its cold start."""
        return now_ms < self.cold_until_ms

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the leaf is paused after losses or refusals."""
        return now_ms < self.paused_until_ms

    def _pause(self, now_ms: float) -> None:
        next_ms = 2.0 * self._pause_ms if self._pause_ms else FIRST_PAUSE_MS
        self._pause_ms = min(MAX_PAUSE_MS, next_ms)
        self.paused_until_ms = now_ms + self._pause_ms

    def _update_slowness(self, ratio: float, now_ms: float) -> None:
        bounded = min(MAX_SLOWNESS, max(0.2, ratio))
        self._note_unreported(bounded)
        known = self.slowness(now_ms)
        self._slowness = known + SLOWNESS_WEIGHT * (bounded - known)
        self._slowness_at_ms = now_ms

    def _note_unreported(self, ratio: float) -> None:
        if ratio >= MIN_REPORTED_SLOWNESS:
            bounded = min(MAX_SLOWNESS, ratio)
            self._unreported_slowness = max(self._unreported_slowness, bounded)

    def _update_failure_rate(self, failed: float, now_ms: float) -> None:
        known = self.failure_rate(now_ms)
        self._failure_rate = known + FAILURE_WEIGHT * (failed - known)
        self._failure_at_ms = now_ms

    def _update_refusal_rate(self, refused: float, now_ms: float) -> None:
        known = self.refusal_rate(now_ms)
        self._refusal_rate = known + REFUSAL_WEIGHT * (refused - known)
        self._refusal_at_ms = now_ms


__all__ = ["LeafState"]
