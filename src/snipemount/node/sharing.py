"""Rules by which the daemons of a zone share the limits of its backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..decisions.fleet.neighbours import neighbours
from ..decisions.fleet.ownership import (
    NO_SHARE,
    OwnerShare,
    Ownership,
    rendezvous_weight,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..decisions.fleet.membership import Membership
    from ..model.fleet import BackendServer


class Sharing(ABC):
    """Decides which daemon uses a server, and how much of its limits."""

    @abstractmethod
    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the daemon that receives exchanges for `server`; None if none."""

    @abstractmethod
    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the names of the daemons that this one exchanges heartbeats with."""

    @property
    @abstractmethod
    def generation(self) -> int:
        """Number that changes whenever `may_use` may have changed for a server."""

    @abstractmethod
    def may_use(self, server: BackendServer) -> bool:
        """Return whether this daemon may get a share of `server` in this generation."""

    @abstractmethod
    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return the part of the limits of `server` that this daemon may use now."""

    def successor(self, server: BackendServer) -> str | None:
        """Return the daemon that would use `server` after this one; None if none."""
        return None


class OwnedSharing(Sharing):
    """Assigns each server to one owner daemon in its zone.

    Parameters
    ----------
    membership : Membership
        Known daemons and which of them are alive.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership
        self._ownership = Ownership(membership)

    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return the daemons that `decisions.neighbours` pairs with this one."""
        own, members = self._membership.own, self._membership.members
        in_zone = [server for server in servers if server.zone == own.zone]
        return neighbours(own, members, in_zone, self._ownership)

    @property
    def generation(self) -> int:
        """Generation of the membership."""
        return self._membership.generation

    def may_use(self, server: BackendServer) -> bool:
        """Return whether this daemon is the first or second choice as owner."""
        return self._membership.own.name in self._ownership.owner_candidates(server)[:2]

    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the first live daemon among those that may own `server`."""
        return self._ownership.owner(server, now_ms)

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return the share that ownership assigns to this daemon."""
        return self._ownership.share(server, now_ms)

    def successor(self, server: BackendServer) -> str | None:
        """Return the second choice as owner of `server`."""
        candidates = self._ownership.owner_candidates(server)
        return candidates[1] if len(candidates) > 1 else None


class StaticSharing(Sharing):
    """Gives each daemon of the zone a fixed part of the limits of every server.

    Baseline with which ownership is compared.

    Parameters
    ----------
    membership : Membership
        Known daemons; each of them counts, alive or not.
    """

    def __init__(self, membership: Membership) -> None:
        self._membership = membership

    def neighbours(self, servers: Iterable[BackendServer]) -> frozenset[str]:
        """Return all other daemons."""
        own = self._membership.own.name
        return frozenset(m.name for m in self._membership.members if m.name != own)

    @property
    def generation(self) -> int:
        """Generation of the membership."""
        return self._membership.generation

    def may_use(self, server: BackendServer) -> bool:
        """Return whether `server` is in this daemon's zone."""
        return server.zone == self._membership.own.zone

    def daemon_for(self, server: BackendServer, now_ms: float) -> str | None:
        """Return the name of this daemon."""
        return self._membership.own.name

    def share(self, server: BackendServer, now_ms: float) -> OwnerShare:
        """Return an equal part of the limits of `server`.

        The remainder of the division goes to the daemons with the lowest
        rendezvous weights for the server.
        """
        own = self._membership.own
        if server.zone != own.zone:
            return NO_SHARE
        names = [m.name for m in self._membership.members if m.zone == own.zone]
        names.sort(key=lambda name: rendezvous_weight(name, server.name))
        rank = names.index(own.name)
        slots = self._part_of_limit(server.slots, rank, len(names))
        if slots == 0:
            return NO_SHARE
        connections = self._part_of_limit(server.connection_limit, rank, len(names))
        return OwnerShare(slots, connections)

    @staticmethod
    def _part_of_limit(limit: int, rank: int, count: int) -> int:
        return limit // count + (rank < limit % count)


__all__ = ["OwnedSharing", "Sharing", "StaticSharing"]
