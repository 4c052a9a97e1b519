"""What operators can see: status, profiles, zones, moves, events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ..decisions.profile_check import check_profile, differences
from ..errors import NotFoundError
from ..ports.peer import SHARED_KINDS
from ..ports.platform import Kind

if TYPE_CHECKING:
    from ..model.move import MoveRecord
    from ..model.profile import Profile
    from .node import Node


@attrs.frozen
class DaemonStatus:
    """One daemon as this one sees it."""

    name: str
    zone: str
    alive: bool
    leaving: bool


@attrs.frozen
class InForce:
    """Where a revision is in force.

    Parameters
    ----------
    kind : str
        Kind of object.
    revision : int
        Revision asked for.
    in_force : int
        Daemons that follow it.
    daemons : int
        Daemons known.
    missing : tuple of str
        Daemons that have not said that they follow it.
    """

    kind: str
    revision: int
    in_force: int
    daemons: int
    missing: tuple[str, ...]


@attrs.frozen
class ZoneStatus:
    """One availability zone."""

    name: str
    out: bool
    servers: int
    daemons_alive: int


@attrs.frozen
class MoveStatus:
    """One version move."""

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
    """All in one."""

    daemon: str
    ready: bool
    daemons: tuple[DaemonStatus, ...]
    zones: tuple[ZoneStatus, ...]
    moves: tuple[MoveStatus, ...]


class AdminQueries:
    """Reads the state of the daemon; changes nothing.

    Parameters
    ----------
    node : Node
        Engine of the daemon.
    """

    def __init__(self, node: Node) -> None:
        self._node = node

    def status(self) -> Status:
        """Return the whole status."""
        return Status(
            self._node.own.name,
            self._node.ready,
            self.daemons(),
            self.zones(),
            self.moves(),
        )

    def daemons(self) -> tuple[DaemonStatus, ...]:
        """Return the daemons known."""
        return tuple(
            DaemonStatus(m.name, m.zone, self._node.is_alive(m.name), m.leaving)
            for m in self._node.membership.members
        )

    def profiles(self) -> tuple[Profile, ...]:
        """Return all profiles in force here."""
        return self._node.catalogue.profiles()

    def profile(self, name: str) -> Profile:
        """Return a profile in force here.

        Raises
        ------
        NotFoundError
            When there is none of that name.
        """
        profile = self._node.catalogue.profile(name)
        if profile is None:
            raise NotFoundError(f"no profile {name!r}")
        return profile

    def check(self, name: str, document: Any) -> tuple[str, ...]:
        """Return what a profile would change.

        Raises
        ------
        RequestError
            When the profile is at fault.
        """
        checked = check_profile(name, document)
        current = self._node.catalogue.profile(name)
        if current is None:
            return (f"{name} would be new",)
        return differences(current, checked)

    def in_force(self, kind: Kind, revision: int) -> InForce:
        """Return which daemons follow a revision; the silent ones are missing."""
        index = SHARED_KINDS.index(kind)
        missing = []
        members = self._node.membership.members
        for member in members:
            versions = self._node.known_versions(member.name)
            alive = self._node.is_alive(member.name)
            if not alive or len(versions) <= index or versions[index] < revision:
                missing.append(member.name)
        count = len(members)
        return InForce(
            kind.value, revision, count - len(missing), count, tuple(missing)
        )

    def zones(self) -> tuple[ZoneStatus, ...]:
        """Return all availability zones that hold servers or daemons."""
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
        """Return all version moves, ended ones too."""
        return tuple(self._move(move) for move in self._node.catalogue.moves())

    def _move(self, move: MoveRecord) -> MoveStatus:
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
