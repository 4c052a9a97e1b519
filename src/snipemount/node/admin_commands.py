"""Changes made by operators: profiles, zones and version moves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import attrs

from ..decisions.requests.profile_check import check_profile
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
from .catalogue import record_converter
from .conditional_writer import Accepted, ConditionalWriter, Operation, Rejected

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.store_version import StoreVersion
    from ..ports.platform import PlatformPort, StoredObject
    from ..timers import TimerService
    from .conditional_writer import WriteOutcome
    from .node import Node

MIN_MOVE_DURATION_MS = 10_000.0
MAX_MOVE_DURATION_MS = 7 * 86_400_000.0


@attrs.frozen
class StoredChange:
    """A change that the platform has stored.

    Parameters
    ----------
    kind : Kind
        Kind of the changed object.
    name : str
        Name of the changed object.
    revision : int
        Store version at which the platform holds the change.
    """

    kind: Kind
    name: str
    revision: int


class AdminCommands:
    """Validates changes by operators and stores them in the platform.

    Each method returns once the platform has stored the change, and raises an
    error if it has not. Parameters that all methods share: `who` is the name of
    the operator, for the log; `operation` is a unique id of the write, by which a
    lost reply is resolved.

    Parameters
    ----------
    node : Node
        Node of this daemon; supplies the current catalogue and moves.
    platform : PlatformPort
        Stores the changed objects.
    timers : TimerService
        Clock, and timer for the retries of a write.
    logger : FilteringBoundLogger
        Receives one entry for each change, with the operator's name.
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
    ) -> StoredChange:
        """Store a profile.

        With a `revision`, the profile is stored only if that is its current
        revision; 0 stands for a profile that does not exist yet.

        Raises
        ------
        RequestError
            When the profile is invalid.
        ConflictError
            When the profile has another revision, or another writer changes it
            at the same time.
        PlatformError
            When the platform does not respond.
        """
        profile = attrs.evolve(check_profile(name, document), operation=operation)
        current = self._node.catalogue.stored_object(Kind.PROFILE, name)
        version = current.version if current else None
        known = version.number if version else 0
        if revision is not None and revision != known:
            raise ConflictError(f"profile {name} is at revision {known}")
        spec = record_converter.unstructure(profile)
        return await self._write(who, Kind.PROFILE, name, spec, version)

    async def set_zone(
        self, who: str, operation: str, zone: str, out: bool, force: bool
    ) -> StoredChange:
        """Take an availability zone out or bring it back.

        Raises
        ------
        NotFoundError
            When the zone has no backend servers.
        RequestError
            When a service would have a shard without a server, and `force` is not
            set.
        ConflictError
            When another writer changes the zone at the same time.
        PlatformError
            When the platform does not respond.
        """
        uncovered_services = self._uncovered_services(zone) if out else ()
        if zone not in self._zones():
            raise NotFoundError(f"zone {zone} has no backend servers")
        if uncovered_services and not force:
            names = ", ".join(uncovered_services)
            raise RequestError(
                ResultCode.LAST_ZONE, f"{zone} is the last zone of {names}"
            )
        record = ZoneRecord(zone, out, operation)
        current = self._node.catalogue.stored_object(Kind.ZONE, zone)
        version = current.version if current else None
        spec = record_converter.unstructure(record)
        return await self._write(who, Kind.ZONE, zone, spec, version)

    async def start_move(
        self,
        who: str,
        operation: str,
        service: str,
        to_version: str,
        finish_in_ms: float,
    ) -> StoredChange:
        """Start a move of a service's traffic to another version.

        Raises
        ------
        RequestError
            When the service is unknown or `finish_in_ms` is out of range.
        NotFoundError
            When the version is not running.
        ConflictError
            When the service is already on that version, or a move is in progress.
        PlatformError
            When the platform does not respond.
        """
        record = self._node.catalogue.service(service)
        if record is None:
            raise RequestError(ResultCode.UNKNOWN_SERVICE, f"no service {service!r}")
        if not MIN_MOVE_DURATION_MS <= finish_in_ms <= MAX_MOVE_DURATION_MS:
            raise RequestError(
                ResultCode.INVALID_FIELD,
                f"finish_in_ms: {finish_in_ms} is not within 10 s to 7 days",
            )
        from_version = self._node.mover.current_version(service) or record.active
        if to_version not in {v.version for v in record.versions}:
            raise NotFoundError(f"version {to_version} of {service} is not running")
        if to_version == from_version:
            raise ConflictError(f"{service} is already on version {to_version}")
        current = self._node.catalogue.stored_object(Kind.MOVE, service)
        self._reject_concurrent_move(current)
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
        spec = record_converter.unstructure(move)
        version = current.version if current else None
        return await self._write(who, Kind.MOVE, service, spec, version)

    async def change_move(
        self, who: str, operation: str, service: str, state: MoveState
    ) -> StoredChange:
        """Hold, resume or take back the current move of a service.

        Raises
        ------
        NotFoundError
            When the service has no move.
        ConflictError
            When its move has ended, or another writer changes it at the same time.
        PlatformError
            When the platform does not respond.
        """
        current = self._node.catalogue.stored_object(Kind.MOVE, service)
        if current is None:
            raise NotFoundError(f"service {service} has no move")
        move: MoveRecord = record_converter.structure(current.spec, MoveRecord)
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
        spec = record_converter.unstructure(changed)
        return await self._write(who, Kind.MOVE, service, spec, current.version)

    @staticmethod
    def _reject_concurrent_move(current: StoredObject | None) -> None:
        if current is None:
            return
        move: MoveRecord = record_converter.structure(current.spec, MoveRecord)
        if not move.state.final:
            raise ConflictError(f"a move to {move.to_version} is under way")

    def _zones(self) -> set[str]:
        return {
            server.zone
            for record in self._node.catalogue.services()
            for version in record.versions
            for server in version.servers
        }

    def _uncovered_services(self, zone: str) -> tuple[str, ...]:
        """Return the services that would have a shard without a usable server.

        The servers of `zone` and of the zones already taken out are not usable.
        """
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
        self,
        who: str,
        kind: Kind,
        name: str,
        spec: dict[str, Any],
        version: StoreVersion | None,
    ) -> StoredChange:
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
                    revision=stored.version.number,
                    operation=spec["operation"],
                )
                return StoredChange(kind, name, stored.version.number)
            case Rejected():
                raise ConflictError(
                    f"{kind.value}/{name} was changed by another writer"
                )
            case _:
                raise PlatformError(f"{kind.value}/{name}: {outcome.detail}")


__all__ = ["AdminCommands", "StoredChange"]
