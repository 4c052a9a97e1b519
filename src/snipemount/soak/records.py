"""Records of a soak: requests of callers, arrivals at leafs, injected faults."""

from __future__ import annotations

from collections import defaultdict
from enum import Enum

import attrs


class CallerOutcome(Enum):
    """How a caller's request ended.

    `ANSWERED` means a complete HTTP response of any status, `MALFORMED` one that is
    not valid HTTP, `CONNECTION_LOST` a connection that broke before that,
    `UNREACHABLE` that no connection could be opened, and `ABANDONED` that the caller
    stopped waiting.
    """

    ANSWERED = "answered"
    MALFORMED = "malformed"
    CONNECTION_LOST = "cut"
    UNREACHABLE = "unreachable"
    ABANDONED = "left"


@attrs.frozen
class LeafArrival:
    """One request that arrived at a leaf.

    Parameters
    ----------
    request_id : str
        Id that the caller gave the request.
    leaf_id : str
        Leaf at which it arrived.
    service : str
        Service of that leaf.
    at_ms : float
        Time of the arrival.
    """

    request_id: str
    leaf_id: str
    service: str
    at_ms: float


@attrs.define(eq=False)
class CallerRequest:
    """One request of a caller and its outcome.

    Parameters
    ----------
    request_id : str
        Id of the request, unique in the soak.
    route : str
        Name of the route.
    daemon : str
        Daemon to which it was sent.
    sent_ms : float
        Time at which it was sent.
    ended_ms : float
        Time of the outcome; 0 while the request is pending.
    outcome : CallerOutcome or None
        None while the request is pending.
    status : int
        HTTP status of the response; 0 without one.
    receipts : tuple of str
        Receipts in the response, one of each leaf that took part.
    missing : int
        Number of missing shards that the response states.
    body : bytes
        Body of the response.
    """

    request_id: str
    route: str
    daemon: str
    sent_ms: float
    ended_ms: float = 0.0
    outcome: CallerOutcome | None = None
    status: int = 0
    receipts: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""


@attrs.frozen
class FaultRecord:
    """An injected fault and its duration.

    Parameters
    ----------
    kind : str
        Value of the `FaultKind`.
    subject : str
        Name of the daemon, id of the leaf, or "store".
    start_ms : float
        Start of the fault.
    end_ms : float
        End of the fault.
    """

    kind: str
    subject: str
    start_ms: float
    end_ms: float


@attrs.define(eq=False)
class Records:
    """Everything that one soak records.

    Parameters
    ----------
    requests : list of CallerRequest
        Requests of all callers, in the order in which they were sent.
    runs : list of LeafArrival
        The arrivals whose request the leaf executed.
    arrivals : list of LeafArrival
        All requests that arrived at leafs, also those that a leaf turned away.
    faults : list of FaultRecord
        Injected faults, in the order in which they ended.
    drain_started_ms : dict
        Time at which each draining leaf was marked as draining, by leaf id.
    """

    requests: list[CallerRequest] = attrs.field(factory=list)
    runs: list[LeafArrival] = attrs.field(factory=list)
    arrivals: list[LeafArrival] = attrs.field(factory=list)
    faults: list[FaultRecord] = attrs.field(factory=list)
    drain_started_ms: dict[str, float] = attrs.field(factory=dict)

    def runs_by_request(self) -> dict[str, list[LeafArrival]]:
        """Return the executed arrivals by request id."""
        runs: defaultdict[str, list[LeafArrival]] = defaultdict(list)
        for run in self.runs:
            runs[run.request_id].append(run)
        return runs


__all__ = ["CallerOutcome", "CallerRequest", "FaultRecord", "LeafArrival", "Records"]
