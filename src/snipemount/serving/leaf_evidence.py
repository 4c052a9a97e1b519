"""Evidence on leafs that the daemons of a zone exchange."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.relay import LeafEstimate, RelayEvidence, SlowLeaf

if TYPE_CHECKING:
    from ..decisions.leafs.leaf_state import LeafState
    from .context import ServingContext

# Of one message, and of the ones to forward: with many followers more would wait until
# they are outdated. What is dropped is reported again while it lasts.
MAX_ESTIMATES = 64
# On average; bounds the bytes that a daemon sends for estimates to about 5 KB/s.
MEAN_ESTIMATES = 20


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
        self._forwarded_estimates: dict[str, LeafEstimate] = {}
        self._allowed_estimates = MAX_ESTIMATES

    def add_reported(self, evidence: RelayEvidence) -> None:
        """Apply what another daemon reports; unknown leafs are ignored."""
        now_ms = self._context.timers.now_ms()
        for leaf in evidence.leafs:
            state = self._context.directory.find(leaf.leaf_id)
            if state is not None:
                state.slowness_reported(leaf.slowness, now_ms)
        for estimate in evidence.estimates:
            state = self._context.directory.find(estimate.leaf_id)
            if state is not None and state.capacity is not None:
                state.capacity.estimate_reported(
                    estimate.service_ratio, estimate.limit, now_ms
                )

    def forward(self, evidence: RelayEvidence) -> None:
        """Include what a follower reports in the next result of `take_unreported`."""
        for leaf in evidence.leafs:
            reported = self._forwarded.get(leaf.leaf_id, 0.0)
            self._forwarded[leaf.leaf_id] = max(reported, leaf.slowness)
        forwarded = self._forwarded_estimates
        for estimate in evidence.estimates:
            has_room = len(forwarded) < MAX_ESTIMATES or estimate.leaf_id in forwarded
            if has_room and self._context.directory.find(estimate.leaf_id) is not None:
                forwarded[estimate.leaf_id] = estimate

    def take_unreported(self) -> RelayEvidence | None:
        """Return the evidence since the last call and clear it; None if there is none.

        Estimates beyond the bound wait for the next call.
        """
        slow, self._forwarded = self._forwarded, {}
        observed = []
        for state in self._context.directory.all_states():
            own_slowness = state.take_unreported_slowness()
            if own_slowness > 0.0:
                leaf_id = state.leaf.leaf_id
                slow[leaf_id] = max(slow.get(leaf_id, 0.0), own_slowness)
            if state.capacity is not None and state.capacity.unshared:
                observed.append(state)
        estimates = self._take_estimates(observed)
        if not slow and not estimates:
            return None
        leafs = (SlowLeaf(leaf_id, slowness) for leaf_id, slowness in slow.items())
        return RelayEvidence(tuple(leafs), estimates)

    def _take_estimates(self, observed: list[LeafState]) -> tuple[LeafEstimate, ...]:
        now_ms = self._context.timers.now_ms()
        allowed = min(MAX_ESTIMATES, self._allowed_estimates + MEAN_ESTIMATES)
        forwarded = self._forwarded_estimates
        most = allowed // 2 if observed else allowed
        first_ids = list(forwarded)[:most]
        taken = [forwarded.pop(leaf_id) for leaf_id in first_ids]
        for state in observed:
            if len(taken) >= allowed:
                break
            assert state.capacity is not None
            changed = state.capacity.take_changed(now_ms)
            if changed is not None:
                taken.append(LeafEstimate(state.leaf.leaf_id, *changed))
        self._allowed_estimates = allowed - len(taken)
        return tuple(taken)


__all__ = ["LeafEvidence"]
