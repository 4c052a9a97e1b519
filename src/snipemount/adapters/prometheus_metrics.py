"""Metrics of one process in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from ..ports.serving_metrics import ServingMetrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.query_stages import QueryStages

MS_PER_S = 1000.0
MAX_ROUTE_LABELS = 200  # further routes share one label
OTHER_ROUTES_LABEL = "other"
BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.18, 0.3, 0.6, 1.2, 2.5, 6.0)


class PrometheusMetrics(ServingMetrics):
    """Prometheus counters, histograms and gauges of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._route_labels: set[str] = set()
        self._attempt_children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        registry = self._registry
        self._requests = Counter(
            "snipemount_requests",
            "Requests, by route and result.",
            ("route", "result"),
            registry=registry,
        )
        self._latency = Histogram(
            "snipemount_request_seconds",
            "Time from a request's arrival to its response.",
            ("route",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._attempts = Counter(
            "snipemount_legs",
            "Attempts sent to leafs, by zone and result.",
            ("zone", "result"),
            registry=registry,
        )
        self._attempt_latency = Histogram(
            "snipemount_leg_seconds",
            "Time from an attempt's start to its result.",
            ("zone",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._extra_attempts = Counter(
            "snipemount_second_sends",
            "Extra attempts wanted, by cause and whether the budget granted them.",
            ("cause", "granted"),
            registry=registry,
        )
        self._limited_attempts = Counter(
            "snipemount_limited_leaf_attempts",
            "Attempts at leafs that state a limit on requests, extra ones or not.",
            ("extra",),
            registry=registry,
        )
        self._store_calls = Counter(
            "snipemount_store_calls",
            "Calls to the platform's store, by kind of call and result.",
            ("call", "result"),
            registry=registry,
        )
        self._unreadable_entries = Counter(
            "snipemount_unreadable_entries",
            "Entries of the platform's store without a name that can be read.",
            ("kind",),
            registry=registry,
        )
        self._stages = Histogram(
            "snipemount_query_stage_seconds",
            "Time from a query's arrival to the end of a stage; for `connect` the"
            " longest time that one of its attempts took to connect.",
            ("stage",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._delegations = Counter(
            "snipemount_delegations",
            "Queries given to a coordinator, by what became of them.",
            ("result",),
            registry=registry,
        )
        self._admissions = Counter(
            "snipemount_overload_decisions",
            "Requests queued or refused for overload of their service, by rank.",
            ("decision", "rank"),
            registry=registry,
        )
        self._lost_connections = Counter(
            "snipemount_lost_connections",
            "Requests whose connection a leaf ended, by what a probe of it has shown.",
            ("cause",),
            registry=registry,
        )
        self._quarantine = Counter(
            "snipemount_quarantine",
            "Requests that leafs crashed on: crashes counted, refusals and tries.",
            ("event",),
            registry=registry,
        )
        self._query_bytes = Counter(
            "snipemount_query_bytes_read",
            "Bytes read from leafs for queries over all shards.",
            registry=registry,
        )
        self._query_connections = Counter(
            "snipemount_query_connections_opened",
            "Attempts of queries over all shards that opened a connection.",
            registry=registry,
        )

    def add_gauge(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"snipemount_{name}", description, registry=self._registry)
        gauge.set_function(read)

    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Count a request by result and record its time."""
        if route not in self._route_labels:
            if len(self._route_labels) >= MAX_ROUTE_LABELS:
                route = OTHER_ROUTES_LABEL
            self._route_labels.add(route)
        self._requests.labels(route, result).inc()
        self._latency.labels(route).observe(elapsed_ms / MS_PER_S)

    def attempt(self, zone: str, result: str, took_ms: float) -> None:
        """Count an attempt at a leaf by result and record its time."""
        children = self._attempt_children.get((zone, result))
        if children is None:
            children = (
                self._attempts.labels(zone, result),
                self._attempt_latency.labels(zone),
            )
            self._attempt_children[zone, result] = children
        count, latency = children
        count.inc()
        latency.observe(took_ms / MS_PER_S)

    def extra_attempt(self, cause: str, granted: bool) -> None:
        """Count an extra attempt that was wanted, granted by the budget or not."""
        self._extra_attempts.labels(cause, "yes" if granted else "no").inc()

    def limited_attempt(self, extra: bool) -> None:
        """Count an attempt at a leaf that states a limit."""
        self._limited_attempts.labels("yes" if extra else "no").inc()

    def store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store by result."""
        self._store_calls.labels(call, result).inc()

    def unreadable_entries(self, kind: str, count: int) -> None:
        """Count entries of the store without a name that can be read."""
        if count:
            self._unreadable_entries.labels(kind).inc(count)

    def delegation(self, result: str) -> None:
        """Count a query that was given to a coordinator."""
        self._delegations.labels(result).inc()

    def admission(self, decision: str, rank: str) -> None:
        """Count a request that was queued or refused in an overload."""
        self._admissions.labels(decision, rank).inc()

    def lost_connection(self, cause: str) -> None:
        """Count a request whose connection a leaf ended."""
        self._lost_connections.labels(cause).inc()

    def quarantine(self, event: str) -> None:
        """Count what happened to a request that leafs crashed on."""
        self._quarantine.labels(event).inc()

    def query_stages(self, stages: QueryStages) -> None:
        """Record the stages of a query over all shards."""
        for stage, time_ms in (
            ("sent", stages.sent_ms),
            ("connect", stages.connect_ms),
            ("first_part", stages.first_part_ms),
            ("median_part", stages.median_part_ms),
            ("last_part", stages.last_part_ms),
        ):
            self._stages.labels(stage).observe(time_ms / MS_PER_S)
        self._query_bytes.inc(stages.bytes_read)
        self._query_connections.inc(stages.connections_opened)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)


__all__ = ["PrometheusMetrics"]
