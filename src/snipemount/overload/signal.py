"""Load of one service, as the responses of its leafs show it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from .level import FULL_ROUNDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import LoadReport

SMOOTHING_MS = 300.0
# Longer than a service counts as observed (`SILENT_AFTER_MS`): a daemon that sends few
# requests asks the leafs of a service one after the other.
LEAF_VALID_MS = 2000.0
SILENT_AFTER_MS = 1000.0
MAX_ROUNDS = 8.0  # bounds what one absurd report counts
MAX_LEAFS = 64


@attrs.define
class _LeafLoad:
    rounds: float
    at_ms: float


class ServiceSignal:
    """Smoothed wait at the leafs of a service, in rounds of its slots.

    One round is the time in which a leaf serves as many requests as it has slots.

    Attributes
    ----------
    reported_ms : float
        Time of the latest response with a load, or refusal; -inf before the first.
    """

    def __init__(self) -> None:
        self._leafs: dict[str, _LeafLoad] = {}
        self.reported_ms = -math.inf

    def note_report(self, leaf_id: str, load: LoadReport, now_ms: float) -> None:
        """Record the load that a leaf reports."""
        rounds = max(0, load.waiting) / max(1, load.slots)
        self._note(leaf_id, min(MAX_ROUNDS, rounds), now_ms)

    def note_refusal(self, leaf_id: str, now_ms: float) -> None:
        """Record that a leaf refused a request for lack of capacity.

        It counts only where leafs report their load: how it falls would not be known.
        """
        if self._leafs:
            self._note(leaf_id, FULL_ROUNDS, now_ms)

    def rounds(self, now_ms: float, leaf_count: Callable[[], int]) -> float:
        """Return the wait at the median leaf, the lower one of two.

        So one slow leaf is no overload of its service. Leafs that have not responded
        of late count as idle.

        Parameters
        ----------
        now_ms : float
            Current time.
        leaf_count : Callable
            Returns the number of leafs to count; called if a leaf has a queue.
        """
        if not self.is_observed(now_ms):
            return 0.0
        oldest_ms = now_ms - LEAF_VALID_MS
        waits = [leaf.rounds for leaf in self._leafs.values() if leaf.at_ms > oldest_ms]
        if not any(waits):
            return 0.0
        idle = max(0, leaf_count() - len(waits))
        waits = sorted(waits + [0.0] * idle)
        return waits[(len(waits) - 1) // 2]

    def is_observed(self, now_ms: float) -> bool:
        """Return whether a leaf has responded of late."""
        return now_ms - self.reported_ms <= SILENT_AFTER_MS

    def _note(self, leaf_id: str, rounds: float, now_ms: float) -> None:
        self.reported_ms = now_ms
        leaf = self._leafs.get(leaf_id)
        if leaf is None:
            self._make_room(now_ms)
            self._leafs[leaf_id] = _LeafLoad(rounds, now_ms)
            return
        weight = 1.0 - math.exp(-(now_ms - leaf.at_ms) / SMOOTHING_MS)
        # Several responses may be read at one time.
        leaf.rounds += max(0.1, weight) * (rounds - leaf.rounds)
        leaf.at_ms = now_ms

    def _make_room(self, now_ms: float) -> None:
        if len(self._leafs) < MAX_LEAFS:
            return
        oldest_ms = now_ms - LEAF_VALID_MS
        self._leafs = {k: v for k, v in self._leafs.items() if v.at_ms > oldest_ms}
        if len(self._leafs) >= MAX_LEAFS:
            self._leafs.clear()


__all__ = ["ServiceSignal"]
