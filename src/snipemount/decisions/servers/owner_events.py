"""Events that the owner of a backend server handles."""

from __future__ import annotations

from typing import ClassVar

import attrs

from ...model.exchange import Exchange
from ...model.fleet import BackendServer
from .owner_messages import Answered, Lost, NotConnected, Origin, Refused, Stopped


@attrs.frozen
class Submitted:
    """An entry daemon has submitted an exchange."""

    origin: Origin
    exchange: Exchange


@attrs.frozen
class Withdrawn:
    """An entry daemon has cancelled an exchange."""

    origin: Origin


@attrs.frozen
class Connected:
    """A connection has been opened or has answered a ping."""

    connection_id: int


@attrs.frozen
class ConnectFailed:
    """A connection could not be opened or did not answer a ping."""

    connection_id: int


@attrs.frozen
class Ended:
    """The exchange on a connection has ended."""

    connection_id: int
    outcome: Answered | Refused | Lost | NotConnected | Stopped


@attrs.frozen
class Ticked:
    """The periodic timer for queue and exchange timeouts has fired."""


@attrs.frozen
class ConnectionsChecked:
    """The periodic timer for the connection checks has fired."""


@attrs.frozen
class ShareSet:
    """The share of the server that this daemon may use has changed.

    Parameters
    ----------
    slots : int
        Limit of concurrent exchanges.
    connections : int
        Limit of open connections.
    """

    slots: int
    connections: int


@attrs.frozen
class ServerChanged:
    """The platform has a new description of the server."""

    server: BackendServer


@attrs.frozen
class OwnershipEnded:
    """The server is no longer used by this daemon.

    Traces contain `trace_name`, the former name of the class, so that traces of
    earlier releases can still be replayed.
    """

    trace_name: ClassVar[str] = "LaidDown"


OwnerEvent = (
    Submitted
    | Withdrawn
    | Connected
    | ConnectFailed
    | Ended
    | Ticked
    | ConnectionsChecked
    | ShareSet
    | ServerChanged
    | OwnershipEnded
)

__all__ = [
    "ConnectFailed",
    "Connected",
    "ConnectionsChecked",
    "Ended",
    "OwnerEvent",
    "OwnershipEnded",
    "ServerChanged",
    "ShareSet",
    "Submitted",
    "Ticked",
    "Withdrawn",
]
