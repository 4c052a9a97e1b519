"""Answer to a caller's request, with the coverage of its shards."""

from __future__ import annotations

import attrs

from ..errors import ResultCode
from .exchange import Hit, Reason


@attrs.frozen
class MissingShard:
    """A shard whose full answer is missing from the merged hits.

    Parameters
    ----------
    shard : int
        Shard number.
    reason : Reason
        Why it is missing; `Reason.NONE` when its leaf gave a partial answer.
    partial : bool
        Whether the answer includes some hits of the shard.
    """

    shard: int
    reason: Reason
    partial: bool = False


@attrs.frozen
class Coverage:
    """Number of shards of the pinned shard map that an answer covers.

    Parameters
    ----------
    total : int
        Number of shards that the request queries.
    answered : int
        Number of shards that answered in full.
    missing : tuple of MissingShard
        The other shards, each with its reason.
    """

    total: int
    answered: int
    missing: tuple[MissingShard, ...] = ()

    @property
    def complete(self) -> bool:
        """Whether every shard answered in full."""
        return self.answered == self.total


@attrs.define(eq=False)
class Answer:
    """The result of a request, as returned to the caller.

    Parameters
    ----------
    request_id : str
        Id of the request.
    code : ResultCode
        Result code.
    not_run : bool
        True only when it is certain that no backend server started a leg.
    hits : tuple of Hit
        Best hits over all shards, best first.
    snapshot : str or None
        Token of the snapshot that all hits come from.
    coverage : Coverage or None
        Shards covered; None when the request was refused before its shards were
        known.
    elapsed_ms : float
        Time that the request spent in the entry daemon.
    detail : str
        Explanation of the result, one line of text.
    restarts : int
        How often the query was restarted on a newer snapshot.
    """

    request_id: str
    code: ResultCode
    not_run: bool = False
    hits: tuple[Hit, ...] = ()
    snapshot: str | None = None
    coverage: Coverage | None = None
    elapsed_ms: float = 0.0
    detail: str = ""
    restarts: int = 0


__all__ = ["Answer", "Coverage", "MissingShard"]
