"""Two example deployments: zones, entry daemons and services."""

from __future__ import annotations

from enum import Enum

import attrs

from ..decisions.fleet.membership import Member
from ..model.catalogue import ServiceRecord, VersionRecord
from ..model.fleet import BackendServer, ServerLeaf
from ..model.profile import Profile, ProfileRoute

LOOPBACK = "127.0.0.1"


@attrs.frozen
class ServicePlan:
    """Size, limits and timing of one service.

    Parameters
    ----------
    name : str
        Name of the service.
    servers_per_zone : int
        Backend servers in each availability zone.
    leafs_per_server : int
        Leafs of each server; each leaf holds one shard.
    slots : int
        Exchanges that one leaf runs at the same time.
    connection_limit : int
        Connections that one server accepts.
    connect_ms : float
        Time to open a connection to a server.
    service_ms : float
        Median duration of one exchange.
    repeatable : bool
        Whether the `submit` route is idempotent; `search` always is.
    """

    name: str
    servers_per_zone: int
    leafs_per_server: int
    slots: int
    connection_limit: int
    connect_ms: float
    service_ms: float
    repeatable: bool = True

    @property
    def shard_count(self) -> int:
        """Number of shards; each availability zone holds one replica of each."""
        return self.servers_per_zone * self.leafs_per_server


@attrs.frozen
class DeploymentPlan:
    """Zones, entry daemons and services of one deployment.

    Parameters
    ----------
    name : str
        Name of the deployment; prefix of the daemon names.
    zones : tuple of str
        Availability zones.
    daemons : int
        Number of entry daemons, assigned to the zones round-robin.
    zone_delay_ms : float
        One-way network delay between two zones.
    caller_delay_ms : float
        One-way network delay between a caller and a daemon.
    services : tuple of ServicePlan
        Services with their backend servers.
    """

    name: str
    zones: tuple[str, ...]
    daemons: int
    zone_delay_ms: float
    caller_delay_ms: float
    services: tuple[ServicePlan, ...]


class Deployment(Enum):
    """Example deployments."""

    AJLOUN = DeploymentPlan(
        "ajloun",
        ("ajloun-a", "ajloun-b", "ajloun-c"),
        8,
        0.5,
        1.0,
        (
            ServicePlan("fleet-finder", 7, 2, 2, 25, 6.0, 20.0),
            ServicePlan("billing-desk", 10, 2, 2, 25, 6.0, 20.0),
            ServicePlan("returns-hub", 2, 1, 3, 110, 1.0, 8.0, False),
            ServicePlan("route-watch", 1, 1, 3, 110, 1.0, 8.0),
        ),
    )
    YILAN = DeploymentPlan(
        "yilan",
        ("yilan-a", "yilan-b", "yilan-c", "yilan-d"),
        8,
        0.5,
        3.0,
        (
            ServicePlan("bench-finder", 5, 2, 2, 25, 6.0, 20.0),
            ServicePlan("collector-portal", 7, 2, 2, 25, 6.0, 20.0),
            ServicePlan("order-desk", 1, 1, 6, 50, 1.0, 8.0, False),
            ServicePlan("stock-ledger", 1, 1, 6, 50, 1.0, 8.0, False),
        ),
    )


@attrs.define
class PortCounter:
    """Allocates consecutive port numbers without checking that they are free."""

    last: int = 20_000

    def take(self) -> int:
        """Return the next port number."""
        self.last += 1
        return self.last


def build_members(plan: DeploymentPlan, ports: PortCounter) -> tuple[Member, ...]:
    """Return the daemons of a deployment, assigned to its zones round-robin."""
    count = len(plan.zones)
    return tuple(
        Member(
            f"{plan.name}-entry-{number}",
            plan.zones[number % count],
            LOOPBACK,
            ports.take(),
        )
        for number in range(plan.daemons)
    )


def build_service(
    plan: DeploymentPlan,
    service: ServicePlan,
    ports: PortCounter,
    version: str = "v1",
    index: str = "i1",
) -> ServiceRecord:
    """Return a service with one replica of each shard in every zone."""
    servers = []
    for zone in plan.zones:
        for number in range(service.servers_per_zone):
            first = number * service.leafs_per_server
            shards = range(first, first + service.leafs_per_server)
            servers.append(
                BackendServer(
                    name=f"{service.name}-{version}-{zone}-{number}",
                    zone=zone,
                    host=LOOPBACK,
                    port=ports.take(),
                    leafs=tuple(ServerLeaf(shard, service.slots) for shard in shards),
                    connection_limit=service.connection_limit,
                )
            )
    record = VersionRecord(version, index, 1, service.shard_count, tuple(servers))
    return ServiceRecord(service.name, profile_name(service), version, (record,))


def build_profile(service: ServicePlan) -> Profile:
    """Return the profile of a service."""
    routes = (ProfileRoute("search"), ProfileRoute("submit", service.repeatable))
    return Profile(profile_name(service), routes=routes)


def profile_name(service: ServicePlan) -> str:
    """Return the name of a service's profile."""
    return f"{service.name}-profile"


__all__ = [
    "Deployment",
    "DeploymentPlan",
    "PortCounter",
    "ServicePlan",
    "build_members",
    "build_profile",
    "build_service",
    "profile_name",
]
