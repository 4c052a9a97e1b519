"""Requests that a daemon is running, and their pending exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.query.query_run import QueryRun
    from ..decisions.requests.claims import ClaimRecord
    from ..model.answer import Answer
    from ..model.exchange import Exchange, ExchangeReply
    from ..model.request import Request


@attrs.define(eq=False)
class Job:
    """A caller's request that has not been answered.

    Parameters
    ----------
    request : Request
        Validated request.
    done : Callable
        Receives the answer, once.
    started_ms : float
        Time at which the request arrived.
    run : QueryRun or None
        Current run on a pinned snapshot; None before the first one.
    claim : ClaimRecord or None
        Claim of its idempotency key; None until it is granted.
    restarts : int
        Number of restarts on another snapshot.
    proving : bool
        Whether other requests with the same fingerprint have to wait until this
        one is proven or has finished.
    """

    request: Request
    done: Callable[[Answer], None]
    started_ms: float
    run: QueryRun | None = None
    claim: ClaimRecord | None = None
    restarts: int = 0
    proving: bool = False


@attrs.define(eq=False)
class PendingExchange:
    """An exchange without a reply so far.

    Parameters
    ----------
    job : Job
        Request that it belongs to.
    run : QueryRun
        Run that sent it.
    exchange : Exchange
        Exchange as sent.
    daemon : str
        Owner daemon that it was sent to; empty if it could not be sent.
    sent_ms : float
        Time at which it was sent.
    """

    job: Job
    run: QueryRun
    exchange: Exchange
    daemon: str
    sent_ms: float

    def matches(self, reply: ExchangeReply, daemon: str) -> bool:
        """Return whether `reply` from `daemon` is the reply to this exchange."""
        exchange = self.exchange
        same = reply.request_id == exchange.request_id
        return same and reply.server == exchange.server and daemon == self.daemon


__all__ = [
    "Job",
    "PendingExchange",
]
