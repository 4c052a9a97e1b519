"""The entry daemon as it runs on the operators' platform, with all its adapters."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

from aiohttp.web_response import Response
from aiohttp.web_server import Server

from .adapters.delegation_websocket import (
    WebsocketDelegationClient,
    WebsocketDelegationServer,
)
from .adapters.prometheus_metrics import PrometheusMetrics
from .adapters.relay_websocket import WebsocketRelay
from .bounded_writer import BoundedWriter
from .decisions.fleet.readiness_checks import ReadinessChecks
from .decisions.fleet.state_age import CRASH_REPORT_AGES
from .decisions.fleet.vm_capacity import max_running_legs
from .decisions.fleet.zone_reachability import ZoneReachability
from .decisions.leafs.leaf_choice import LeafChoice
from .decisions.leafs.leaf_directory import LeafDirectory
from .entry_gauges import (
    add_caller_gauges,
    add_capacity_gauges,
    add_crash_gauges,
    add_directory_gauges,
    add_gateway_gauges,
    add_leaf_client_gauges,
    add_overload_gauges,
)
from .entry_settings import (
    age_limits,
    cold_limit,
    extra_attempt_limit,
    own_address,
    seed_addresses,
)
from .entry_usage import make_usage
from .errors import SettingsError
from .logs import make_logger
from .platform.caller_bounds import CallerBounds
from .platform.caller_connections import CallerConnections
from .platform.caller_server import CallerServer
from .platform.documents import PlatformDecoders
from .platform.graceful_stop import StopTimes, stop_serving
from .platform.leaf_client import LeafClient
from .platform.node_file import node_file_path, read_node_file
from .platform.store_client import StoreClient
from .ports.platform import Kind
from .ports.store_address import StoreAddress
from .serving.capacity_watch import CapacityWatch
from .serving.context import ServingContext
from .serving.coordinator_links import CoordinatorLinks
from .serving.delegated_queries import DelegatedQueries
from .serving.gateway import Gateway
from .serving.overload_control import OverloadControl
from .serving.ready_connections import ReadyConnections
from .serving.request_log import RequestLog
from .serving.store_feed import StoreFeed
from .timers import LoopTimers

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

    from .model.leaf import Leaf

METRICS_PORT = 9464  # the same as in deploy/system.toml
METRICS_PATH = "/metrics"
LOG_FLUSH_PERIOD_MS = 200.0
ZONE_PROBE_PERIOD_MS = 100.0
RELOAD_PERIOD_MS = 2000.0  # the settings file may change without a SIGHUP
# Share of a leaf's connections that all daemons together may open.
CONNECTION_SHARE = 0.95
# Connections to a leaf whose service is not in the configuration.
DEFAULT_MAX_CONNECTIONS = 2


class EntryDaemon:
    """One entry daemon: forwards the requests of callers to leafs.

    Parameters
    ----------
    path : Path
        Settings file that the platform writes for this process.

    Raises
    ------
    SettingsError
        When the file cannot be read, or a field is missing or malformed.
    """

    def __init__(self, path: Path) -> None:
        settings = read_node_file(path)
        self._path = path
        self._reload_fault = ""
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._timers = LoopTimers(self._loop)
        self._random = Random()
        self._log_writer = BoundedWriter(sys.stdout.fileno())
        self.logger = make_logger("info", settings.name, self._log_writer)
        self._metrics = PrometheusMetrics()
        self._readiness_checks = ReadinessChecks()
        self._leaf_client = LeafClient(self._timers, self._connection_limit)
        self._context = ServingContext(
            self._timers,
            self._leaf_client,
            LeafDirectory(settings.leaf_heartbeat_ms, settings.bounds.drain_ms),
            LeafChoice(settings.zone, self._random),
            extra_attempt_limit(settings),
            ZoneReachability(settings.zone),
            self.logger,
            self._metrics,
            cold_limit(settings),
            settings.name,
            cold_requests_per_s=self._cold_requests_per_s,
            is_shard=lambda service: service in self.gateway.shards,
            ms_until_moved=self._ms_until_moved,
        )
        own = own_address(settings)
        self._coordinators = CoordinatorLinks(
            self._context,
            WebsocketDelegationClient(self.logger),
            own,
            lambda: self.gateway.shards,
            lambda: self._store_feed.exchange,
        )
        self.gateway = Gateway(
            self._context,
            RequestLog(self.logger, self._metrics),
            self._coordinators,
        )
        self._overload = OverloadControl(
            self._context, self._random, self._admits_by_load
        )
        self._context.overload = self._overload
        store = settings.store
        state_limits = age_limits(settings)
        watch_limits = state_limits | {Kind.CRASH_REPORT: CRASH_REPORT_AGES}
        self._store = StoreClient(
            StoreAddress(f"http://{store.host}:{store.port}"),
            self._metrics,
            self._timers,
            {kind: limits.watch_wait_ms for kind, limits in watch_limits.items()},
        )
        peers = settings.peers
        self._relay = WebsocketRelay(
            peers.host,
            peers.port,
            lambda: self._store_feed.snapshot(),
            lambda message: self._store_feed.on_follower_message(message),
            self.logger,
        )
        self._capacity_watch = CapacityWatch(
            self._context.directory, self._timers, self.logger
        )
        self._ready_connections = ReadyConnections(self._context, self.gateway)
        self._store_feed = StoreFeed(
            self._store,
            self._relay,
            self.gateway,
            self._context,
            PlatformDecoders(),
            own,
            seed_addresses(settings),
            self._random,
            self.logger,
            self._coordinators.set_daemons,
            state_limits,
        )
        self._delegated_queries = DelegatedQueries(
            self._context,
            self.gateway,
            self._store_feed.exchange,
            max_running_legs(own.legs_per_s),
        )
        self._delegation_server = WebsocketDelegationServer(
            settings.queries.host,
            settings.queries.port,
            self._delegated_queries,
            self.logger,
        )
        self._caller_server = CallerServer(
            self.gateway,
            lambda: self._delegated_queries.in_flight,
            CallerConnections(
                self._timers,
                CallerBounds.for_process(settings.limits, settings.caller_timeouts),
                lambda: self.gateway.limits,
                self.logger,
            ),
        )
        self._usage = make_usage(
            settings,
            self._timers,
            self._store,
            self._relay,
            self._store_feed,
            self._random,
            self.logger,
        )
        if self._usage is not None:
            self._usage.connect(self.gateway, self._metrics)
        self._register_gauges()
        self._stopping = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers to this daemon."""
        known = self.gateway.configuration is not None
        can_serve = known and len(self._context.directory) > 0
        return (
            can_serve
            and not self._caller_server.closing
            and not self.gateway.is_isolated
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        self._loop.set_exception_handler(self._on_unexpected_error)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(signal_number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        own = self._settings
        readiness_server = Server(self._serve_readiness, access_log=None)
        await self._loop.create_server(
            readiness_server, own.readiness.host, own.readiness.port
        )
        metrics_server = Server(self._serve_metrics, access_log=None)
        await self._loop.create_server(metrics_server, own.readiness.host, METRICS_PORT)
        listener = await self._loop.create_server(
            self._caller_server, own.callers.host, own.callers.port, backlog=1024
        )
        await self._relay.listen()
        await self._delegation_server.listen()
        self._store_feed.start(own.first_start)
        self._coordinators.start()
        self._ready_connections.start()
        if self._usage is not None:
            self._usage.start()
        self._capacity_watch.start()
        self._timers.call_every(LOG_FLUSH_PERIOD_MS, self._flush_log)
        self._timers.call_every(RELOAD_PERIOD_MS, self._reload)
        self._timers.call_every(ZONE_PROBE_PERIOD_MS, self._context.probe_zones)
        self.logger.info(
            "started",
            zone=own.zone,
            callers=own.callers.port,
            cores=round(own.capacity.cores, 2),
            link_mbps=own.capacity.link_mbps,
        )
        await self._stopping.wait()
        await self._stop(listener)

    def _on_unexpected_error(
        self, loop: asyncio.AbstractEventLoop, details: dict[str, Any]
    ) -> None:
        """Log an error that no caller awaits; the daemon goes on."""
        self.logger.error(
            "unexpected_error",
            message=details.get("message"),
            error=repr(details.get("exception")),
        )

    async def _serve_readiness(self, request: BaseRequest) -> Response:
        ready = self.ready
        self._readiness_checks.note(ready, self._timers.now_ms())
        return Response(status=200 if ready else 503)

    def _ms_until_moved(self) -> float:
        if not self.gateway.is_isolated:
            return 0.0
        return self._readiness_checks.ms_until_moved(self._timers.now_ms())

    async def _serve_metrics(self, request: BaseRequest) -> Response:
        if request.path != METRICS_PATH:
            return Response(status=404)
        return Response(body=self._metrics.render(), content_type="text/plain")

    def _register_gauges(self) -> None:
        gauge = self._metrics.add_gauge
        add_gateway_gauges(self._metrics, self.gateway)
        add_directory_gauges(self._metrics, self._context)
        add_overload_gauges(self._metrics, self._overload)
        add_crash_gauges(self._metrics, self._context)
        add_capacity_gauges(self._metrics, self._capacity_watch)
        add_caller_gauges(self._metrics, self._caller_server.connections)
        add_leaf_client_gauges(self._metrics, self._leaf_client)
        gauge(
            "zone_orders_age_ms",
            "Time since the known orders on zones were current for certain.",
            lambda: self._store_feed.state_age_ms(Kind.ZONE_ORDER),
        )
        gauge(
            "store_era",
            "Returns of the store from an older copy, as its last answer states them.",
            lambda: self._store_feed.store_era,
        )
        gauge(
            "ready", "Whether the balancer may send callers.", lambda: float(self.ready)
        )
        gauge("in_flight", "Requests in flight.", lambda: self._caller_server.in_flight)
        gauge(
            "delegated_in_flight",
            "Queries in flight that other daemons delegate.",
            lambda: self._delegated_queries.in_flight,
        )

    def _flush_log(self) -> None:
        self._log_writer.flush()
        dropped = self._log_writer.take_dropped()
        if dropped:
            self.logger.warning("log_lines_dropped", count=dropped)

    def _reload(self) -> None:
        """Read the settings file again; if it has a fault, the old settings stay.

        The same fault is logged only once. New limits on extra attempts and cold
        leafs apply at once; new addresses of the caller listener or the store need
        a restart, which the log line states.
        """
        try:
            settings = read_node_file(self._path)
        except SettingsError as error:
            if error.detail != self._reload_fault:
                self.logger.error("settings_not_reloaded", reason=error.detail)
            self._reload_fault = error.detail
            return
        self._reload_fault = ""
        if settings == self._settings:
            return
        needs_restart = (settings.callers, settings.store) != (
            self._settings.callers,
            self._settings.store,
        )
        self._settings = settings
        self._context.extra_attempt_limit = extra_attempt_limit(settings)
        self._context.cold_limit = cold_limit(settings)
        self._context.recompute_shares()
        self.logger.info("settings_reloaded", takes_a_restart=needs_restart)

    def _connection_limit(self, leaf: Leaf) -> int:
        traits = self.gateway.traits(leaf.service)
        if traits is None:
            return DEFAULT_MAX_CONNECTIONS
        limit = CONNECTION_SHARE * traits.max_connections
        share = self._context.own_share(limit, leaf.leaf_id, leaf.service)
        return max(1, int(share))

    def _admits_by_load(self) -> bool:
        configuration = self.gateway.configuration
        has_organisations = (
            configuration is not None and configuration.organisations is not None
        )
        return self._settings.leafs_under_pressure or has_organisations

    def _cold_requests_per_s(self, service: str) -> float:
        traits = self.gateway.traits(service)
        return 0.0 if traits is None else traits.cold_requests_per_s

    async def _stop(self, listener: asyncio.AbstractServer) -> None:
        """Stop gracefully, within the grace period of the settings.

        The readiness check fails first, so that the balancer moves callers to other
        daemons; then the running requests are completed and everything is closed.
        """
        self._delegated_queries.stop()
        self._overload.stop()
        if self._usage is not None:
            self._usage.prepare_stop()
        await stop_serving(
            self._caller_server,
            listener.close,
            self._timers,
            StopTimes.for_grace(self._settings.bounds.grace_ms),
            self.logger,
        )
        if self._usage is not None:
            await self._usage.stop()
        self._leaf_client.close()
        self._coordinators.close()
        await self._relay.close()
        await self._delegation_server.close()
        await self._store.close()
        self._log_writer.flush()


async def serve() -> None:
    """Run the entry daemon with the settings file of the platform."""
    await EntryDaemon(Path(node_file_path())).run()


__all__ = ["EntryDaemon", "serve"]
