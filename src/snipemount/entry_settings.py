"""What the settings of an entry daemon mean for its parts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .decisions.fleet.state_age import StateAgeLimits
from .decisions.fleet.vm_capacity import legs_per_s
from .decisions.leafs.cold_limit import ColdLimit
from .decisions.requests.extra_attempts import ExtraAttemptLimit
from .ports.platform import Kind
from .ports.relay import DaemonAddress

if TYPE_CHECKING:
    from .platform.node_file import NodeSettings


def extra_attempt_limit(settings: NodeSettings) -> ExtraAttemptLimit:
    """Return the limit on extra attempts of all daemons together."""
    bounds = settings.bounds
    return ExtraAttemptLimit(
        bounds.extra_attempt_ratio,
        bounds.extra_attempt_slack,
        bounds.extra_attempt_window_ms,
    )


def age_limits(settings: NodeSettings) -> dict[Kind, StateAgeLimits]:
    """Return how old the known state of each kind may become."""
    bounds = settings.bounds
    bounds_ms = {
        Kind.CONFIGURATION: bounds.configuration_ms,
        Kind.LEAF: bounds.drain_ms,
        Kind.ZONE_ORDER: bounds.zone_out_ms,
        Kind.VERSION_ORDER: bounds.version_back_ms,
    }
    return {kind: StateAgeLimits.for_bound(ms) for kind, ms in bounds_ms.items()}


def cold_limit(settings: NodeSettings) -> ColdLimit:
    """Return the limit on the load of cold leafs."""
    return ColdLimit(settings.bounds.cold_load_ratio, settings.bounds.cold_slack_per_s)


def own_address(settings: NodeSettings) -> DaemonAddress:
    """Return this daemon's entry in the registry."""
    capacity = settings.capacity
    return DaemonAddress(
        settings.name,
        settings.zone,
        settings.peers.host,
        settings.peers.port,
        settings.queries.port,
        round(legs_per_s(capacity.cores, capacity.link_mbps)),
    )


def seed_addresses(settings: NodeSettings) -> tuple[DaemonAddress, ...]:
    """Return the daemons to ask while the store does not answer."""
    own = settings.peers
    others = (host for host in settings.seeds if host != own.host)
    return tuple(DaemonAddress(f"seed:{h}", "", h, own.port) for h in others)


__all__ = [
    "age_limits",
    "cold_limit",
    "extra_attempt_limit",
    "own_address",
    "seed_addresses",
]
