"""The exchange that carries a part of a request to one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...model.exchange import Exchange

if TYPE_CHECKING:
    from ...model.exchange import Attempt
    from ...model.request import Request
    from ..servers.placement import ServerAssignment


def exchange_for(
    request: Request,
    assignment: ServerAssignment,
    *,
    exchange_id: int,
    snapshot: str,
    budget_ms: float,
    attempt: Attempt,
    proven: bool,
) -> Exchange:
    """Return the exchange for the shards that a server is assigned.

    Parameters
    ----------
    request : Request
        Request to carry.
    assignment : ServerAssignment
        Server and its shards.
    exchange_id : int
        Id, unique in the daemon.
    snapshot : str
        Token of the snapshot that the query pins.
    budget_ms : float
        Time until the answer is due.
    attempt : Attempt
        Whether it is a first attempt, a hedge or a retry.
    proven : bool
        Whether the request is known not to crash servers.
    """
    return Exchange(
        exchange_id=exchange_id,
        request_id=request.request_id,
        service=request.service,
        server=assignment.server.name,
        snapshot=snapshot,
        shards=assignment.shards,
        route=request.route,
        query=request.query,
        caller=request.caller,
        priority=request.priority,
        budget_ms=budget_ms,
        top_k=request.top_k,
        repeatable=request.repeatable,
        fingerprint=request.fingerprint,
        attempt=attempt,
        proven=proven,
        last_resort=assignment.last_resort,
    )


__all__ = ["exchange_for"]
