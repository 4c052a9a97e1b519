"""A daemon that serves on real sockets: the node connected to its adapters."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web

from .adapters.admin_http import AdminInterface
from .adapters.backend_http import HttpBackend
from .adapters.caller_http import CallerInterface
from .adapters.credentials import Credentials
from .adapters.peer_websocket import WebsocketPeers
from .adapters.result_code_runner import ResultCodeRunner
from .decisions.fleet.membership import Member
from .errors import SettingsError
from .logs import make_logger
from .metrics import make_metrics
from .node.admin_commands import AdminCommands
from .node.admin_queries import AdminQueries
from .node.node import Node, Ports
from .platform.store_client import StoreClient
from .ports.serving_metrics import NoServingMetrics
from .ports.store_address import StoreAddress
from .timers import LoopTimers
from .tls import TlsContexts

if TYPE_CHECKING:
    from .model.move import EventRecord
    from .ports.peer import PeerMessage
    from .settings import Settings

READY_POLL_MS = 20.0


class Daemon:
    """One daemon with its listeners for callers, operators and other daemons.

    Parameters
    ----------
    settings : Settings
        Validated settings of this daemon.
    seed : int or None
        Seed of the random number generator; None seeds it from the operating
        system.
    """

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self._settings = settings
        own = settings.daemon
        self.logger = make_logger(settings.log.level, own.name)
        self._timers = LoopTimers(asyncio.get_running_loop())
        member = Member(own.name, own.zone, own.host, own.mesh_port)
        self._peers = WebsocketPeers(
            member, self._timers, self.logger, self._on_message, self._on_peer_lost
        )
        self._backend = HttpBackend()
        platform = settings.platform
        self._platform = StoreClient(
            StoreAddress(platform.url, platform.call_timeout_ms),
            NoServingMetrics(),
            self._timers,
            {},
        )
        ports = Ports(self._backend, self._peers, self._platform, self._timers)
        seeds = tuple(
            Member(f"seed:{s.host}:{s.mesh_port}", "", s.host, s.mesh_port)
            for s in settings.mesh.seeds
        )
        self.node = Node(
            member, ports, Random(seed), on_event=self._log_event, seeds=seeds
        )
        self._caller_interface = CallerInterface(
            self.node, settings.caller, make_metrics(settings.statsd), self.logger
        )
        self._tls = TlsContexts(settings.tls)
        self._admin_interface = AdminInterface(
            self.node,
            AdminCommands(self.node, self._platform, self._timers, self.logger),
            AdminQueries(self.node),
            self._platform,
            Credentials(settings.admin.tokens),
            self.logger,
        )
        self._runner: web.AppRunner | None = None
        self._admin_runner: web.AppRunner | None = None

    @property
    def caller_port(self) -> int:
        """TCP port of the caller interface; the configured one until it listens."""
        return self._port(self._runner, self._settings.daemon.caller_port)

    @property
    def admin_port(self) -> int:
        """TCP port for operators; the configured one until the daemon listens."""
        return self._port(self._admin_runner, self._settings.admin.port)

    @staticmethod
    def _port(runner: web.AppRunner | None, configured: int) -> int:
        if runner is None or not runner.addresses:
            return configured
        return int(runner.addresses[0][1])

    def reload_keys(self) -> None:
        """Load the TLS certificate and key again.

        When a file cannot be loaded, the error is logged and the old keys stay in
        use. Without TLS nothing happens.
        """
        if not self._tls.enabled:
            return
        try:
            self._tls.reload()
        except SettingsError as error:
            self.logger.error("keys_not_reloaded", reason=error.detail)
            return
        self.logger.info("keys_reloaded")

    async def start(self) -> None:
        """Start the node and open the listeners."""
        own = self._settings.daemon
        tls = self._tls
        await self._peers.listen(tls.mesh_listener_context(), tls.mesh_client_context())
        self.node.start()
        self._runner = await self._listen(
            self._caller_interface.make_app(), own.caller_port
        )
        admin = self._settings.admin
        self._admin_runner = await self._listen(
            self._admin_interface.make_app(), admin.port
        )
        self.logger.info(
            "started", zone=own.zone, caller_port=self.caller_port, mesh=own.mesh_port
        )

    async def _listen(self, app: web.Application, port: int) -> web.AppRunner:
        runner = ResultCodeRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        host = self._settings.daemon.host
        site = web.TCPSite(runner, host, port, ssl_context=self._tls.listener_context())
        await site.start()
        return runner

    async def wait_ready(self) -> None:
        """Wait until the daemon is ready to serve requests."""
        while not self.node.ready:
            await self._timers.sleep(READY_POLL_MS)

    async def stop(self) -> None:
        """Stop gracefully.

        The readiness check fails first, so that the balancer sends no new requests.
        After the grace period the node drains its running requests, for at most the
        drain time of the settings, and the listeners and connections are closed.
        """
        shutdown = self._settings.shutdown
        self._caller_interface.ready = False
        self.logger.info("stopping", balancer_grace_ms=shutdown.balancer_grace_ms)
        await self._timers.sleep(shutdown.balancer_grace_ms)
        idle = asyncio.Event()
        self.node.stop(idle.set)
        self._timers.call_later(shutdown.drain_ms, idle.set)
        await idle.wait()
        for runner in (self._runner, self._admin_runner):
            if runner is not None:
                await runner.cleanup()
        await self._peers.close()
        await self._backend.close_all()
        await self._platform.close()
        self.logger.info("stopped")

    def _log_event(self, event: EventRecord) -> None:
        self.logger.warning(
            "operators_told",
            subject=event.subject,
            what=event.what,
            reason=event.reason,
        )

    def _on_message(self, sender: str, message: PeerMessage) -> None:
        self.node.received(sender, message)

    def _on_peer_lost(self, name: str) -> None:
        self.node.peer_lost(name)


__all__ = ["Daemon"]
