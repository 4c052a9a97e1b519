"""What one daemon knows of one leaf: load, speed, failures, cold start."""

from __future__ import annotations

import math
from itertools import count
from typing import TYPE_CHECKING

from .cold_limit import ColdSends

if TYPE_CHECKING:
    from ..model.forwarding import LoadReport
    from ..model.leaf import Leaf

SLOWNESS_WEIGHT = 0.3
SLOWNESS_MEMORY_MS = 2500.0
MOST_SLOWNESS = 30.0
TOLD_SLOWNESS = 3.0
HEARSAY_WEIGHT = 0.3
CUT_SHORT_RATIO = 2.0  # what waits so long takes about as long again
FAILURE_WEIGHT = 0.25
FAILURE_MEMORY_MS = 4000.0
LOAD_MEMORY_MS = 120.0
FIRST_PAUSE_MS = 250.0
LONGEST_PAUSE_MS = 2000.0
REFUSAL_PAUSE_MS = 60.0
REFUSAL_WEIGHT = 0.25
REFUSAL_MEMORY_MS = 3000.0


class LeafState:
    """Local evidence on one start of a leaf.

    Parameters
    ----------
    leaf : Leaf
        Entry of the directory.
    now_ms : float
        Time of the first entry.
    """

    def __init__(self, leaf: Leaf, now_ms: float) -> None:
        self.leaf = leaf
        self._sends: dict[int, float] = {}
        self._next_send = count()
        self._slowness = 1.0
        self._slowness_at_ms = now_ms
        self._untold_slowness = 0.0
        self._failure_rate = 0.0
        self._failure_at_ms = now_ms
        self._refusal_rate = 0.0
        self._refusal_at_ms = now_ms
        self._told = 0
        self._told_at_ms = -math.inf
        self._pause_ms = 0.0
        self.paused_until_ms = -math.inf
        self.lost_in_a_row = 0
        self.cold_until_ms = now_ms + leaf.cold_ms
        self.cold_sends = ColdSends()

    @property
    def in_flight(self) -> int:
        """Own requests that wait for an answer."""
        return len(self._sends)

    def update(self, leaf: Leaf, now_ms: float) -> None:
        """Take a newer entry of the same start."""
        self.leaf = leaf
        self.cold_until_ms = now_ms + leaf.cold_ms

    def sent(self, now_ms: float) -> int:
        """Note a send and return its number."""
        number = next(self._next_send)
        if self.is_cold(now_ms):
            self.cold_sends.sent(now_ms)
        self._sends[number] = now_ms
        return number

    def answered(self, number: int, expected_ms: float, now_ms: float) -> None:
        """Note an answer of a send that usually takes `expected_ms`."""
        sent_ms = self._sends.pop(number, now_ms)
        self._learn_speed((now_ms - sent_ms) / expected_ms, now_ms)
        self._learn_failure(0.0, now_ms)
        self._learn_refusal(0.0, now_ms)
        self._pause_ms = 0.0
        self.lost_in_a_row = 0
        self.paused_until_ms = -math.inf

    def failed(self, number: int, now_ms: float) -> None:
        """Note an answer that reports a failure."""
        self._sends.pop(number, None)
        self._learn_failure(1.0, now_ms)
        self.lost_in_a_row = 0

    def lost(self, number: int, certain: bool, now_ms: float) -> None:
        """Note a send without an answer; `certain` when nobody listens."""
        self._sends.pop(number, None)
        self._learn_failure(1.0, now_ms)
        self.lost_in_a_row += 1
        if certain or self.lost_in_a_row > 1:
            self._pause(now_ms)

    def refused(self, number: int, now_ms: float) -> None:
        """Note that the leaf had no room."""
        self._sends.pop(number, None)
        self._learn_refusal(1.0, now_ms)
        self.paused_until_ms = max(self.paused_until_ms, now_ms + REFUSAL_PAUSE_MS)

    def given_up(self, number: int, expected_ms: float, now_ms: float) -> None:
        """Note a send that was cancelled: it took at least so long."""
        sent_ms = self._sends.pop(number, now_ms)
        ratio = (now_ms - sent_ms) / expected_ms
        if ratio > max(1.0, self.slowness(now_ms)):
            self._learn_speed(ratio, now_ms)
            self._note_untold(CUT_SHORT_RATIO * ratio)

    def hear_slowness(self, slowness: float, now_ms: float) -> None:
        """Take another daemon's word that the leaf is slow."""
        known = self.slowness(now_ms)
        if slowness > known:
            self._slowness = known + HEARSAY_WEIGHT * (slowness - known)
            self._slowness_at_ms = now_ms

    def take_slowness(self) -> float:
        """Return the slowness seen since the last call; 0 where there was none."""
        untold, self._untold_slowness = self._untold_slowness, 0.0
        return untold

    def told(self, load: LoadReport, now_ms: float) -> None:
        """Take the load that the leaf told."""
        self._told = max(0, load.running + load.waiting - 1)
        self._told_at_ms = now_ms

    def slowness(self, now_ms: float) -> float:
        """Return how many times the usual an answer takes, fading with age."""
        if self._slowness == 1.0:
            return 1.0
        age_ms = now_ms - self._slowness_at_ms
        fade = math.exp(-age_ms / SLOWNESS_MEMORY_MS)
        return 1.0 + (self._slowness - 1.0) * fade

    def failure_rate(self, now_ms: float) -> float:
        """Return the share of failures, fading with age."""
        if self._failure_rate == 0.0:
            return 0.0
        age_ms = now_ms - self._failure_at_ms
        return self._failure_rate * math.exp(-age_ms / FAILURE_MEMORY_MS)

    def refusal_rate(self, now_ms: float) -> float:
        """Return the share of requests that it had no room for, fading with age."""
        if self._refusal_rate == 0.0:
            return 0.0
        age_ms = now_ms - self._refusal_at_ms
        return self._refusal_rate * math.exp(-age_ms / REFUSAL_MEMORY_MS)

    def load(self, now_ms: float) -> float:
        """Return the requests that are likely before a new one."""
        own = float(len(self._sends))
        if not self._told:
            return own
        age_ms = now_ms - self._told_at_ms
        return max(own, self._told * math.exp(-age_ms / LOAD_MEMORY_MS))

    def oldest_ms(self, now_ms: float) -> float:
        """Return how long the oldest send has been waiting."""
        if not self._sends:
            return 0.0
        return now_ms - next(iter(self._sends.values()))

    def is_cold(self, now_ms: float) -> bool:
        """Return whether the leaf has started a short while ago."""
        return now_ms < self.cold_until_ms

    def is_paused(self, now_ms: float) -> bool:
        """Return whether the leaf is left alone for now."""
        return now_ms < self.paused_until_ms

    def _pause(self, now_ms: float) -> None:
        longer_ms = 2.0 * self._pause_ms if self._pause_ms else FIRST_PAUSE_MS
        self._pause_ms = min(LONGEST_PAUSE_MS, longer_ms)
        self.paused_until_ms = now_ms + self._pause_ms

    def _learn_speed(self, ratio: float, now_ms: float) -> None:
        bounded = min(MOST_SLOWNESS, max(0.2, ratio))
        self._note_untold(bounded)
        known = self.slowness(now_ms)
        self._slowness = known + SLOWNESS_WEIGHT * (bounded - known)
        self._slowness_at_ms = now_ms

    def _note_untold(self, ratio: float) -> None:
        if ratio >= TOLD_SLOWNESS:
            told = min(MOST_SLOWNESS, ratio)
            self._untold_slowness = max(self._untold_slowness, told)

    def _learn_failure(self, failed: float, now_ms: float) -> None:
        known = self.failure_rate(now_ms)
        self._failure_rate = known + FAILURE_WEIGHT * (failed - known)
        self._failure_at_ms = now_ms

    def _learn_refusal(self, refused: float, now_ms: float) -> None:
        known = self.refusal_rate(now_ms)
        self._refusal_rate = known + REFUSAL_WEIGHT * (refused - known)
        self._refusal_at_ms = now_ms


__all__ = ["LeafState"]
