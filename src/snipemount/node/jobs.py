"""Requests in a daemon, and the exchanges that they wait for."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.claims import ClaimRecord
    from ..decisions.query_run import QueryRun
    from ..model.answer import Answer
    from ..model.exchange import Exchange, ExchangeReply
    from ..model.request import Request


@attrs.define(eq=False)
class Job:
    """A caller's request while it is in the daemon.

    Parameters
    ----------
    request : Request
        The request.
    done : Callable
        Gets the answer, once.
    started_ms : float
        When it arrived.
    run : QueryRun or None
        The run on its snapshot.
    claim : ClaimRecord or None
        Claim of its idempotency key, once granted.
    restarts : int
        Restarts on a newer snapshot.
    proving : bool
        Whether other requests of the same fingerprint wait for it.
    """

    request: Request
    done: Callable[[Answer], None]
    started_ms: float
    run: QueryRun | None = None
    claim: ClaimRecord | None = None
    restarts: int = 0
    proving: bool = False


@attrs.define(eq=False)
class Pending:
    """An exchange that has not ended, and the daemon that has it."""

    job: Job
    run: QueryRun
    exchange: Exchange
    daemon: str
    sent_ms: float

    def matches(self, reply: ExchangeReply, daemon: str) -> bool:
        """Return whether `reply` from `daemon` is the end of this exchange."""
        exchange = self.exchange
        same = reply.request_id == exchange.request_id
        return same and reply.server == exchange.server and daemon == self.daemon


__all__ = [
    "Job",
    "Pending",
]
