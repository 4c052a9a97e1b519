"""Choice of the leaf for each attempt."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...capacity.finish_time_choice import FinishTimeChoice
from .leaf_penalties import with_penalties

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence
    from random import Random

    from .leaf_state import LeafState

# Costs are in multiples of the typical latency.
OTHER_ZONE_COST = 0.8
MAX_TIE_BREAK_COST = 0.05
PICKS_PER_EXPLORATION = 30
MAX_TIE_BREAKS = 20_000  # bounds memory: leafs are replaced over time


class LeafChoice:
    """Picks the leaf with the lowest expected latency.

    Parameters
    ----------
    zone : str
        The daemon's own availability zone.
    random : Random
        Source of the tie-breaking costs and of random choices.
    """

    def __init__(self, zone: str, random: Random) -> None:
        self._zone = zone
        self._random = random
        self._tie_breaks: dict[str, float] = {}
        self._picks = 0
        self._by_finish_time = FinishTimeChoice(zone, random, self.cost)

    def pick(
        self,
        states: Sequence[LeafState],
        tried: Collection[str],
        expected_ms: float,
        now_ms: float,
    ) -> LeafState | None:
        """Return the leaf with the lowest cost, or None when all were tried.

        Now and then a first attempt goes to the best leaf of another zone (see
        `_explores`). If any leaf has a learnt capacity, the choice is by expected
        finish time.

        Parameters
        ----------
        states : Sequence of LeafState
            Leafs that may be asked.
        tried : Collection of str
            Ids of the leafs to leave out.
        expected_ms : float
            Typical latency.
        now_ms : float
            Current time.
        """
        for state in states:
            if state.capacity is not None:
                return self._by_finish_time.pick(states, tried, expected_ms, now_ms)
        if not tried and self._explores():
            states = self._of_other_zones(states, now_ms) or states
        best: LeafState | None = None
        min_cost = math.inf
        for state in states:
            if state.leaf.leaf_id in tried:
                continue
            cost = self.cost(state, expected_ms, now_ms)
            if cost < min_cost:
                best, min_cost = state, cost
        return best

    def _explores(self) -> bool:
        """Return whether this pick should try another zone.

        Without such picks the daemon would have no latencies of other zones to compare
        with when all leafs of its own zone are slow.
        """
        self._picks += 1
        return self._picks % PICKS_PER_EXPLORATION == 0

    def _of_other_zones(
        self, states: Iterable[LeafState], now_ms: float
    ) -> list[LeafState]:
        return [
            state
            for state in states
            if state.leaf.zone != self._zone
            and not (state.is_paused(now_ms) or state.is_cold(now_ms))
        ]

    def preferred(self, states: Iterable[LeafState]) -> LeafState | None:
        """Return the leaf that `pick` prefers while none is slow or busy."""
        return min(states, key=self._base_cost, default=None)

    def _base_cost(self, state: LeafState) -> float:
        other_zone = state.leaf.zone != self._zone
        return OTHER_ZONE_COST * other_zone + self._tie_break(state.leaf.leaf_id)

    def random_leafs(self, states: Sequence[LeafState], count: int) -> list[LeafState]:
        """Return random leafs, so that successive probes go to different ones."""
        return self._random.sample(states, min(count, len(states)))

    def cost(self, state: LeafState, expected_ms: float, now_ms: float) -> float:
        """Return the expected latency in multiples of the typical latency."""
        queued = state.load(now_ms) / state.leaf.slots
        cost = state.slowness(now_ms) * (1.0 + queued)
        cost = with_penalties(cost, state, expected_ms, now_ms)
        return cost + self._base_cost(state)

    def _tie_break(self, leaf_id: str) -> float:
        """Return a random cost that stays the same for a leaf.

        It is stable so that the daemon keeps reusing its connection to the same leaf,
        and differs between daemons so that they don't all prefer the same one.
        """
        found = self._tie_breaks.get(leaf_id)
        if found is None:
            if len(self._tie_breaks) >= MAX_TIE_BREAKS:
                self._tie_breaks.clear()
            found = self._tie_breaks[leaf_id] = (
                self._random.random() * MAX_TIE_BREAK_COST
            )
        return found


__all__ = ["LeafChoice"]
