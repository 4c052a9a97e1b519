"""Attempt at a leaf that has no outcome yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..decisions.leafs.leaf_state import LeafState
    from ..ports.leaf import AttemptHandle


@attrs.define(eq=False)
class PendingAttempt:
    """An attempt without an outcome yet.

    Parameters
    ----------
    state : LeafState
        State of the leaf that was asked.
    number : int
        Number of the attempt in the leaf's state.
    sent_ms : float
        Monotonic time at which it was sent.
    handle : AttemptHandle or None
        Cancels it; None until the port has returned one.
    """

    state: LeafState
    number: int
    sent_ms: float
    handle: AttemptHandle | None = None


__all__ = ["PendingAttempt"]
