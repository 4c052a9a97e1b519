"""Ownership of backend servers: which daemon may use how many slots."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ...model.fleet import BackendServer
    from .membership import Membership


@attrs.frozen
class OwnerShare:
    """Part of a backend server's capacity that a daemon may use.

    Parameters
    ----------
    slots : int
        Limit of concurrent exchanges.
    connections : int
        Limit of open connections.
    """

    slots: int
    connections: int


NO_SHARE = OwnerShare(0, 0)


def rendezvous_weight(member: str, server: str) -> int:
    """Return the rendezvous hash of a daemon and a server.

    The daemon with the highest weight is the first choice as owner.
    """
    digest = hashlib.blake2b(f"{member}\0{server}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


class Ownership:
    """Assigns servers to daemons by rendezvous hashing within the server's zone.

    While the second daemon in rendezvous order sends heartbeats, the first may
    use the whole server. When heartbeats of the second are overdue, the first
    drops to the larger half of slots and connections. The second takes the
    smaller half only after heartbeats of the first have been missing for longer
    than that. So both together never use more than the whole server, whichever
    of them is cut off or paused.

    Parameters
    ----------
    membership : Membership
        Known daemons and which of them are alive.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._candidates: dict[tuple[str, str], tuple[str, ...]] = {}
        self._generation = -1

    def owner_candidates(self, server: BackendServer) -> tuple[str, ...]:
        """Return the daemons that may own `server`, by descending weight.

        The daemons of the server's zone; all daemons if that zone has none.
        """
        if self._generation != self._membership.generation:
            self._generation = self._membership.generation
            self._candidates.clear()
        key = (server.zone, server.name)
        found = self._candidates.get(key)
        if found is None:
            found = self._candidates[key] = self._rank_candidates(server)
        return found

    def owner(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the daemon to which exchanges for `server` are sent; None if none."""
        for name in self.owner_candidates(server):
            if self._membership.is_alive(name, now_ms):
                return name
        return None

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return the part of `server` that this daemon may use at `now_ms`."""
        membership = self._membership
        candidates = self.owner_candidates(server)
        own = membership.own.name
        if own not in candidates[:2] or not membership.is_settled(now_ms):
            return NO_SHARE
        if candidates[0] == own:
            second_suspect = any(
                membership.is_suspect(n, now_ms) for n in candidates[1:2]
            )
            return (
                self._larger_half(server)
                if second_suspect
                else self._whole_share(server)
            )
        if membership.is_alive(candidates[0], now_ms):
            return NO_SHARE
        return self._smaller_half(server)

    def _rank_candidates(self, server: BackendServer) -> tuple[str, ...]:
        members = self._membership.members
        in_zone = [m for m in members if m.zone == server.zone]
        candidates = in_zone or list(members)
        ranked = sorted(
            candidates,
            key=lambda m: (-rendezvous_weight(m.name, server.name), m.name),
        )
        return tuple(member.name for member in ranked)

    @staticmethod
    def _whole_share(server: BackendServer) -> OwnerShare:
        return OwnerShare(server.slots, server.connection_limit)

    @staticmethod
    def _larger_half(server: BackendServer) -> OwnerShare:
        slots = server.slots - server.slots // 2
        return OwnerShare(slots, server.connection_limit - server.connection_limit // 2)

    @staticmethod
    def _smaller_half(server: BackendServer) -> OwnerShare:
        return OwnerShare(server.slots // 2, server.connection_limit // 2)


__all__ = ["NO_SHARE", "OwnerShare", "Ownership", "rendezvous_weight"]
