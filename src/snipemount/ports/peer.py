"""Interface to the other daemons, and the messages that they exchange."""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs

from ..decisions.fleet.membership import Member
from ..decisions.moves.canary_analysis import EvidenceReport
from ..model.crash import StrikeNotice
from ..model.exchange import Exchange, ExchangeReply
from ..model.store_version import StoreVersion
from .platform import Kind, StoredObject

SHARED_KINDS = (Kind.PROFILE, Kind.SERVICE, Kind.ZONE, Kind.MOVE, Kind.MEMBER)


@attrs.frozen
class Heartbeat:
    """Periodic message by which a daemon shows that it is alive.

    Parameters
    ----------
    member : Member
        The daemon that sends it.
    versions : tuple of StoreVersion
        Store version up to which the daemon knows each kind, in the order of
        `SHARED_KINDS`.
    """

    member: Member
    versions: tuple[StoreVersion, ...] = ()


@attrs.frozen
class DaemonStopped:
    """A daemon has stopped after finishing its work."""

    name: str


@attrs.frozen
class ReportUnresponsive:
    """Reports that a daemon is unresponsive to the sender, its neighbour."""

    name: str


@attrs.frozen
class SubmitExchange:
    """Passes an exchange to the owner of its server."""

    exchange: Exchange


@attrs.frozen
class WithdrawExchange:
    """Cancels an exchange at the owner of its server."""

    exchange_id: int
    server: str


@attrs.frozen
class ReportExchange:
    """Reports the result of an exchange to the entry daemon that created it."""

    reply: ExchangeReply


@attrs.frozen
class ReportStrike:
    """Reports that a server was lost while it ran a request not known as harmless."""

    notice: StrikeNotice


@attrs.frozen
class ReportWarm:
    """Reports warm servers to a daemon that owns them now or may own them next."""

    servers: tuple[str, ...]


@attrs.frozen
class ReportEvidence:
    """Reports what the sender observed of a version move since its last report."""

    report: EvidenceReport


@attrs.frozen
class ReportBadMove:
    """Reports that the sender has found the new version of a move to be bad."""

    move_id: str
    reason: str


@attrs.frozen
class RequestCatalogue:
    """Requests all objects of a kind; `version` is the highest the sender knows."""

    kind: Kind
    version: StoreVersion


@attrs.frozen
class ReportCatalogue:
    """Reports all objects of a kind at a version of the store."""

    kind: Kind
    version: StoreVersion
    objects: tuple[StoredObject, ...]


PeerMessage = (
    Heartbeat
    | DaemonStopped
    | ReportUnresponsive
    | SubmitExchange
    | WithdrawExchange
    | ReportExchange
    | ReportStrike
    | ReportWarm
    | ReportEvidence
    | ReportBadMove
    | RequestCatalogue
    | ReportCatalogue
)


class PeerPort(ABC):
    """Sends messages to other daemons, in order and without acknowledgement."""

    @abstractmethod
    def send(self, member: Member, message: PeerMessage) -> bool:
        """Queue a message for another daemon.

        Returns
        -------
        bool
            Whether it was queued; False when there is no connection to `member` or
            its queue is full.
        """


__all__ = [
    "SHARED_KINDS",
    "DaemonStopped",
    "Heartbeat",
    "PeerMessage",
    "PeerPort",
    "ReportBadMove",
    "ReportCatalogue",
    "ReportEvidence",
    "ReportExchange",
    "ReportStrike",
    "ReportUnresponsive",
    "ReportWarm",
    "RequestCatalogue",
    "SubmitExchange",
    "WithdrawExchange",
]
