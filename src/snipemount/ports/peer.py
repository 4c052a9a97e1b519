"""Port to the other daemons, and the messages that travel on it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from ..decisions.membership import Member
from ..decisions.quarantine import StrikeNotice
from ..model.exchange import Exchange, ExchangeReply


@attrs.frozen
class Heartbeat:
    """Sign of life of a daemon."""

    member: Member


@attrs.frozen
class Goodbye:
    """A daemon has stopped in good order."""

    name: str


@attrs.frozen
class SubmitExchange:
    """An exchange for the owner of its server."""

    exchange: Exchange


@attrs.frozen
class WithdrawExchange:
    """The entry daemon no longer wants an exchange."""

    exchange_id: int
    server: str


@attrs.frozen
class ReportExchange:
    """The end of an exchange, for the entry daemon that made it."""

    reply: ExchangeReply


@attrs.frozen
class ReportStrike:
    """A server was lost to a request."""

    notice: StrikeNotice


@attrs.frozen
class ReportWarm:
    """Servers that their owner has warmed up, for who may own them next."""

    servers: tuple[str, ...]


PeerMessage = (
    Heartbeat
    | Goodbye
    | SubmitExchange
    | WithdrawExchange
    | ReportExchange
    | ReportStrike
    | ReportWarm
)


class PeerPort(ABC):
    """Sends messages to other daemons, in order and without an answer."""

    @abstractmethod
    def send(self, member: Member, message: PeerMessage) -> bool:
        """Queue a message; False when there is no connection to `member`."""


__all__ = [
    "Goodbye",
    "Heartbeat",
    "PeerMessage",
    "PeerPort",
    "ReportExchange",
    "ReportStrike",
    "ReportWarm",
    "SubmitExchange",
    "WithdrawExchange",
]
