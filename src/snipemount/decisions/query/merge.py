"""Merge of the partial answers to one query, and their coverage."""

from __future__ import annotations

import heapq
import math
from enum import IntEnum
from typing import TYPE_CHECKING

from ...model.answer import Coverage, MissingShard
from ...model.exchange import Reason

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...model.exchange import Hit, Partial


class MergeResult(IntEnum):
    """Result of adding a partial answer to a merge."""

    MERGED = 0
    DUPLICATE = 1
    WRONG_SNAPSHOT = 2
    UNKNOWN_SHARD = 3
    MALFORMED = 4


class Merge:
    """Merged partial answers of one query.

    Partial answers that were computed from another snapshot are rejected, so
    that all hits come from one snapshot.

    Parameters
    ----------
    snapshot : str
        Token of the pinned snapshot.
    shards : Iterable of int
        Shards that the query covers.
    top_k : int
        Maximum number of hits in the answer and in each partial answer.
    """

    def __init__(self, snapshot: str, shards: Iterable[int], top_k: int) -> None:
        self._snapshot = snapshot
        self._top_k = top_k
        self._reasons: dict[int, Reason] = dict.fromkeys(shards, Reason.DEADLINE)
        self._partials: dict[int, Partial] = {}
        self._answered = 0

    @property
    def answered_any(self) -> bool:
        """Whether any shard has answered, completely or partially."""
        return bool(self._partials)

    @property
    def complete(self) -> bool:
        """Whether every shard has answered completely."""
        return self._answered == len(self._reasons)

    def add(self, partial: Partial) -> MergeResult:
        """Merge one partial answer unless it is invalid or a duplicate.

        A complete answer replaces an incomplete one of the same shard.

        Returns
        -------
        MergeResult
            MERGED, or the reason why the partial answer was not merged.
        """
        if partial.shard not in self._reasons:
            return MergeResult.UNKNOWN_SHARD
        if partial.snapshot != self._snapshot:
            return MergeResult.WRONG_SNAPSHOT
        if not self._is_well_formed(partial):
            return MergeResult.MALFORMED
        existing = self._partials.get(partial.shard)
        if existing is not None and (existing.complete or not partial.complete):
            return MergeResult.DUPLICATE
        self._partials[partial.shard] = partial
        self._answered += partial.complete
        return MergeResult.MERGED

    def note_failure(self, shard: int, reason: Reason) -> None:
        """Set the reason that the coverage states if `shard` stays unanswered."""
        if shard in self._reasons:
            self._reasons[shard] = reason

    def is_answered(self, shard: int) -> bool:
        """Return whether `shard` has answered completely."""
        partial = self._partials.get(shard)
        return partial is not None and partial.complete

    def unanswered(self) -> tuple[int, ...]:
        """Return the shards that have not answered completely."""
        return tuple(shard for shard in self._reasons if not self.is_answered(shard))

    def coverage(self) -> Coverage:
        """Return the current coverage, with a reason for each missing shard."""
        missing = tuple(self._missing(shard) for shard in self.unanswered())
        return Coverage(len(self._reasons), self._answered, missing)

    def hits(self) -> tuple[Hit, ...]:
        """Return the `top_k` best hits, best first; ties are sorted by document."""
        merged = (hit for partial in self._partials.values() for hit in partial.hits)
        best = heapq.nsmallest(
            self._top_k, merged, key=lambda hit: (-hit.score, hit.document)
        )
        return tuple(best)

    def _missing(self, shard: int) -> MissingShard:
        partial = shard in self._partials
        reason = Reason.NONE if partial else self._reasons[shard]
        return MissingShard(shard, reason, partial)

    def _is_well_formed(self, partial: Partial) -> bool:
        if len(partial.hits) > self._top_k:
            return False
        return all(math.isfinite(hit.score) for hit in partial.hits)


__all__ = ["Merge", "MergeResult"]
