"""Which daemon of a zone owns a backend server, and with how many slots."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..model.fleet import BackendServer
    from .membership import Membership


@attrs.frozen
class OwnerShare:
    """What a daemon may use of one backend server.

    Parameters
    ----------
    slots : int
        Exchanges at once.
    connections : int
        Connections at once.
    """

    slots: int
    connections: int


NO_SHARE = OwnerShare(0, 0)


def rendezvous_weight(member: str, server: str) -> int:
    """Return the weight of `member` for `server`; the greatest one owns it."""
    digest = hashlib.blake2b(f"{member}\0{server}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


class Ownership:
    """Owners by rendezvous hashing over the daemons of a server's zone.

    While the second daemon in rendezvous order is heard, the first may use the
    whole server. As soon as the second is silent, the first falls to the larger
    half of slots and connections, and the second takes the smaller half only
    after the first has been silent for longer: the two halves never add up to
    more than the whole, whichever of them is cut off or paused.

    Parameters
    ----------
    membership : Membership
        View of the daemons.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._orders: dict[tuple[str, str], tuple[str, ...]] = {}
        self._generation = -1

    def order(self, server: BackendServer) -> tuple[str, ...]:
        """Return the daemons that may own `server`, first choice first."""
        if self._generation != self._membership.generation:
            self._generation = self._membership.generation
            self._orders.clear()
        key = (server.zone, server.name)
        found = self._orders.get(key)
        if found is None:
            found = self._orders[key] = self._compute_order(server)
        return found

    def owner(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the daemon to which legs for `server` are to be sent."""
        for name in self.order(server):
            if self._membership.is_alive(name, now_ms):
                return name
        return None

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return what this daemon itself may use of `server` now."""
        membership = self._membership
        order = self.order(server)
        own = membership.own.name
        if own not in order[:2] or not membership.is_settled(now_ms):
            return NO_SHARE
        if order[0] == own:
            doubt = any(membership.is_doubtful(n, now_ms) for n in order[1:2])
            return self._larger(server) if doubt else self._whole(server)
        if membership.is_alive(order[0], now_ms):
            return NO_SHARE
        return self._smaller(server)

    def _compute_order(self, server: BackendServer) -> tuple[str, ...]:
        members = self._membership.members
        in_zone = [m for m in members if m.zone == server.zone]
        candidates = in_zone or list(members)
        ranked = sorted(
            candidates,
            key=lambda m: (-rendezvous_weight(m.name, server.name), m.name),
        )
        return tuple(member.name for member in ranked)

    @staticmethod
    def _whole(server: BackendServer) -> OwnerShare:
        return OwnerShare(server.slots, server.connection_limit)

    @staticmethod
    def _larger(server: BackendServer) -> OwnerShare:
        slots = server.slots - server.slots // 2
        return OwnerShare(slots, server.connection_limit - server.connection_limit // 2)

    @staticmethod
    def _smaller(server: BackendServer) -> OwnerShare:
        return OwnerShare(server.slots // 2, server.connection_limit // 2)


__all__ = ["NO_SHARE", "OwnerShare", "Ownership", "rendezvous_weight"]
