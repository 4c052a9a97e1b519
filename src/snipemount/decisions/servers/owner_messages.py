"""Inputs and actions of the owner of a backend server."""

from __future__ import annotations

import attrs

from ...model.exchange import Exchange, ExchangeReply, Partial, Reason
from .connections import ConnectionAction


@attrs.frozen
class Origin:
    """Sender of an exchange.

    Parameters
    ----------
    daemon : str
        Name of the entry daemon.
    exchange_id : int
        Id that the entry daemon gave the exchange.
    """

    daemon: str
    exchange_id: int


@attrs.frozen
class Answered:
    """The server answered all legs of an exchange.

    Parameters
    ----------
    partials : tuple of Partial
        One for each leaf.
    start_id : str
        Id of the server's current start.
    draining : bool
        Whether the server reports that it is draining.
    """

    partials: tuple[Partial, ...]
    start_id: str
    draining: bool = False


@attrs.frozen
class Refused:
    """The server refused the exchange and states that it did not start it.

    Parameters
    ----------
    reason : Reason
        Why it refused.
    start_id : str or None
        Id of the server's current start, if the refusal contains it.
    """

    reason: Reason
    start_id: str | None = None


@attrs.frozen
class Lost:
    """The exchange was sent, but no valid answer arrived; it may have run."""

    reason: Reason


@attrs.frozen
class NotConnected:
    """The connection was not usable, and nothing was sent."""


@attrs.frozen
class Stopped:
    """The server started the exchange and cancelled it on request."""


BackendOutcome = Answered | Refused | Lost | NotConnected | Stopped


@attrs.frozen
class Dispatch:
    """Send an exchange to `server` on a connection, with `budget_ms` left for it."""

    server: str
    connection_id: int
    exchange: Exchange
    budget_ms: float


@attrs.frozen
class CancelOnServer:
    """Cancel a running exchange at the server."""

    server: str
    exchange: Exchange


@attrs.frozen
class Reply:
    """Report the end of an exchange to its entry daemon."""

    origin: Origin
    reply: ExchangeReply


@attrs.frozen
class Strike:
    """Count a strike against a request.

    Its exchange was in flight when the connection to the server was lost, and
    the request is not known to be harmless.
    """

    fingerprint: str
    server: str


OwnerAction = ConnectionAction | Dispatch | CancelOnServer | Reply | Strike


@attrs.define(eq=False)
class SubmittedExchange:
    """An exchange submitted to the owner, queued or running.

    Parameters
    ----------
    origin : Origin
        Sender of the exchange.
    exchange : Exchange
        The exchange as submitted.
    arrived_ms : float
        When it was submitted.
    sent_ms : float
        When it was sent to the server; 0 while it is queued.
    connection_id : int
        Connection on which it was sent; 0 while it is queued.
    cancelled : bool
        Whether the entry daemon has cancelled it.
    """

    origin: Origin
    exchange: Exchange
    arrived_ms: float
    sent_ms: float = 0.0
    connection_id: int = 0
    cancelled: bool = False

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline of the exchange."""
        return self.exchange.budget_ms - (now_ms - self.arrived_ms)


__all__ = [
    "Answered",
    "BackendOutcome",
    "CancelOnServer",
    "Dispatch",
    "Lost",
    "NotConnected",
    "Origin",
    "OwnerAction",
    "Refused",
    "Reply",
    "Stopped",
    "Strike",
    "SubmittedExchange",
]
