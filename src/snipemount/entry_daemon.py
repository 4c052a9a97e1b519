"""The daemon on the operators' platform: the serving path with real adapters."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web

from .adapters.relay_websocket import WebsocketRelay
from .adapters.text_measures import TextMeasures
from .bounded_writer import BoundedWriter
from .decisions.cold_limit import ColdBound
from .decisions.extra_sends import ExtraSendBound
from .decisions.leaf_choice import LeafChoice
from .decisions.leaf_directory import LeafDirectory
from .decisions.zone_reach import ZoneReach
from .errors import SettingsError
from .logs import make_logger
from .platform.caller_server import CallerServer
from .platform.documents import StoredDocuments
from .platform.leaf_client import LeafClient
from .platform.node_file import node_file_path, read_node_file
from .platform.store_client import StoreClient
from .ports.relay import DaemonAddress
from .serving.gateway import Gateway
from .serving.ready_connections import ReadyConnections
from .serving.request_log import RequestLog
from .serving.store_feed import StoreFeed
from .serving.surroundings import Surroundings
from .settings import PlatformSettings
from .timers import LoopTimers

if TYPE_CHECKING:
    from .model.leaf import Leaf
    from .model.relay import RelayMessage
    from .platform.node_file import NodeSettings

METRICS_PORT = 9464  # as in deploy/system.toml
METRICS_PATH = "/metrics"
LOG_FLUSH_MS = 200.0
PROBE_CHECK_MS = 100.0
RELOAD_CHECK_MS = 2000.0  # the file may change without a signal
CONNECTION_SHARE = 0.95
UNKNOWN_CONNECTIONS = 2
REBALANCE_MS = 2500.0  # two missed readiness checks and the way there
STOP_SLACK_MS = 600.0


class EntryDaemon:
    """One entry daemon.

    Parameters
    ----------
    path : Path
        Settings file, in which the platform describes this process.

    Raises
    ------
    SettingsError
        When the file cannot be read or has a fault.
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
        self._measures = TextMeasures()
        self._leafs = LeafClient(self._timers, self._connection_limit)
        self._around = Surroundings(
            self._timers,
            self._leafs,
            LeafDirectory(),
            LeafChoice(settings.zone, self._random),
            _extra_send_bound(settings),
            ZoneReach(settings.zone),
            self.logger,
            self._measures,
            _cold_bound(settings),
            settings.name,
            cold_requests_per_s=self._cold_requests_per_s,
        )
        self.gateway = Gateway(self._around, RequestLog(self.logger, self._measures))
        store = settings.store
        self._store = StoreClient(
            PlatformSettings(f"http://{store.host}:{store.port}"), self._measures
        )
        peers = settings.peers
        self._relay = WebsocketRelay(
            peers.host, peers.port, self._relay_snapshot, self._told, self.logger
        )
        self._ready_connections = ReadyConnections(self._around, self.gateway)
        self._feed = StoreFeed(
            self._store,
            self._relay,
            self.gateway,
            self._around,
            StoredDocuments(),
            DaemonAddress(settings.name, settings.zone, peers.host, peers.port),
            _seed_addresses(settings),
            self._random,
            self.logger,
        )
        self._callers = CallerServer(self.gateway)
        self._show_states()
        self._stopping = asyncio.Event()

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers."""
        known = self.gateway.configuration is not None
        able = known and len(self._around.directory) > 0
        return able and not self._callers.closing and not self.gateway.is_isolated

    async def run(self) -> None:
        """Serve until told to stop."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        own = self._settings
        readiness = web.Server(self._readiness, access_log=None)
        await self._loop.create_server(
            readiness, own.readiness.host, own.readiness.port
        )
        figures = web.Server(self._figures, access_log=None)
        await self._loop.create_server(figures, own.readiness.host, METRICS_PORT)
        listener = await self._loop.create_server(
            self._callers, own.callers.host, own.callers.port, backlog=1024
        )
        await self._relay.listen()
        self._feed.start(own.first_start)
        self._ready_connections.start()
        self._timers.call_every(LOG_FLUSH_MS, self._flush_log)
        self._timers.call_every(RELOAD_CHECK_MS, self._reload)
        self._timers.call_every(PROBE_CHECK_MS, self._around.probe_zones)
        self.logger.info("started", zone=own.zone, callers=own.callers.port)
        await self._stopping.wait()
        await self._stop(listener)

    def _relay_snapshot(self) -> list[RelayMessage]:
        return self._feed.snapshot()

    def _told(self, message: RelayMessage) -> None:
        self._feed.told(message)

    async def _readiness(self, request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if self.ready else 503)

    async def _figures(self, request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=self._measures.text(), content_type="text/plain")

    def _show_states(self) -> None:
        show = self._measures.state
        gateway = self.gateway
        around = self._around
        show("configuration_version", "In force.", lambda: gateway.version)
        show("leafs_known", "Leafs in the directory.", lambda: len(around.directory))
        show("daemons_known", "Daemons registered.", lambda: around.daemons)
        show(
            "zones_cut_off",
            "Zones taken as cut off.",
            lambda: len(around.reach.cut_off_zones()),
        )
        show("ready", "Whether callers may be sent.", lambda: float(self.ready))
        show("in_flight", "Requests under way.", lambda: self._callers.in_flight)
        show("connections_opened", "To leafs.", lambda: self._leafs.opened)

    def _flush_log(self) -> None:
        self._log_writer.flush()
        dropped = self._log_writer.take_dropped()
        if dropped:
            self.logger.warning("log_lines_dropped", count=dropped)

    def _reload(self) -> None:
        """Read the settings file again; a faulty one leaves the old in force."""
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
        moved = (settings.callers, settings.store) != (
            self._settings.callers,
            self._settings.store,
        )
        self._settings = settings
        self._around.bound = _extra_send_bound(settings)
        self._around.cold_bound = _cold_bound(settings)
        self._around.share_bounds()
        self.logger.info("settings_reloaded", takes_a_restart=moved)

    def _connection_limit(self, leaf: Leaf) -> int:
        traits = self.gateway.traits(leaf.service)
        if traits is None:
            return UNKNOWN_CONNECTIONS
        share = CONNECTION_SHARE * traits.max_connections / self._around.daemons
        return max(1, int(share))

    def _cold_requests_per_s(self, service: str) -> float:
        traits = self.gateway.traits(service)
        return 0.0 if traits is None else traits.cold_requests_per_s

    async def _stop(self, listener: asyncio.AbstractServer) -> None:
        """Stop in good order: callers move away, then the last answers go out."""
        started_ms = self._timers.now_ms()
        end_ms = started_ms + self._settings.bounds.grace_ms - STOP_SLACK_MS
        self._callers.closing = True
        self.logger.info("stopping", in_flight=self._callers.in_flight)
        await self._timers.sleep(REBALANCE_MS)
        await self._callers.finish(self._timers, end_ms)
        # Closed only when nothing runs: what arrives now crosses the close unread.
        listener.close()
        self._callers.close_idle()
        await self._callers.finish(self._timers, end_ms)
        self._callers.refuse()
        self.logger.info("stopped", in_flight=self._callers.in_flight)
        self._leafs.close()
        await self._relay.close()
        await self._store.close()
        self._log_writer.flush()


def _extra_send_bound(settings: NodeSettings) -> ExtraSendBound:
    bounds = settings.bounds
    return ExtraSendBound(
        bounds.extra_load_ratio, bounds.extra_load_slack, bounds.extra_load_window_ms
    )


def _cold_bound(settings: NodeSettings) -> ColdBound:
    return ColdBound(settings.bounds.cold_ratio, settings.bounds.cold_slack)


def _seed_addresses(settings: NodeSettings) -> tuple[DaemonAddress, ...]:
    own = settings.peers
    others = (host for host in settings.seeds if host != own.host)
    return tuple(DaemonAddress(f"seed:{h}", "", h, own.port) for h in others)


async def serve() -> None:
    """Run the daemon that the settings file describes."""
    await EntryDaemon(Path(node_file_path())).run()


__all__ = ["EntryDaemon", "serve"]
