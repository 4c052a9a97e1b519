"""Evidence of slow leafs that the daemons of a zone exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.relay import SlowLeaf

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .context import ServingContext


class LeafEvidence:
    """Collects this daemon's own observations and applies those of other daemons.

    A daemon reports only its own observations, and a relaying daemon forwards those of
    its followers once: reported evidence must not circulate.

    Parameters
    ----------
    context : ServingContext
        Its directory holds the evidence on each leaf.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self._forwarded: dict[str, float] = {}

    def add_reported(self, leafs: Iterable[SlowLeaf]) -> None:
        """Apply the slowness that another daemon reports; unknown leafs are ignored."""
        now_ms = self._context.timers.now_ms()
        for leaf in leafs:
            state = self._context.directory.find(leaf.leaf_id)
            if state is not None:
                state.slowness_reported(leaf.slowness, now_ms)

    def forward(self, leafs: Iterable[SlowLeaf]) -> None:
        """Include what a follower reports in the next result of `take_unreported`."""
        for leaf in leafs:
            reported = self._forwarded.get(leaf.leaf_id, 0.0)
            self._forwarded[leaf.leaf_id] = max(reported, leaf.slowness)

    def take_unreported(self) -> tuple[SlowLeaf, ...]:
        """Return the evidence since the last call, and clear it."""
        slow, self._forwarded = self._forwarded, {}
        for state in self._context.directory.all_states():
            own_slowness = state.take_unreported_slowness()
            if own_slowness > 0.0:
                leaf_id = state.leaf.leaf_id
                slow[leaf_id] = max(slow.get(leaf_id, 0.0), own_slowness)
        return tuple(SlowLeaf(leaf_id, slowness) for leaf_id, slowness in slow.items())


__all__ = ["LeafEvidence"]
