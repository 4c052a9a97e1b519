"""State of each service in this daemon, and the version that a request runs on."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from ..decisions.query.service_state import ServiceState

if TYPE_CHECKING:
    from random import Random

    from ..model.fleet import ShardMap
    from .catalogue import Catalogue
    from .mover import Mover


class ServiceStates:
    """Creates the state of each service on first use, and follows the catalogue.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    random : Random
        Seeded generator; breaks ties between servers.
    catalogue : Catalogue
        Supplies services, profiles and zones.
    mover : Mover
        Selects the version for each query during a move.
    """

    def __init__(
        self, zone: str, random: Random, catalogue: Catalogue, mover: Mover
    ) -> None:
        self._zone = zone
        self._random = random
        self._catalogue = catalogue
        self._mover = mover
        self._exchange_ids = count(1)
        self._states: dict[str, ServiceState] = {}

    def state(self, service: str) -> ServiceState | None:
        """Return the state of a service, created on first use; None if unknown."""
        record = self._catalogue.service(service)
        if record is None:
            return None
        profile = self._catalogue.profile(record.profile)
        if profile is None:
            return None
        state = self._states.get(service)
        if state is None:
            state = ServiceState(profile, self._zone, self._exchange_ids, self._random)
            self._states[service] = state
        state.profile = profile
        return state

    def catalogue_changed(self) -> None:
        """Apply the current zones, profiles and servers of the catalogue."""
        zones_out = self._catalogue.zones_out()
        for record in self._catalogue.services():
            state = self.state(record.name)
            if state is not None:
                state.placer.zones_out = zones_out
                servers = {s.name for v in record.versions for s in v.servers}
                state.fleet.retain_only(servers)

    def pick_shard_map(self, service: str, now_ms: float) -> ShardMap | None:
        """Return the map to pin; the old version's if the new lacks capacity."""
        version = self._mover.pick_version(service)
        shard_map = self._catalogue.shard_map(service, version)
        old_version = self._mover.old_version(service)
        state = self.state(service)
        if (
            shard_map is None
            or state is None
            or old_version is None
            or old_version == version
        ):
            return shard_map
        if state.has_capacity(shard_map, now_ms):
            return shard_map
        return self._catalogue.shard_map(service, old_version)


__all__ = ["ServiceStates"]
