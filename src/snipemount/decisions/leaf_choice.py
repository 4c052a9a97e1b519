"""Choice of the leaf that is asked first, and of the one asked next."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence
    from random import Random

    from .leaf_state import LeafState

OTHER_ZONE_COST = 0.8
COLD_FACTOR = 1.6
STUCK_RATIO = 2.5
FAILURE_COST = 8.0
REFUSAL_COST = 4.0
LOSS_COST = 4.0
MOST_LOSSES = 3
PAUSED_COST = 100.0
TIE_SPREAD = 0.05
PICKS_AN_EXPLORATION = 30
MOST_TIES = 20_000  # leafs come and go


class LeafChoice:
    """Picks the leaf that is likely to answer first.

    Parameters
    ----------
    zone : str
        The daemon's own availability zone.
    random : Random
        Breaks ties.
    """

    def __init__(self, zone: str, random: Random) -> None:
        self._zone = zone
        self._random = random
        self._ties: dict[str, float] = {}
        self._picks = 0

    def pick(
        self,
        states: Sequence[LeafState],
        tried: Collection[str],
        expected_ms: float,
        now_ms: float,
    ) -> LeafState | None:
        """Return the best leaf not yet tried, or None when there is none."""
        if not tried and self._explores():
            states = self._of_other_zones(states, now_ms) or states
        best: LeafState | None = None
        least = math.inf
        for state in states:
            if state.leaf.leaf_id in tried:
                continue
            cost = self.cost(state, expected_ms, now_ms)
            if cost < least:
                best, least = state, cost
        return best

    def _explores(self) -> bool:
        """Return whether it is time to see how other zones answer.

        Where all leafs of the own zone are slow, nothing else would show it.
        """
        self._picks += 1
        return self._picks % PICKS_AN_EXPLORATION == 0

    def _of_other_zones(
        self, states: Iterable[LeafState], now_ms: float
    ) -> list[LeafState]:
        return [
            state
            for state in states
            if state.leaf.zone != self._zone
            and not (state.is_paused(now_ms) or state.is_cold(now_ms))
        ]

    def usual(self, states: Iterable[LeafState]) -> LeafState | None:
        """Return the leaf that is asked first while none is slow or busy."""
        return min(states, key=self._distance, default=None)

    def _distance(self, state: LeafState) -> float:
        other = state.leaf.zone != self._zone
        return OTHER_ZONE_COST * other + self._tie(state.leaf.leaf_id)

    def any_of(self, states: Sequence[LeafState]) -> LeafState:
        """Return any leaf, so that probes reach different ones."""
        return self._random.choice(states)

    def cost(self, state: LeafState, expected_ms: float, now_ms: float) -> float:
        """Return the expected wait, in multiples of a usual answer."""
        ahead = state.load(now_ms) / state.leaf.slots
        cost = state.slowness(now_ms) * (1.0 + ahead)
        if state.is_cold(now_ms):
            cost *= COLD_FACTOR
        stuck = state.oldest_ms(now_ms) / expected_ms
        if stuck > STUCK_RATIO:
            cost += stuck
        cost += FAILURE_COST * state.failure_rate(now_ms)
        cost += REFUSAL_COST * state.refusal_rate(now_ms)
        if state.lost_in_a_row:
            cost += LOSS_COST * min(state.lost_in_a_row, MOST_LOSSES)
        if state.is_paused(now_ms):
            cost += PAUSED_COST
        return cost + self._distance(state)

    def _tie(self, leaf_id: str) -> float:
        """Return the same for a leaf each time, so that its connection is in use.

        Daemons differ in it, so that they do not all prefer the same leaf.
        """
        found = self._ties.get(leaf_id)
        if found is None:
            if len(self._ties) >= MOST_TIES:
                self._ties.clear()
            found = self._ties[leaf_id] = self._random.random() * TIE_SPREAD
        return found


__all__ = ["LeafChoice"]
