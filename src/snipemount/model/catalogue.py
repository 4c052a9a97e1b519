"""Services as the platform describes them."""

from __future__ import annotations

import attrs

from .fleet import BackendServer, ShardMap, Snapshot


@attrs.frozen
class VersionRecord:
    """One version of a service that is running.

    Parameters
    ----------
    version : str
        Software version.
    index : str
        Index version that new queries are to use.
    partitioning : int
        Number of the partitioning.
    shard_count : int
        Shards of the index.
    servers : tuple of BackendServer
        Servers of this version.
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
        Name of the profile it runs under.
    active : str
        Version that new queries use.
    versions : tuple of VersionRecord
        Versions that are running.
    """

    name: str
    profile: str
    active: str
    versions: tuple[VersionRecord, ...]

    def shard_map(self, version: str) -> ShardMap | None:
        """Return the map of `version`, or None when it is not running."""
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
    """Whether an availability zone takes new work.

    Parameters
    ----------
    name : str
        Availability zone.
    out : bool
        True when operators have taken it out.
    operation : str
        Id of the operation that wrote it; settles lost replies.
    """

    name: str
    out: bool = False
    operation: str = ""


__all__ = ["ServiceRecord", "VersionRecord", "ZoneRecord"]
