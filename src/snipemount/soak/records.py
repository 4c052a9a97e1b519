"""What callers and leafs of a soak have seen."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import attrs


class Ending(Enum):
    """How a caller's try ended."""

    ANSWERED = "answered"
    CUT = "cut"
    UNREACHABLE = "unreachable"
    LEFT = "left"


@attrs.frozen
class LeafRun:
    """One request that a leaf began to work on.

    Parameters
    ----------
    request_id : str
        The caller's id.
    leaf_id : str
        Leaf that ran it.
    service : str
        Its service.
    at_ms : float
        When it began.
    """

    request_id: str
    leaf_id: str
    service: str
    at_ms: float


@attrs.define(eq=False)
class Attempt:
    """One request of a caller and what came of it.

    Parameters
    ----------
    request_id : str
        Unique.
    route : str
        Route's name.
    daemon : str
        Daemon that got it.
    sent_ms : float
        When it was sent.
    ended_ms : float
        When the answer or the end came.
    ending : Ending or None
        None while it runs.
    status : int
        HTTP status of an answer.
    receipts : tuple of str
        Leafs' proofs in the answer.
    missing : int
        Shards left out, as the answer says.
    body : bytes
        Body of the answer.
    """

    request_id: str
    route: str
    daemon: str
    sent_ms: float
    ended_ms: float = 0.0
    ending: Ending | None = None
    status: int = 0
    receipts: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@attrs.frozen
class Disturbance:
    """A fault that was brought about, and how long it lasted.

    Parameters
    ----------
    kind : str
        What it was.
    subject : str
        Daemon or leaf concerned, or the store.
    from_ms : float
        Its start.
    to_ms : float
        Its end.
    """

    kind: str
    subject: str
    from_ms: float
    to_ms: float


@attrs.define(eq=False)
class Records:
    """All that was seen in one soak."""

    attempts: list[Attempt] = attrs.field(factory=list)
    runs: list[LeafRun] = attrs.field(factory=list)
    arrivals: list[LeafRun] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    left_at_ms: dict[str, float] = attrs.field(factory=dict)

    def runs_by_request(self) -> dict[str, list[LeafRun]]:
        """Return the runs of each request."""
        found: defaultdict[str, list[LeafRun]] = defaultdict(list)
        for run in self.runs:
            found[run.request_id].append(run)
        return found


__all__ = ["Attempt", "Disturbance", "Ending", "LeafRun", "Records"]
