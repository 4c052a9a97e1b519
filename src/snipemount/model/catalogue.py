"""Services and zones as the platform stores them."""

from __future__ import annotations

import attrs

from .fleet import BackendServer, ShardMap, Snapshot


@attrs.frozen
class VersionRecord:
    """One running version of a service.

    Parameters
    ----------
    version : str
        Software version.
    index : str
        Index version that new queries use.
    partitioning : int
        Number of the partitioning.
    shard_count : int
        Number of shards of the index.
    servers : tuple of BackendServer
        Backend servers of this version, in all availability zones.
    """

    version: str
    index: str
    partitioning: int
    shard_count: int
    servers: tuple[BackendServer, ...]


@attrs.frozen
class ServiceRecord:
    """A service as the platform stores it.

    Parameters
    ----------
    name : str
        Service name.
    profile : str
        Name of the profile that defines how the service is served.
    active : str
        Version that new queries use by default.
    versions : tuple of VersionRecord
        Running versions.
    """

    name: str
    profile: str
    active: str
    versions: tuple[VersionRecord, ...]

    def shard_map(self, version: str) -> ShardMap | None:
        """Return the shard map of `version`, or None when it is not running."""
        for record in self.versions:
            if record.version == version:
                return self._to_map(record)
        return None

    def _to_map(self, record: VersionRecord) -> ShardMap:
        snapshot = Snapshot(
            self.name, record.version, record.index, record.partitioning
        )
        return ShardMap(snapshot, record.shard_count, record.servers)


@attrs.frozen
class ZoneRecord:
    """Whether operators have taken an availability zone out.

    Parameters
    ----------
    name : str
        Name of the availability zone.
    out : bool
        True while the zone is out: its servers get no new work.
    operation : str
        Id of the write that stored the record. A writer that got no reply compares
        it to find out whether its write took effect.
    """

    name: str
    out: bool = False
    operation: str = ""


__all__ = ["ServiceRecord", "VersionRecord", "ZoneRecord"]
