"""Choice of the leaf that is expected to finish first, among two random ones."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.leafs.leaf_penalties import with_penalties

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Sequence
    from random import Random

    from ..decisions.leafs.leaf_state import LeafState

    CostOfLeaf = Callable[[LeafState, float, float], float]

# In multiples of the typical latency. A leaf of the own zone is used unless it is
# expected to finish later than the other one by this much; the longer way to the other
# zone is part of that leaf's measured times.
OTHER_ZONE_MARGIN = 0.5
# If both of the two random leafs are worse than this, all are compared.
COMPARE_ALL_COST = 1.5
# A leaf of the own zone that is this good is used without a comparison.
FREE_COST = 1.2
# First attempts that go to the second leaf unless it is slow or busy. Without them the
# daemon would have no times of leafs of other zones.
EXPLORATION_SHARE = 1.0 / 30.0
MAX_COST_WITHOUT_CAPACITY = 2.5  # a leaf of another zone without penalties has 1.9


class FinishTimeChoice:
    """Picks leafs of a service of which at least one has a learnt capacity.

    Each pick compares a random leaf of the own zone with a random one of the others.
    Daemons with the same view thus do not all choose the same leaf.

    Parameters
    ----------
    zone : str
        The daemon's own availability zone.
    random : Random
        Source of random choices.
    cost_without_capacity : Callable
        Returns the cost of a leaf without a learnt capacity, at a typical latency and
        time.
    """

    def __init__(
        self, zone: str, random: Random, cost_without_capacity: CostOfLeaf
    ) -> None:
        self._zone = zone
        self._random = random.random
        self._cost_without_capacity = cost_without_capacity

    def pick(
        self,
        states: Sequence[LeafState],
        tried: Collection[str],
        expected_ms: float,
        now_ms: float,
    ) -> LeafState | None:
        """Return the leaf to ask, or None when all were tried."""
        if tried:
            states = [s for s in states if s.leaf.leaf_id not in tried]
        count = len(states)
        if count < 2:
            return states[0] if states else None
        zone = self._zone
        own = [index for index in range(count) if states[index].leaf.zone == zone]
        draw = self._random()
        first = own[int(draw * len(own))] if own else int(draw * count)
        cost = self._cost(states[first], expected_ms, now_ms)
        draw = self._random() * (count - 1)
        explores = not tried and draw % 1.0 < EXPLORATION_SHARE
        if cost < FREE_COST and own and not explores:
            return states[first]
        second = (first + 1 + int(draw)) % count
        second_cost = self._cost(states[second], expected_ms, now_ms)
        if explores and second_cost < _max_explored_cost(states[second]):
            return states[second]
        if second_cost < cost:
            first, cost = second, second_cost
        if cost > COMPARE_ALL_COST and count > 2:
            return self._best(states, expected_ms, now_ms)
        return states[first]

    def _best(
        self, states: Sequence[LeafState], expected_ms: float, now_ms: float
    ) -> LeafState | None:
        best: LeafState | None = None
        min_cost = math.inf
        for state in states:
            cost = self._cost(state, expected_ms, now_ms)
            if cost < min_cost:
                best, min_cost = state, cost
        return best

    def _cost(self, state: LeafState, expected_ms: float, now_ms: float) -> float:
        """Return the expected finish time in multiples of the typical latency."""
        capacity = state.capacity
        if capacity is None:
            return self._cost_without_capacity(state, expected_ms, now_ms)
        cost = capacity.finish_ratio(state.in_flight, now_ms)
        cost = with_penalties(cost, state, expected_ms, now_ms)
        return cost if state.leaf.zone == self._zone else cost + OTHER_ZONE_MARGIN


def _max_explored_cost(state: LeafState) -> float:
    return COMPARE_ALL_COST if state.capacity else MAX_COST_WITHOUT_CAPACITY


__all__ = ["FinishTimeChoice"]
