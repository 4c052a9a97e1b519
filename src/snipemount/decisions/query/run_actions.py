"""Actions of a query run, and its record of a sent exchange."""

from __future__ import annotations

import attrs

from ...model.answer import Answer
from ...model.exchange import Exchange


@attrs.frozen
class SendExchange:
    """Submit an exchange to the owner of its server."""

    exchange: Exchange


@attrs.frozen
class CancelExchange:
    """Cancel an exchange at the owner of its server."""

    exchange_id: int
    server: str


@attrs.frozen
class WakeAt:
    """Call `QueryRun.wake` at `at_ms`."""

    at_ms: float


@attrs.frozen
class Finish:
    """End the run and return `answer` to the caller."""

    answer: Answer


@attrs.frozen
class Restart:
    """End the run and start the query again on a newer snapshot.

    Parameters
    ----------
    fallback : Answer
        Answer to the caller if there is no newer snapshot.
    """

    fallback: Answer


RunAction = SendExchange | CancelExchange | WakeAt | Finish | Restart


@attrs.define(eq=False)
class SentExchange:
    """An exchange that has been sent and has not ended.

    Parameters
    ----------
    exchange : Exchange
        The exchange as sent.
    sent_ms : float
        When it was sent.
    hedge_at_ms : float
        When it counts as slow and may be hedged.
    hedged : bool
        Whether no further hedge is due: it has counted as slow before, or is a
        hedge itself.
    """

    exchange: Exchange
    sent_ms: float
    hedge_at_ms: float
    hedged: bool = False


__all__ = [
    "CancelExchange",
    "Finish",
    "Restart",
    "RunAction",
    "SendExchange",
    "SentExchange",
    "WakeAt",
]
