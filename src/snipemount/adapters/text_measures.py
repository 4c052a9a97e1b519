"""Counters, histograms and states as text, in the Prometheus format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

from ..ports.measures import Measures

if TYPE_CHECKING:
    from collections.abc import Callable

MS_PER_S = 1000.0
MOST_ROUTES = 200
OTHER_ROUTES = "other"
BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.18, 0.3, 0.6, 1.2, 2.5, 6.0)


class TextMeasures(Measures):
    """Keeps the figures of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._routes: set[str] = set()
        self._leg_children: dict[tuple[str, str], tuple[Counter, Histogram]] = {}
        registry = self._registry
        self._requests = Counter(
            "snipemount_requests",
            "Requests by route and result.",
            ("route", "result"),
            registry=registry,
        )
        self._latency = Histogram(
            "snipemount_request_seconds",
            "Time from a request's arrival to its answer.",
            ("route",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._legs = Counter(
            "snipemount_legs",
            "Sends to leafs by zone and result.",
            ("zone", "result"),
            registry=registry,
        )
        self._leg_latency = Histogram(
            "snipemount_leg_seconds",
            "Time of a send to a leaf.",
            ("zone",),
            buckets=BUCKETS_S,
            registry=registry,
        )
        self._second_sends = Counter(
            "snipemount_second_sends",
            "Wishes for a second send by cause.",
            ("cause", "granted"),
            registry=registry,
        )
        self._store_calls = Counter(
            "snipemount_store_calls",
            "Calls to the platform's store by kind of call and result.",
            ("call", "result"),
            registry=registry,
        )

    def state(self, name: str, description: str, read: Callable[[], float]) -> None:
        """Show a state that is read when the figures are asked for."""
        gauge = Gauge(f"snipemount_{name}", description, registry=self._registry)
        gauge.set_function(read)

    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Count a request's outcome and its time."""
        if route not in self._routes:
            if len(self._routes) >= MOST_ROUTES:
                route = OTHER_ROUTES
            self._routes.add(route)
        self._requests.labels(route, result).inc()
        self._latency.labels(route).observe(elapsed_ms / MS_PER_S)

    def leg(self, zone: str, result: str, took_ms: float) -> None:
        """Count what came of one send to a leaf of a zone."""
        children = self._leg_children.get((zone, result))
        if children is None:
            children = (self._legs.labels(zone, result), self._leg_latency.labels(zone))
            self._leg_children[zone, result] = children
        count, latency = children
        count.inc()
        latency.observe(took_ms / MS_PER_S)

    def second_send(self, cause: str, granted: bool) -> None:
        """Count a wish for a second send."""
        self._second_sends.labels(cause, "yes" if granted else "no").inc()

    def store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store."""
        self._store_calls.labels(call, result).inc()

    def text(self) -> bytes:
        """Return all figures as text."""
        return generate_latest(self._registry)


__all__ = ["TextMeasures"]
