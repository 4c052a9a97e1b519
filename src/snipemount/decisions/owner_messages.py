"""What the owner of a backend server is told, and what it orders."""

from __future__ import annotations

import attrs

from ..model.exchange import Exchange, ExchangeReply, Partial, Reason
from .connections import ConnectionAction


@attrs.frozen
class Origin:
    """Who handed an exchange over.

    Parameters
    ----------
    daemon : str
        Entry daemon's name.
    exchange_id : int
        Its id for the exchange.
    """

    daemon: str
    exchange_id: int


@attrs.frozen
class Answered:
    """The server answered an exchange in whole."""

    partials: tuple[Partial, ...]
    start_id: str
    draining: bool = False


@attrs.frozen
class Refused:
    """The server states that it did not start the exchange."""

    reason: Reason
    start_id: str | None = None


@attrs.frozen
class Lost:
    """The connection broke, or the answer was malformed, after sending."""

    reason: Reason


@attrs.frozen
class NotConnected:
    """The connection could not be used; nothing was sent."""


@attrs.frozen
class Stopped:
    """The server started the exchange and stopped it on our request."""


BackendOutcome = Answered | Refused | Lost | NotConnected | Stopped


@attrs.frozen
class Dispatch:
    """Send an exchange on a connection."""

    server: str
    connection_id: int
    exchange: Exchange
    budget_ms: float


@attrs.frozen
class CancelOnServer:
    """Tell the server that an exchange is no longer wanted."""

    server: str
    exchange: Exchange


@attrs.frozen
class Reply:
    """Report the end of an exchange to its entry daemon."""

    origin: Origin
    reply: ExchangeReply


@attrs.frozen
class Strike:
    """An exchange was in flight when its server was lost."""

    fingerprint: str
    server: str


OwnerAction = ConnectionAction | Dispatch | CancelOnServer | Reply | Strike


@attrs.define(eq=False)
class Held:
    """An exchange at the owner, waiting or running.

    Parameters
    ----------
    origin : Origin
        Who handed it over.
    exchange : Exchange
        The exchange.
    arrived_ms : float
        When it came.
    sent_ms : float
        When it was dispatched; meaningless while it waits.
    connection_id : int
        Connection that carries it; 0 while it waits.
    cancelled : bool
        True once the entry daemon no longer wants it.
    """

    origin: Origin
    exchange: Exchange
    arrived_ms: float
    sent_ms: float = 0.0
    connection_id: int = 0
    cancelled: bool = False

    def left_ms(self, now_ms: float) -> float:
        """Return the time left to the exchange."""
        return self.exchange.budget_ms - (now_ms - self.arrived_ms)


__all__ = [
    "Answered",
    "BackendOutcome",
    "CancelOnServer",
    "Dispatch",
    "Held",
    "Lost",
    "NotConnected",
    "Origin",
    "OwnerAction",
    "Refused",
    "Reply",
    "Stopped",
    "Strike",
]
