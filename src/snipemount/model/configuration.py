"""The operators' configuration: routes, services and limits on callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .identity import Organisation


@attrs.frozen
class ToService:
    """Target of a route that sends every request to one service."""

    service: str


@attrs.frozen
class WeightedService:
    """One of the services that share the requests of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float


@attrs.frozen
class ToWeightedServices:
    """Target of a route that splits its requests between services by weight."""

    parts: tuple[WeightedService, ...]


@attrs.frozen
class ToAllShards:
    """Target of a route that queries one leaf of each shard and merges the records.

    Parameters
    ----------
    shards : tuple of str
        Names of the services, one for each shard.
    top_k : int
        Number of records in the merged answer.
    min_share : float
        Minimum share of the shards, 0 to 1, that an answer has to include.
    """

    shards: tuple[str, ...]
    top_k: int
    min_share: float

    def suffices(self, answered: int) -> bool:
        """Return whether an answer that includes `answered` shards is sufficient.

        At least one shard is always needed.
        """
        return answered > 0 and answered / len(self.shards) >= self.min_share


Target = ToService | ToWeightedServices | ToAllShards


@attrs.frozen
class Route:
    """Selects requests by host and path, and states how they are served.

    Parameters
    ----------
    name : str
        Name of the route, unique in a configuration.
    host : str
        Host header of the requests that match.
    prefix : str
        Path prefix of the requests that match; begins and ends with a slash.
    target : Target
        Service or shards that the requests are sent to.
    idempotent : bool
        Whether a request may run more than once, so that it may be hedged and
        retried.
    timeout_ms : float
        Maximum time that a caller waits for the response.
    latency_objective_ms : float
        Latency within which an answer has its full value for the caller.
    max_attempts : int
        Maximum number of leafs that may run one request, counted for each shard.
    priority : int
        Priority of the route's requests; 0 is the most urgent.
    public : bool
        Whether callers need no API key.
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
    public: bool = False


@attrs.frozen
class ServiceTraits:
    """Limits of a service's leafs, as stated by the operators.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the leafs' health endpoint.
    max_connections : int
        Maximum number of connections to one leaf, from all clients together.
    cold_start_ms : float
        Time after its start during which a leaf is cold.
    cold_requests_per_s : float
        Requests per second that a cold leaf can serve; 0 when the operators state
        no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_ms: float
    cold_requests_per_s: float


@attrs.frozen
class CallerLimits:
    """Limits on the requests and connections of callers.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of the request line and all headers together.
    max_body_bytes : int
        Maximum size of a request's body.
    header_timeout_ms : float
        Time within which a caller has to send the headers of a request.
    idle_timeout_ms : float
        Time after which an idle connection may be closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@attrs.frozen
class Configuration:
    """One complete version of the operators' configuration.

    Parameters
    ----------
    version : int
        Number of the version, as stated in the document.
    routes : tuple of Route
        All routes.
    services : dict of str to ServiceTraits
        Services by name.
    limits : CallerLimits
        Limits on callers.
    organisations : tuple of Organisation or None
        Organisations whose keys callers need; None if callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceTraits]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None


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
