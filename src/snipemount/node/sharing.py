"""How the daemons of a zone share the limits of its backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..decisions.neighbours import neighbours
from ..decisions.ownership import (
    NO_SHARE,
    OwnerShare,
    Ownership,
    rendezvous_weight,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.membership import Membership
    from ..model.fleet import BackendServer


class Sharing(ABC):
    """Where exchanges for a server go, and what this daemon may use of it."""

    @abstractmethod
    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the daemon that sends exchanges to `server`, or None."""

    @abstractmethod
    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the daemons with which this one exchanges heartbeats."""

    @property
    @abstractmethod
    def generation(self) -> int:
        """Grows when the servers that this daemon may use can have changed."""

    @abstractmethod
    def may_use(self, server: BackendServer) -> bool:
        """Return whether this daemon can ever have a share of `server` now."""

    @abstractmethod
    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return this daemon's own share of `server`."""

    def successor(self, server: BackendServer) -> str | None:
        """Return the daemon that takes `server` over after this one."""
        return None


class OwnedSharing(Sharing):
    """Each server has one owner daemon in its zone.

    Parameters
    ----------
    membership : Membership
        View of the daemons.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._ownership = Ownership(membership)

    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return those that share a server, stand beside or pair with this one."""
        own, members = self._membership.own, self._membership.members
        in_zone = [server for server in servers if server.zone == own.zone]
        return neighbours(own, members, in_zone, self._ownership)

    @property
    def generation(self) -> int:
        """Return the generation of the membership."""
        return self._membership.generation

    def may_use(self, server: BackendServer) -> bool:
        """Return whether this daemon is the first or second owner."""
        return self._membership.own.name in self._ownership.owner_candidates(server)[:2]

    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the owner of `server`."""
        return self._ownership.owner(server, now_ms)

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return the owner's share."""
        return self._ownership.share(server, now_ms)

    def successor(self, server: BackendServer) -> str | None:
        """Return the second of the daemons that may own the server."""
        candidates = self._ownership.owner_candidates(server)
        return candidates[1] if len(candidates) > 1 else None


class StaticSharing(Sharing):
    """Each daemon sends to every server within a fixed part of its limits.

    The baseline that ownership is measured against.

    Parameters
    ----------
    membership : Membership
        View of the daemons.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return all other daemons."""
        own = self._membership.own.name
        return frozenset(m.name for m in self._membership.members if m.name != own)

    @property
    def generation(self) -> int:
        """Return the generation of the membership."""
        return self._membership.generation

    def may_use(self, server: BackendServer) -> bool:
        """Return whether the server stands in this daemon's zone."""
        return server.zone == self._membership.own.zone

    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return this daemon itself."""
        return self._membership.own.name

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return the part of `server` that falls to this daemon."""
        own = self._membership.own
        if server.zone != own.zone:
            return NO_SHARE
        names = [m.name for m in self._membership.members if m.zone == own.zone]
        names.sort(key=lambda name: rendezvous_weight(name, server.name))
        rank = names.index(own.name)
        slots = self._part(server.slots, rank, len(names))
        if slots == 0:
            return NO_SHARE
        connections = self._part(server.connection_limit, rank, len(names))
        return OwnerShare(slots, connections)

    @staticmethod
    def _part(whole: int, rank: int, count: int) -> int:
        return whole // count + (rank < whole % count)


__all__ = ["OwnedSharing", "Sharing", "StaticSharing"]
