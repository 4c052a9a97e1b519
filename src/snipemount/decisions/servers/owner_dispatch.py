"""Dispatch of events to the owner of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .owner_events import (
    Connected,
    ConnectFailed,
    ConnectionsChecked,
    Ended,
    OwnerEvent,
    OwnershipEnded,
    ServerChanged,
    ShareSet,
    Submitted,
    Ticked,
    Withdrawn,
)

if TYPE_CHECKING:
    from .owner_messages import OwnerAction
    from .server_owner import ServerOwner


def handle(owner: ServerOwner, event: OwnerEvent, now_ms: float) -> list[OwnerAction]:
    """Pass an event to the matching method of `owner`; return its actions."""
    match event:
        case Submitted(origin, exchange):
            return owner.submit(origin, exchange, now_ms)
        case Withdrawn(origin):
            return owner.cancel(origin, now_ms)
        case Connected(connection_id):
            return owner.connected(connection_id, now_ms)
        case ConnectFailed(connection_id):
            return owner.connect_failed(connection_id, now_ms)
        case Ended(connection_id, outcome):
            return owner.ended(connection_id, outcome, now_ms)
        case Ticked():
            return owner.tick(now_ms)
        case ConnectionsChecked():
            return owner.check_connections(now_ms)
        case ShareSet(slots, connections):
            return owner.set_slots(slots, connections, now_ms)
        case ServerChanged(server):
            owner.update_server(server)
            return []
        case OwnershipEnded():
            return owner.stop(now_ms)


__all__ = ["handle"]
