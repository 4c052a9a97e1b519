"""Backend servers, their leafs and the shard maps that place them."""

from __future__ import annotations

from functools import cached_property

import attrs


@attrs.frozen
class Leaf:
    """One shard's replica on a backend server.

    Parameters
    ----------
    shard : int
        Shard number, from 0.
    slots : int
        Exchanges that the leaf runs at once.
    """

    shard: int
    slots: int


@attrs.frozen
class BackendServer:
    """One backend server (an instance) with its leafs.

    Parameters
    ----------
    name : str
        Unique over all services.
    zone : str
        Availability zone.
    host : str
        IP number.
    port : int
        TCP port.
    leafs : tuple of Leaf
        Replicas that the server holds.
    connection_limit : int
        Connections that it accepts from all daemons together.
    draining : bool
        True once the platform lists it as leaving.
    """

    name: str
    zone: str
    host: str
    port: int
    leafs: tuple[Leaf, ...]
    connection_limit: int
    draining: bool = False

    @property
    def slots(self) -> int:
        """Exchanges that the server runs at once: its scarcest leaf's slots."""
        return min(leaf.slots for leaf in self.leafs)

    @property
    def shards(self) -> tuple[int, ...]:
        """Shards whose replicas the server holds."""
        return tuple(leaf.shard for leaf in self.leafs)


@attrs.frozen(slots=False)
class Snapshot:
    """What a query pins: a version, its index and its partitioning.

    Parameters
    ----------
    service : str
        Service name.
    version : str
        Software version of the backend servers.
    index : str
        Index version that every leg must answer from.
    partitioning : int
        Number of the partitioning; grows when shards are repartitioned.
    """

    service: str
    version: str
    index: str
    partitioning: int

    @cached_property
    def token(self) -> str:
        """One string that names the snapshot on every leg and partial."""
        return f"{self.service}/{self.version}/{self.index}/{self.partitioning}"


@attrs.frozen(slots=False)
class ShardMap:
    """Which backend servers of one version hold which shards.

    Parameters
    ----------
    snapshot : Snapshot
        Identity of this map.
    shard_count : int
        Shards of the index.
    servers : tuple of BackendServer
        All servers of the version, in every availability zone.
    """

    snapshot: Snapshot
    shard_count: int
    servers: tuple[BackendServer, ...]

    @cached_property
    def holders(self) -> tuple[tuple[BackendServer, ...], ...]:
        """For each shard, the servers that hold a replica of it."""
        found: list[list[BackendServer]] = [[] for _ in range(self.shard_count)]
        for server in self.servers:
            for shard in server.shards:
                if shard < self.shard_count:
                    found[shard].append(server)
        return tuple(tuple(servers) for servers in found)

    @cached_property
    def holders_in(self) -> dict[str, tuple[tuple[BackendServer, ...], ...]]:
        """For each zone and shard, the servers there that hold a replica."""
        zones = {server.zone for server in self.servers}
        return {
            zone: tuple(
                tuple(server for server in holders if server.zone == zone)
                for holders in self.holders
            )
            for zone in sorted(zones)
        }

    @cached_property
    def shards_of(self) -> dict[str, frozenset[int]]:
        """For each server's name, the shards that it holds."""
        return {server.name: frozenset(server.shards) for server in self.servers}

    @cached_property
    def by_name(self) -> dict[str, BackendServer]:
        """Servers by name."""
        return {server.name: server for server in self.servers}


__all__ = ["BackendServer", "Leaf", "ShardMap", "Snapshot"]
