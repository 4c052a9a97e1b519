"""Port to the other daemons, and the messages that travel on it."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from ..decisions.membership import Member
from ..decisions.move_judge import EvidenceShare
from ..decisions.quarantine import StrikeNotice
from ..model.exchange import Exchange, ExchangeReply
from .platform import Kind, StoredObject

SHARED_KINDS = (Kind.PROFILE, Kind.SERVICE, Kind.ZONE, Kind.MOVE, Kind.MEMBER)


@attrs.frozen
class Heartbeat:
    """Sign of life of a daemon.

    Parameters
    ----------
    member : Member
        The daemon.
    versions : tuple of int
        Platform version up to which it follows each kind of `SHARED_KINDS`.
    """

    member: Member
    versions: tuple[int, ...] = ()


@attrs.frozen
class Goodbye:
    """A daemon has stopped in good order."""

    name: str


@attrs.frozen
class ReportDown:
    """A daemon has been silent towards its neighbour, the sender."""

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


@attrs.frozen
class ReportEvidence:
    """Evidence on a version move since the sender last told."""

    share: EvidenceShare


@attrs.frozen
class ReportBadMove:
    """The sender has judged the new version of a move bad."""

    move_id: str
    reason: str


@attrs.frozen
class AskCatalogue:
    """The sender has seen no version of a kind as high as the receiver's."""

    kind: Kind
    version: int


@attrs.frozen
class TellCatalogue:
    """All objects of a kind, as of a version."""

    kind: Kind
    version: int
    objects: tuple[StoredObject, ...]


PeerMessage = (
    Heartbeat
    | Goodbye
    | ReportDown
    | SubmitExchange
    | WithdrawExchange
    | ReportExchange
    | ReportStrike
    | ReportWarm
    | ReportEvidence
    | ReportBadMove
    | AskCatalogue
    | TellCatalogue
)


class PeerPort(ABC):
    """Sends messages to other daemons, in order and without an answer."""

    @abstractmethod
    def send(self, member: Member, message: PeerMessage) -> bool:
        """Queue a message; False when there is no connection to `member`."""


__all__ = [
    "SHARED_KINDS",
    "AskCatalogue",
    "Goodbye",
    "Heartbeat",
    "PeerMessage",
    "PeerPort",
    "ReportBadMove",
    "ReportDown",
    "ReportEvidence",
    "ReportExchange",
    "ReportStrike",
    "ReportWarm",
    "SubmitExchange",
    "TellCatalogue",
    "WithdrawExchange",
]
