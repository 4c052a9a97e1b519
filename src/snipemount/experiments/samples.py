"""Requests of a simulated load, and whether their answers are correct."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..errors import ResultCode
from ..standins.backend_model import leaf_hits

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.answer import Answer
    from ..model.exchange import Hit
    from ..model.request import Request


@attrs.define(eq=False)
class Sample:
    """One request of the load and its answer.

    Parameters
    ----------
    request : Request
        Request as the daemon gets it.
    sent_ms : float
        Virtual time at which the caller sent it.
    elapsed_ms : float
        Time from sending until the answer is back at the caller; 0 while it is open.
    answer : Answer or None
        None while the request is open.
    correct : bool
        Whether the hits are those of the snapshot and shards that the answer states;
        True while the request is open.
    """

    request: Request
    sent_ms: float
    elapsed_ms: float = 0.0
    answer: Answer | None = None
    correct: bool = True

    @property
    def complete(self) -> bool:
        """Whether the request has a complete answer."""
        return self.answer is not None and self.answer.code is ResultCode.OK


def is_correct(request: Request, answer: Answer) -> bool:
    """Return whether an answer has the hits of the snapshot and shards it states."""
    if answer.coverage is None or answer.snapshot is None:
        return not answer.hits
    missing = {m.shard for m in answer.coverage.missing if not m.partial}
    total = answer.coverage.total
    if answer.coverage.answered + len(answer.coverage.missing) != total:
        return False
    if request.shard_key is not None:
        return True
    answered = [shard for shard in range(total) if shard not in missing]
    return answer.hits == expected_hits(request, answer.snapshot, answered)


def expected_hits(
    request: Request, snapshot: str, shards: Iterable[int]
) -> tuple[Hit, ...]:
    """Return the hits that an answer from all legs of `shards` must have."""
    merged = [
        hit
        for shard in shards
        for hit in leaf_hits(snapshot, shard, request.query, request.top_k)
    ]
    merged.sort(key=lambda hit: (-hit.score, hit.document))
    return tuple(merged[: request.top_k])


__all__ = ["Sample", "expected_hits", "is_correct"]
