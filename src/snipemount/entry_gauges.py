"""Gauges of an entry daemon's directory and of the overload of services."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .adapters.prometheus_metrics import PrometheusMetrics
    from .serving.context import ServingContext
    from .serving.overload_control import OverloadControl


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


__all__ = ["add_directory_gauges", "add_overload_gauges"]
