"""What a caller gets back."""

from __future__ import annotations

import attrs

from ..errors import ResultCode
from .exchange import Hit, Reason


@attrs.frozen
class MissingShard:
    """A shard whose full answer is not in the merge.

    Parameters
    ----------
    shard : int
        Shard number.
    reason : Reason
        Why; `Reason.NONE` when the leaf itself answered in part.
    partial : bool
        True when some hits of the shard are in the answer.
    """

    shard: int
    reason: Reason
    partial: bool = False


@attrs.frozen
class Coverage:
    """How much of the pinned shard map an answer stands for.

    Parameters
    ----------
    total : int
        Shards that the request had to ask.
    answered : int
        Shards that answered in full.
    missing : tuple of MissingShard
        The others, each with its reason.
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
    """The end of a request.

    Parameters
    ----------
    request_id : str
        Request that it answers.
    code : ResultCode
        Result.
    not_run : bool
        True only when it is certain that no leg started.
    hits : tuple of Hit
        Best hits over all shards, best first.
    snapshot : str or None
        Token of the one snapshot behind the hits.
    coverage : Coverage or None
        None when the request was refused before it was planned.
    elapsed_ms : float
        Time inside the entry daemon.
    detail : str
        One line for a person.
    restarts : int
        How often the query was begun anew on a newer snapshot.
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
