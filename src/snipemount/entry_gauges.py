"""Gauges of an entry daemon, by part."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .adapters.prometheus_metrics import PrometheusMetrics
    from .platform.caller_connections import CallerConnections
    from .platform.leaf_client import LeafClient
    from .serving.capacity_watch import CapacityWatch
    from .serving.context import ServingContext
    from .serving.gateway import Gateway
    from .serving.overload_control import OverloadControl


def add_gateway_gauges(metrics: PrometheusMetrics, gateway: Gateway) -> None:
    """Add gauges of what requests are served with."""
    metrics.add_gauge(
        "configuration_version",
        "Version of the configuration in force.",
        lambda: gateway.version,
    )
    metrics.add_gauge(
        "delegates",
        "Whether queries over all shards are given to another daemon.",
        lambda: float(gateway.delegates),
    )


def add_directory_gauges(metrics: PrometheusMetrics, context: ServingContext) -> None:
    """Add gauges of the known leafs and daemons."""
    gauge = metrics.add_gauge
    gauge("leafs_known", "Leafs in the directory.", lambda: len(context.directory))
    gauge(
        "leaf_removals_held",
        "Leafs whose entries are gone but kept for the grace time.",
        lambda: context.directory.pending_removal_count,
    )
    gauge(
        "leafs_limited",
        "Leafs that state a limit on requests.",
        lambda: context.directory.limited_count,
    )
    gauge("daemons_known", "Registered daemons.", lambda: context.daemon_count)
    gauge(
        "zones_cut_off",
        "Zones that are considered cut off.",
        lambda: len(context.reachability.cut_off_zones()),
    )


def add_crash_gauges(metrics: PrometheusMetrics, context: ServingContext) -> None:
    """Add gauges of the requests that leafs crash on."""
    quarantine = context.crashes.quarantine
    metrics.add_gauge(
        "suspect_requests",
        "Requests with crashes of leafs that no answer has cleared.",
        lambda: quarantine.suspect_count,
    )
    metrics.add_gauge(
        "quarantined_requests",
        "Requests that are held back, as they crash leafs.",
        lambda: quarantine.held_count(context.timers.now_ms()),
    )


def add_overload_gauges(metrics: PrometheusMetrics, overload: OverloadControl) -> None:
    """Add gauges of what is held back for overload."""
    metrics.add_gauge(
        "overload_level",
        "Ranks of requests that are held back, most of all services.",
        lambda: overload.max_held_ranks,
    )
    metrics.add_gauge(
        "overload_waiting",
        "Requests that wait until leafs have room.",
        lambda: overload.waiting_count,
    )


def add_capacity_gauges(metrics: PrometheusMetrics, watch: CapacityWatch) -> None:
    """Add gauges of what was learnt of the leafs."""
    metrics.add_gauge(
        "leafs_below_slots",
        "Leafs with a learnt limit under their slots.",
        lambda: watch.limited_count,
    )
    metrics.add_gauge(
        "slowest_leaf_ratio",
        "Highest learnt service time of a leaf, relative to the typical latency.",
        lambda: watch.slowest_ratio,
    )


def add_caller_gauges(metrics: PrometheusMetrics, callers: CallerConnections) -> None:
    """Add gauges of what callers use."""
    metrics.add_gauge(
        "caller_connections",
        "Open connections of callers.",
        lambda: callers.open_count,
    )
    metrics.add_gauge(
        "caller_bytes",
        "Bytes held for unfinished requests and unread responses.",
        lambda: callers.held_bytes,
    )
    metrics.add_gauge(
        "callers_cut_off",
        "Callers that were refused or cut off before a request was served.",
        lambda: callers.cut_offs.total,
    )


def add_leaf_client_gauges(metrics: PrometheusMetrics, client: LeafClient) -> None:
    """Add gauges of the connections to leafs."""
    metrics.add_gauge(
        "leaf_response_bytes",
        "Bytes held of responses of leafs that are being read.",
        lambda: client.pending_bytes.held,
    )
    metrics.add_gauge(
        "leaf_responses_given_up",
        "Responses of leafs that were malformed or exceeded a bound.",
        lambda: client.pending_bytes.given_up,
    )
    metrics.add_gauge(
        "connections_opened",
        "Connections opened to leafs.",
        lambda: client.connections_opened,
    )


__all__ = [
    "add_caller_gauges",
    "add_capacity_gauges",
    "add_directory_gauges",
    "add_gateway_gauges",
    "add_leaf_client_gauges",
    "add_overload_gauges",
]
