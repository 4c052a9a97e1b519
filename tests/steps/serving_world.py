"""Serving path of one daemon with scripted leafs, in virtual time."""

from __future__ import annotations

from random import Random

import attrs
import structlog

from snipemount.adapters.prometheus_metrics import PrometheusMetrics
from snipemount.decisions.fleet.limit_shares import LimitShares
from snipemount.decisions.fleet.zone_reachability import ZoneReachability
from snipemount.decisions.leafs.cold_limit import ColdLimit
from snipemount.decisions.leafs.leaf_choice import LeafChoice
from snipemount.decisions.leafs.leaf_directory import LeafDirectory
from snipemount.decisions.requests.extra_attempts import ExtraAttemptLimit
from snipemount.model.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceTraits,
    ToAllShards,
    ToService,
    ToWeightedServices,
    WeightedService,
)
from snipemount.model.forwarding import ForwardRequest
from snipemount.model.leaf import Leaf
from snipemount.serving.context import ServingContext
from snipemount.serving.gateway import Gateway
from snipemount.serving.request_log import RequestLog
from snipemount.standins.scripted_leafs import ScriptedLeafs
from snipemount.timers import VirtualTimers

HOST = "search.example"
SHARDS = tuple(f"shard{number}" for number in range(20))
RECORD_BYTES = 16


def record(number: int) -> bytes:
    """Return a record whose bytes sort by `number`."""
    return number.to_bytes(RECORD_BYTES, "big")


def make_route(name: str, target, **fields) -> Route:
    """Return a route under the prefix /name/."""
    defaults = {
        "host": HOST,
        "prefix": f"/{name}/",
        "idempotent": True,
        "timeout_ms": 1500.0,
        "latency_objective_ms": 150.0,
        "max_attempts": 2,
        "priority": 1,
    }
    return Route(name=name, target=target, **(defaults | fields))


ROUTES = (
    make_route("find", ToAllShards(SHARDS, 5, 0.75)),
    make_route(
        "look", ToService("ledger"), timeout_ms=6000.0, latency_objective_ms=600.0
    ),
    make_route(
        "log",
        ToService("ledger"),
        timeout_ms=6000.0,
        latency_objective_ms=600.0,
        idempotent=False,
    ),
    make_route(
        "split",
        ToWeightedServices(
            (WeightedService("ledger", 3.0), WeightedService("archive", 1.0))
        ),
    ),
)


def make_configuration(version: int = 1, routes=ROUTES) -> Configuration:
    """Return a configuration of these routes."""
    names = (*SHARDS, "ledger", "archive")
    traits = {n: ServiceTraits(n, "/healthz", 26, 3000.0, 0.0) for n in names}
    return Configuration(version, tuple(routes), traits, CallerLimits())


def make_leaf(leaf_id: str, service: str, zone: str = "zone-a", **fields) -> Leaf:
    """Return a leaf that is neither cold nor draining, unless `fields` say so."""
    defaults = {
        "host": "10.0.0.1",
        "port": 8000,
        "version": "v1",
        "slots": 2,
        "draining": False,
        "cold_ms": 0.0,
        "started_wall_ms": 1.0,
    }
    return Leaf(leaf_id=leaf_id, service=service, zone=zone, **(defaults | fields))


@attrs.define
class ServingSample:
    """A request sent by a test, with its run and outcome."""

    request_id: str
    started_ms: float
    run: object = None
    outcome: object = None
    elapsed_ms: float = 0.0


class ServingWorld:
    """A gateway over two leafs per shard, four of a ledger and one of an archive."""

    def __init__(
        self,
        slack: float = 50.0,
        zone: str = "zone-a",
        timers: VirtualTimers | None = None,
        leafs: ScriptedLeafs | None = None,
        own: str = "own",
    ) -> None:
        self.metrics = PrometheusMetrics()
        self.lines: list[dict] = []
        logger = structlog.wrap_logger(None, processors=[self._capture])
        self.timers = timers or VirtualTimers()
        self.leafs = leafs or ScriptedLeafs(self.timers)
        self.directory = LeafDirectory()
        self.serving_context = ServingContext(
            self.timers,
            self.leafs,
            self.directory,
            LeafChoice(zone, Random(1)),
            ExtraAttemptLimit(0.2, slack, 10_000.0),
            ZoneReachability(zone),
            logger,
            self.metrics,
            ColdLimit(1.5, 5.0),
            own,
            is_shard=lambda service: service in SHARDS,
        )
        self.serving_context.limit_shares = LimitShares(own, frozenset([own]))
        self.timers.call_every(100.0, self.serving_context.probe_zones)
        self.gateway = Gateway(self.serving_context, RequestLog(logger, self.metrics))
        self.samples: list[ServingSample] = []

    def _capture(self, logger, method, event):
        self.lines.append(event)
        raise structlog.DropEvent

    def start(self) -> None:
        """Put the configuration in force and add all leafs to the directory."""
        self.gateway.put_in_force(make_configuration())
        for number, shard in enumerate(SHARDS):
            for zone in ("zone-a", "zone-b"):
                leaf_id = f"{shard}-{zone}"
                self.directory.put(make_leaf(leaf_id, shard, zone), 0.0)
                self.leafs.scripts[leaf_id].body = record(number) + record(number + 50)
        for number in range(4):
            self.directory.put(make_leaf(f"ledger-{number}", "ledger"), 0.0)
        self.directory.put(make_leaf("archive-0", "archive"), 0.0)

    def run_for(self, span_ms: float) -> None:
        """Advance virtual time."""
        self.timers.run_until(self.timers.now_ms() + span_ms)

    def ask(
        self, route: str, deadline_ms: float = 1500.0, host: str = HOST
    ) -> ServingSample:
        """Submit a request on a route and return its sample."""
        number = len(self.samples)
        sample = ServingSample(f"r{number}", self.timers.now_ms())
        self.samples.append(sample)
        request = ForwardRequest(
            sample.request_id,
            "GET",
            f"/{route}/{number}?q=1",
            host,
            (),
            b"",
            deadline_ms,
        )

        def done(outcome) -> None:
            assert sample.outcome is None, "two outcomes for one request"
            sample.outcome = outcome
            sample.elapsed_ms = self.timers.now_ms() - sample.started_ms

        sample.run = self.gateway.submit(request, done)
        return sample


__all__ = [
    "HOST",
    "ROUTES",
    "SHARDS",
    "ServingSample",
    "ServingWorld",
    "make_configuration",
    "make_leaf",
    "make_route",
    "record",
]
