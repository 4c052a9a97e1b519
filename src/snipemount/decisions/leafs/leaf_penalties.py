"""What adds to the expected latency of a leaf, besides its speed and load."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .leaf_state import LeafState

# Costs are in multiples of the typical latency.
COLD_COST_FACTOR = 1.6
STALL_RATIO = 2.5  # age of the oldest pending attempt to the typical latency
FAILURE_COST = 8.0
REFUSAL_COST = 4.0
LOSS_COST = 4.0
MAX_COUNTED_LOSSES = 3
PAUSED_COST = 100.0


def with_penalties(
    cost: float, state: LeafState, expected_ms: float, now_ms: float
) -> float:
    """Return a cost with those of cold start, stalls, failures and pauses."""
    if state.is_cold(now_ms):
        cost *= COLD_COST_FACTOR
    stall_ratio = state.oldest_ms(now_ms) / expected_ms
    if stall_ratio > STALL_RATIO:
        cost += stall_ratio
    cost += FAILURE_COST * state.failure_rate(now_ms)
    cost += REFUSAL_COST * state.refusal_rate(now_ms)
    if state.consecutive_losses:
        cost += LOSS_COST * min(state.consecutive_losses, MAX_COUNTED_LOSSES)
    if state.is_paused(now_ms):
        cost += PAUSED_COST
    return cost


__all__ = ["with_penalties"]
