"""Backend servers, their leafs, and maps from shards to servers."""

from __future__ import annotations

from functools import cached_property

import attrs


@attrs.frozen
class ServerLeaf:
    """A replica of one shard on a backend server.

    Parameters
    ----------
    shard : int
        Shard number, from 0.
    slots : int
        Maximum number of exchanges that the leaf runs at once.
    """

    shard: int
    slots: int


@attrs.frozen
class BackendServer:
    """One backend server instance with its leafs.

    Parameters
    ----------
    name : str
        Name, unique over all services.
    zone : str
        Availability zone.
    host : str
        IP address.
    port : int
        TCP port.
    leafs : tuple of ServerLeaf
        Replicas that the server holds, one for each of its shards.
    connection_limit : int
        Maximum number of connections that it accepts from all daemons together.
    draining : bool
        True once the platform lists it as draining.
    """

    name: str
    zone: str
    host: str
    port: int
    leafs: tuple[ServerLeaf, ...]
    connection_limit: int
    draining: bool = False

    @property
    def slots(self) -> int:
        """Exchanges that the server runs at once: the minimum of its leafs' slots."""
        return min(leaf.slots for leaf in self.leafs)

    @property
    def shards(self) -> tuple[int, ...]:
        """Shards of which the server holds a replica."""
        return tuple(leaf.shard for leaf in self.leafs)


@attrs.frozen(slots=False)
class Snapshot:
    """The version, index and partitioning that all legs of a query use.

    Parameters
    ----------
    service : str
        Service name.
    version : str
        Software version of the backend servers.
    index : str
        Index version that every leg has to answer from.
    partitioning : int
        Number of the partitioning; increases each time the index is repartitioned.
    """

    service: str
    version: str
    index: str
    partitioning: int

    @cached_property
    def token(self) -> str:
        """String that identifies the snapshot in exchanges and partial answers."""
        return f"{self.service}/{self.version}/{self.index}/{self.partitioning}"


@attrs.frozen(slots=False)
class ShardMap:
    """Maps each shard of one version to the backend servers that hold it.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that the map belongs to.
    shard_count : int
        Number of shards of the index.
    servers : tuple of BackendServer
        All servers of the version, in all availability zones.
    """

    snapshot: Snapshot
    shard_count: int
    servers: tuple[BackendServer, ...]

    @cached_property
    def holders(self) -> tuple[tuple[BackendServer, ...], ...]:
        """Servers that hold a replica of each shard, indexed by shard."""
        found: list[list[BackendServer]] = [[] for _ in range(self.shard_count)]
        for server in self.servers:
            for shard in server.shards:
                if shard < self.shard_count:
                    found[shard].append(server)
        return tuple(tuple(servers) for servers in found)

    @cached_property
    def holders_by_zone(self) -> dict[str, tuple[tuple[BackendServer, ...], ...]]:
        """For each zone, the servers there that hold each shard, indexed by shard."""
        zones = {server.zone for server in self.servers}
        return {
            zone: tuple(
                tuple(server for server in holders if server.zone == zone)
                for holders in self.holders
            )
            for zone in sorted(zones)
        }

    @cached_property
    def shards_by_server(self) -> dict[str, frozenset[int]]:
        """Shards that each server holds, by the server's name."""
        return {server.name: frozenset(server.shards) for server in self.servers}

    @cached_property
    def servers_by_name(self) -> dict[str, BackendServer]:
        """Servers by name."""
        return {server.name: server for server in self.servers}


__all__ = ["BackendServer", "ServerLeaf", "ShardMap", "Snapshot"]
