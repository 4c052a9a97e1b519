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
    is_apart : bool
        Whether others are kept from the leaf, as the request may crash it.
    handle : AttemptHandle or None
        Cancels it; None until the port has returned one.
    """

    state: LeafState
    number: int
    sent_ms: float
    is_apart: bool = False
    handle: AttemptHandle | None = None


__all__ = ["PendingAttempt"]
