"""Changes that operators make: profiles, zones and version moves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from ..decisions.profile_check import check_profile
from ..errors import (
    ConflictError,
    NotFoundError,
    PlatformError,
    RequestError,
    ResultCode,
)
from ..model.catalogue import ZoneRecord
from ..model.move import MoveRecord, MoveState
from ..ports.platform import Kind
from .catalogue import converter
from .conditional_writer import Accepted, ConditionalWriter, Operation, Rejected

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..ports.platform import PlatformPort, StoredObject
    from ..timers import TimerService
    from .conditional_writer import WriteOutcome
    from .node import Node

LEAST_MOVE_MS = 10_000.0
MOST_MOVE_MS = 7 * 86_400_000.0


@attrs.frozen
class Change:
    """A change that has been accepted.

    Parameters
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Object's name.
    revision : int
        Platform version of the accepted object.
    """

    kind: Kind
    name: str
    revision: int


class AdminCommands:
    """Accepts changes; accepted means stored in the platform.

    Parameters
    ----------
    node : Node
        Engine of the daemon.
    platform : PlatformPort
        The platform's object API.
    timers : TimerService
        Time.
    logger : FilteringBoundLogger
        Log of who changed what.
    """

    def __init__(
        self,
        node: Node,
        platform: PlatformPort,
        timers: TimerService,
        logger: FilteringBoundLogger,
    ) -> None:
        self._node = node
        self._writer = ConditionalWriter(platform, timers)
        self._timers = timers
        self._logger = logger

    async def apply_profile(
        self, who: str, operation: str, name: str, document: Any, revision: int | None
    ) -> Change:
        """Store a profile; `revision` is the one that the operator has seen.

        Raises
        ------
        RequestError
            When the profile is at fault.
        ConflictError
            When it has been changed meanwhile.
        PlatformError
            When the platform does not answer.
        """
        profile = attrs.evolve(check_profile(name, document), operation=operation)
        known = self._node.catalogue.stored_object(Kind.PROFILE, name)
        version = known.version if known else None
        if revision is not None and revision != (version or 0):
            raise ConflictError(f"profile {name} is at revision {version or 0}")
        spec = converter.unstructure(profile)
        return await self._write(who, Kind.PROFILE, name, spec, version)

    async def set_zone(
        self, who: str, operation: str, zone: str, out: bool, force: bool
    ) -> Change:
        """Take an availability zone out or bring it back.

        Raises
        ------
        NotFoundError
            When no server stands in the zone.
        RequestError
            When it is the last zone of a service and `force` is not set.
        """
        left_without = self._services_left_without(zone) if out else ()
        if zone not in self._zones():
            raise NotFoundError(f"no backend server stands in zone {zone}")
        if left_without and not force:
            names = ", ".join(left_without)
            raise RequestError(
                ResultCode.LAST_ZONE, f"{zone} is the last zone of {names}"
            )
        record = ZoneRecord(zone, out, operation)
        known = self._node.catalogue.stored_object(Kind.ZONE, zone)
        version = known.version if known else None
        spec = converter.unstructure(record)
        return await self._write(who, Kind.ZONE, zone, spec, version)

    async def start_move(
        self,
        who: str,
        operation: str,
        service: str,
        to_version: str,
        finish_in_ms: float,
    ) -> Change:
        """Begin to move a service's traffic to a version by a stated time."""
        record = self._node.catalogue.service(service)
        if record is None:
            raise RequestError(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
        if not LEAST_MOVE_MS <= finish_in_ms <= MOST_MOVE_MS:
            raise RequestError(
                ResultCode.INVALID_FIELD, "finish_in_ms: must be 10 s to 7 days"
            )
        from_version = self._node.mover.current_version(service) or record.active
        if to_version not in {v.version for v in record.versions}:
            raise NotFoundError(f"version {to_version} of {service} is not running")
        if to_version == from_version:
            raise ConflictError(f"{service} is on version {to_version} already")
        known = self._node.catalogue.stored_object(Kind.MOVE, service)
        self._refuse_second_move(known)
        now_ms = self._timers.wall_ms()
        move = MoveRecord(
            service=service,
            move_id=operation,
            from_version=from_version,
            to_version=to_version,
            started_wall_ms=now_ms,
            finish_wall_ms=now_ms + finish_in_ms,
            operation=operation,
        )
        spec = converter.unstructure(move)
        version = known.version if known else None
        return await self._write(who, Kind.MOVE, service, spec, version)

    async def change_move(
        self, who: str, operation: str, service: str, state: MoveState
    ) -> Change:
        """Hold, resume or take back the running move of a service."""
        known = self._node.catalogue.stored_object(Kind.MOVE, service)
        if known is None:
            raise NotFoundError(f"there is no move of {service}")
        move: MoveRecord = converter.structure(known.spec, MoveRecord)
        if move.state.final:
            raise ConflictError(f"the move has ended: {move.state.name.lower()}")
        ended = state.final
        changed = attrs.evolve(
            move,
            state=state,
            operation=operation,
            held_share=self._node.mover.share(service),
            reason=f"{state.name.lower()} by {who}",
            ended_by=who if ended else "",
        )
        spec = converter.unstructure(changed)
        return await self._write(who, Kind.MOVE, service, spec, known.version)

    @staticmethod
    def _refuse_second_move(known: StoredObject | None) -> None:
        if known is None:
            return
        move: MoveRecord = converter.structure(known.spec, MoveRecord)
        if not move.state.final:
            raise ConflictError(f"a move to {move.to_version} is under way")

    def _zones(self) -> set[str]:
        return {
            server.zone
            for record in self._node.catalogue.services()
            for version in record.versions
            for server in version.servers
        }

    def _services_left_without(self, zone: str) -> tuple[str, ...]:
        out = self._node.catalogue.zones_out() | {zone}
        names = []
        for record in self._node.catalogue.services():
            shard_map = self._node.catalogue.shard_map(record.name)
            if shard_map is None:
                continue
            covered = all(
                any(server.zone not in out for server in holders)
                for holders in shard_map.holders
            )
            if not covered:
                names.append(record.name)
        return tuple(names)

    async def _write(
        self, who: str, kind: Kind, name: str, spec: dict[str, Any], version: int | None
    ) -> Change:
        done: asyncio.Future[WriteOutcome] = asyncio.get_running_loop().create_future()
        self._writer.write(Operation(kind, name, spec, version, done.set_result))
        outcome = await done
        match outcome:
            case Accepted(stored):
                self._logger.info(
                    "changed",
                    who=who,
                    kind=kind.value,
                    name=name,
                    revision=stored.version,
                    operation=spec["operation"],
                )
                return Change(kind, name, stored.version)
            case Rejected():
                raise ConflictError(
                    f"{kind.value}/{name} was changed by another writer"
                )
            case _:
                raise PlatformError(f"{kind.value}/{name}: {outcome.detail}")


__all__ = ["AdminCommands", "Change"]
