"""A daemon: the engine with its real adapters."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web

from .adapters.admin_http import AdminInterface
from .adapters.backend_http import HttpBackend
from .adapters.caller_http import CallerInterface
from .adapters.coded_runner import CodedRunner
from .adapters.credentials import Credentials
from .adapters.peer_websocket import WebsocketPeers
from .decisions.membership import Member
from .errors import SettingsError
from .logs import make_logger
from .metrics import make_metrics
from .node.admin_commands import AdminCommands
from .node.admin_queries import AdminQueries
from .node.node import Node, Ports
from .platform.store_client import StoreClient
from .ports.measures import NoMeasures
from .timers import LoopTimers
from .tls import TlsKeys

if TYPE_CHECKING:
    from .model.move import EventRecord
    from .ports.peer import PeerMessage
    from .settings import Settings

READY_POLL_MS = 20.0


class Daemon:
    """One entry daemon on real sockets.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    seed : int or None
        Seed of its random choices; None takes the system's entropy.
    """

    def __init__(self, settings: Settings, seed: int | None = None) -> None:
        self._settings = settings
        own = settings.daemon
        self.logger = make_logger(settings.log.level, own.name)
        self._timers = LoopTimers(asyncio.get_running_loop())
        member = Member(own.name, own.zone, own.host, own.mesh_port)
        self._peers = WebsocketPeers(
            member, self._timers, self.logger, self._received, self._lost
        )
        self._backend = HttpBackend()
        self._platform = StoreClient(settings.platform, NoMeasures())
        ports = Ports(self._backend, self._peers, self._platform, self._timers)
        seeds = tuple(
            Member(f"seed:{s.host}:{s.mesh_port}", "", s.host, s.mesh_port)
            for s in settings.mesh.seeds
        )
        self.node = Node(member, ports, Random(seed), on_event=self._told, seeds=seeds)
        self._callers = CallerInterface(
            self.node, settings.caller, make_metrics(settings.statsd), self.logger
        )
        self._tls = TlsKeys(settings.tls)
        self._admin = AdminInterface(
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
        """Port on which callers are answered."""
        return self._port(self._runner, self._settings.daemon.caller_port)

    @property
    def admin_port(self) -> int:
        """Port on which operators are answered."""
        return self._port(self._admin_runner, self._settings.admin.port)

    @staticmethod
    def _port(runner: web.AppRunner | None, configured: int) -> int:
        if runner is None or not runner.addresses:
            return configured
        return int(runner.addresses[0][1])

    def reload_keys(self) -> None:
        """Read the TLS keys again; on a fault the old ones stay in force."""
        if not self._tls.enabled:
            return
        try:
            self._tls.reload()
        except SettingsError as error:
            self.logger.error("keys_not_reloaded", reason=error.detail)
            return
        self.logger.info("keys_reloaded")

    async def start(self) -> None:
        """Open the listeners and begin to work."""
        own = self._settings.daemon
        tls = self._tls
        await self._peers.listen(tls.mesh_listener(), tls.mesh_dialer())
        self.node.start()
        self._runner = await self._listen(self._callers.make_app(), own.caller_port)
        admin = self._settings.admin
        self._admin_runner = await self._listen(self._admin.make_app(), admin.port)
        self.logger.info(
            "started", zone=own.zone, caller_port=self.caller_port, mesh=own.mesh_port
        )

    async def _listen(self, app: web.Application, port: int) -> web.AppRunner:
        runner = CodedRunner(app, access_log=None, handler_cancellation=True)
        await runner.setup()
        host = self._settings.daemon.host
        site = web.TCPSite(runner, host, port, ssl_context=self._tls.listener())
        await site.start()
        return runner

    async def wait_ready(self) -> None:
        """Wait until the daemon may be given requests."""
        while not self.node.ready:
            await self._timers.sleep(READY_POLL_MS)

    async def stop(self) -> None:
        """Stop in good order: no request is cut."""
        shutdown = self._settings.shutdown
        self._callers.ready = False
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

    def _told(self, event: EventRecord) -> None:
        self.logger.warning(
            "operators_told",
            subject=event.subject,
            what=event.what,
            reason=event.reason,
        )

    def _received(self, sender: str, message: PeerMessage) -> None:
        self.node.received(sender, message)

    def _lost(self, name: str) -> None:
        self.node.peer_lost(name)


__all__ = ["Daemon"]
