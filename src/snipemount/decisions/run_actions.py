"""What the run of a query orders, and what it keeps of its exchanges."""

from __future__ import annotations

import attrs

from ..model.answer import Answer
from ..model.exchange import Exchange


@attrs.frozen
class SendExchange:
    """Hand an exchange to the owner of its server."""

    exchange: Exchange


@attrs.frozen
class CancelExchange:
    """Tell the owner that an exchange is no longer wanted."""

    exchange_id: int
    server: str


@attrs.frozen
class WakeAt:
    """Call `wake` at this time."""

    at_ms: float


@attrs.frozen
class Finish:
    """Give the caller this answer; the run is over."""

    answer: Answer


@attrs.frozen
class Restart:
    """Begin the query anew on a newer snapshot; the run is over."""

    fallback: Answer


RunAction = SendExchange | CancelExchange | WakeAt | Finish | Restart


@attrs.define(eq=False)
class Sent:
    """An exchange on its way."""

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
    "Sent",
    "WakeAt",
]
