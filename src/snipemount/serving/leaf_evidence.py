"""What the daemons of a zone tell each other of slow leafs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.relay import SlowLeaf

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .surroundings import Surroundings


class LeafEvidence:
    """Collects what this daemon has seen, and takes what the others have.

    Only what a daemon has seen itself is told, so that hearsay does not go round.

    Parameters
    ----------
    around : Surroundings
        Its directory holds the evidence on each leaf.
    """

    def __init__(self, around: Surroundings) -> None:
        self._around = around
        self._passed_on: dict[str, float] = {}

    def hear(self, leafs: Iterable[SlowLeaf]) -> None:
        """Take another daemon's word."""
        now_ms = self._around.timers.now_ms()
        for leaf in leafs:
            state = self._around.directory.known(leaf.leaf_id)
            if state is not None:
                state.hear_slowness(leaf.slowness, now_ms)

    def pass_on(self, leafs: Iterable[SlowLeaf]) -> None:
        """Tell it to the others with the next word of our own."""
        for leaf in leafs:
            known = self._passed_on.get(leaf.leaf_id, 0.0)
            self._passed_on[leaf.leaf_id] = max(known, leaf.slowness)

    def take(self) -> tuple[SlowLeaf, ...]:
        """Return what has not been told yet."""
        slow, self._passed_on = self._passed_on, {}
        for state in self._around.directory.all_states():
            seen = state.take_slowness()
            if seen > 0.0:
                leaf_id = state.leaf.leaf_id
                slow[leaf_id] = max(slow.get(leaf_id, 0.0), seen)
        return tuple(SlowLeaf(leaf_id, slowness) for leaf_id, slowness in slow.items())


__all__ = ["LeafEvidence"]
