"""Queries of operators: status, profiles, zones and moves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..decisions.requests.profile_check import check_profile, differences
from ..errors import NotFoundError
from ..model.store_version import StoreVersion
from ..ports.peer import SHARED_KINDS
from ..ports.platform import Kind

if TYPE_CHECKING:
    from ..model.move import MoveRecord
    from ..model.profile import Profile
    from .node import Node


@attrs.frozen
class DaemonStatus:
    """State of one daemon, as seen by this one.

    Parameters
    ----------
    name : str
        Name of the daemon.
    zone : str
        Its availability zone.
    alive : bool
        Whether this daemon counts it as alive.
    leaving : bool
        Whether the platform lists it as leaving.
    """

    name: str
    zone: str
    alive: bool
    leaving: bool


@attrs.frozen
class InForce:
    """How many daemons apply a revision.

    Parameters
    ----------
    kind : str
        Kind of the object, as its plural name.
    revision : int
        Revision in question.
    in_force : int
        Number of daemons that apply it or a later one.
    daemons : int
        Number of daemons known.
    missing : tuple of str
        Names of the daemons that are down or have not reported the revision.
    """

    kind: str
    revision: int
    in_force: int
    daemons: int
    missing: tuple[str, ...]


@attrs.frozen
class ZoneStatus:
    """State of one availability zone.

    Parameters
    ----------
    name : str
        Name of the zone.
    out : bool
        Whether operators have taken the zone out.
    servers : int
        Number of backend servers in the zone, counted once for each version.
    daemons_alive : int
        Number of daemons of the zone that are alive.
    """

    name: str
    out: bool
    servers: int
    daemons_alive: int


@attrs.frozen
class MoveStatus:
    """State of one version move.

    Parameters
    ----------
    service : str
        Service whose traffic is moved.
    move_id : str
        Unique id of the move.
    from_version : str
        Version that had the traffic before the move.
    to_version : str
        Version that has the traffic after the move.
    state : str
        Name of the state, in lower case.
    share : float
        Share of new queries that this daemon sends to the new version, 0 to 1.
    finish_wall_ms : float
        Wall-clock time by which the move has to be complete.
    judged : int
        Number of exchanges with the new version that were evaluated.
    clean : bool
        Whether there is little evidence against the new version.
    reason : str
        Why the move has ended or is held.
    """

    service: str
    move_id: str
    from_version: str
    to_version: str
    state: str
    share: float
    finish_wall_ms: float
    judged: int
    clean: bool
    reason: str


@attrs.frozen
class Status:
    """State of this daemon and of what it knows.

    Parameters
    ----------
    daemon : str
        Name of this daemon.
    ready : bool
        Whether it may be sent requests.
    daemons : tuple of DaemonStatus
        All known daemons, this one included.
    zones : tuple of ZoneStatus
        All availability zones.
    moves : tuple of MoveStatus
        All version moves, ended ones included.
    """

    daemon: str
    ready: bool
    daemons: tuple[DaemonStatus, ...]
    zones: tuple[ZoneStatus, ...]
    moves: tuple[MoveStatus, ...]


class AdminQueries:
    """Reads the state of the daemon without changing it.

    Parameters
    ----------
    node : Node
        Node of this daemon, whose state is read.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def status(self) -> Status:
        """Return the state of the daemon, its peers, the zones and the moves."""
        return Status(
            self._node.own.name,
            self._node.ready,
            self.daemons(),
            self.zones(),
            self.moves(),
        )

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return the state of all known daemons."""
        return tuple(
            DaemonStatus(m.name, m.zone, self._node.is_alive(m.name), m.leaving)
            for m in self._node.membership.members
        )

    def profiles(self) -> tuple[Profile, ...]:
        """Return all profiles that this daemon applies."""
        return self._node.catalogue.profiles()

    def profile(self, name: str) -> Profile:
        """Return the profile called `name` that this daemon applies.

        Raises
        ------
        NotFoundError
            When there is no profile of that name.
        """
        profile = self._node.catalogue.profile(name)
        if profile is None:
            raise NotFoundError(f"no profile {name!r}")
        return profile

    def check(self, name: str, document: Any) -> tuple[str, ...]:
        """Return the changes that a profile would make, one line each.

        Raises
        ------
        RequestError
            When the profile is invalid.
        """
        checked = check_profile(name, document)
        current = self._node.catalogue.profile(name)
        if current is None:
            return (f"{name} would be new",)
        return differences(current, checked)

    def in_force(self, kind: Kind, revision: int) -> InForce:
        """Return which daemons apply a revision; those not alive count as missing."""
        index = SHARED_KINDS.index(kind)
        missing = []
        present = self._node.catalogue.version(kind)
        wanted = StoreVersion(present.era, revision)
        members = self._node.membership.members
        for member in members:
            versions = self._node.known_versions(member.name)
            alive = self._node.is_alive(member.name)
            if not alive or len(versions) <= index or versions[index].precedes(wanted):
                missing.append(member.name)
        count = len(members)
        return InForce(
            kind.value, revision, count - len(missing), count, tuple(missing)
        )

    def zones(self) -> tuple[ZoneStatus, ...]:
        """Return the state of all zones with servers or daemons, or taken out."""
        out = self._node.catalogue.zones_out()
        servers: dict[str, int] = {}
        for record in self._node.catalogue.services():
            for version in record.versions:
                for server in version.servers:
                    servers[server.zone] = servers.get(server.zone, 0) + 1
        alive: dict[str, int] = {}
        for daemon in self.daemons():
            alive[daemon.zone] = alive.get(daemon.zone, 0) + daemon.alive
        return tuple(
            ZoneStatus(name, name in out, servers.get(name, 0), alive.get(name, 0))
            for name in sorted(servers.keys() | alive.keys() | out)
        )

    def moves(self) -> tuple[MoveStatus, ...]:
        """Return the state of all version moves, ended ones included."""
        return tuple(self._move_status(move) for move in self._node.catalogue.moves())

    def _move_status(self, move: MoveRecord) -> MoveStatus:
        evidence = self._node.mover.evidence(move.service)
        return MoveStatus(
            service=move.service,
            move_id=move.move_id,
            from_version=move.from_version,
            to_version=move.to_version,
            state=move.state.name.lower(),
            share=self._node.mover.share(move.service),
            finish_wall_ms=move.finish_wall_ms,
            judged=evidence.samples if evidence else 0,
            clean=evidence.clean if evidence else True,
            reason=move.reason,
        )


__all__ = ["AdminQueries", "InForce", "Status"]
