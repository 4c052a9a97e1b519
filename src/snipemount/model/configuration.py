"""The operators' configuration: routes, services and limits on callers."""

from __future__ import annotations

import attrs


@attrs.frozen
class ToService:
    """A route to one service."""

    service: str


@attrs.frozen
class WeightedService:
    """One of the services of a split route.

    Parameters
    ----------
    service : str
        Service's name.
    weight : float
        Share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float


@attrs.frozen
class ToWeightedServices:
    """A route whose requests are split over several services."""

    parts: tuple[WeightedService, ...]


@attrs.frozen
class ToAllShards:
    """A route that asks one leaf of each shard and merges their records.

    Parameters
    ----------
    shards : tuple of str
        Services, one for each shard.
    top_k : int
        Records wanted.
    least_share : float
        Least share of the shards that makes an answer a success, 0 to 1.
    """

    shards: tuple[str, ...]
    top_k: int
    least_share: float

    def suffices(self, answered: int) -> bool:
        """Return whether so many shards make an answer a success."""
        return answered > 0 and answered / len(self.shards) >= self.least_share


Target = ToService | ToWeightedServices | ToAllShards


@attrs.frozen
class Route:
    """How one kind of request is served.

    Parameters
    ----------
    name : str
        Unique in a configuration.
    host : str
        Value of the request's Host header.
    prefix : str
        Start of the request's path; begins and ends with a slash.
    target : Target
        Where the request goes.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a caller is kept waiting.
    latency_objective_ms : float
        Time within which an answer is worth most to its caller.
    max_attempts : int
        Most leafs that may run one request, for each shard.
    priority : int
        Rank; 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    target: Target
    idempotent: bool
    timeout_ms: float
    latency_objective_ms: float
    max_attempts: int
    priority: int


@attrs.frozen
class ServiceTraits:
    """What the operators state about a service's leafs.

    Parameters
    ----------
    name : str
        Service's name.
    health_path : str
        Path of the health endpoint.
    max_connections : int
        Connections that one leaf takes from all callers together.
    cold_start_ms : float
        How long a leaf stays cold after a start.
    cold_requests_per_s : float
        Load that a cold leaf bears; 0 where the operators state none.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_requests_per_s: float


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen
class Configuration:
    """One version of the operators' configuration, in full."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceTraits]
    limits: CallerLimits


__all__ = [
    "CallerLimits",
    "Configuration",
    "Route",
    "ServiceTraits",
    "Target",
    "ToAllShards",
    "ToService",
    "ToWeightedServices",
    "WeightedService",
]
