"""Slots of leafs that are left free for urgent requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..decisions.leafs.leaf_state import LeafState

MIN_FREE_SLOTS = 2.0  # one is taken, one stays free
MAX_SLOWNESS = 1.5  # latency in multiples of the typical one
MAX_FAULT_RATE = 0.1  # share of recent attempts


def leave_slots_free(states: list[LeafState], now_ms: float) -> list[LeafState]:
    """Return the leafs for the first attempt of a request that is not urgent.

    It does not take a leaf's last free slot while a leaf without faults has more.
    """
    roomy = [state for state in states if _has_room(state, now_ms)]
    if len(roomy) == len(states):
        return states
    return [state for state in roomy if _is_sound(state, now_ms)] or states


def _has_room(state: LeafState, now_ms: float) -> bool:
    return state.leaf.slots - state.load(now_ms) >= MIN_FREE_SLOTS


def _is_sound(state: LeafState, now_ms: float) -> bool:
    return (
        state.consecutive_losses == 0
        and not state.is_paused(now_ms)
        and not state.is_cold(now_ms)
        and state.slowness(now_ms) <= MAX_SLOWNESS
        and state.failure_rate(now_ms) <= MAX_FAULT_RATE
        and state.refusal_rate(now_ms) <= MAX_FAULT_RATE
    )


__all__ = ["leave_slots_free"]
