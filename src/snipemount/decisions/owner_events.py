"""Events that a server's owner decides on."""

from __future__ import annotations

import attrs

from ..model.exchange import Exchange
from ..model.fleet import BackendServer
from .owner_messages import Answered, Lost, NotConnected, Origin, Refused, Stopped


@attrs.frozen
class Submitted:
    """An entry daemon has handed an exchange over."""

    origin: Origin
    exchange: Exchange


@attrs.frozen
class Withdrawn:
    """An entry daemon no longer wants an exchange."""

    origin: Origin


@attrs.frozen
class Connected:
    """A connection has opened or answered a ping."""

    connection_id: int


@attrs.frozen
class ConnectFailed:
    """A connection did not open or did not answer a ping."""

    connection_id: int


@attrs.frozen
class Ended:
    """The exchange on a connection has ended."""

    connection_id: int
    outcome: Answered | Refused | Lost | NotConnected | Stopped


@attrs.frozen
class Ticked:
    """Time has passed."""


@attrs.frozen
class ConnectionsChecked:
    """It is time to look after the connections."""


@attrs.frozen
class ShareSet:
    """The share of the server has been worked out anew."""

    slots: int
    connections: int


@attrs.frozen
class ServerChanged:
    """The platform describes the server anew."""

    server: BackendServer


@attrs.frozen
class LaidDown:
    """The server is no longer used by this daemon."""


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
    | LaidDown
)

__all__ = [
    "ConnectFailed",
    "Connected",
    "ConnectionsChecked",
    "Ended",
    "LaidDown",
    "OwnerEvent",
    "ServerChanged",
    "ShareSet",
    "Submitted",
    "Ticked",
    "Withdrawn",
]
