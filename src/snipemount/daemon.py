"""A daemon: the engine with its real adapters."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from aiohttp import web

from .adapters.backend_http import HttpBackend
from .adapters.caller_http import CallerInterface
from .adapters.coded_runner import CodedRunner
from .adapters.peer_websocket import WebsocketPeers
from .adapters.platform_http import HttpPlatform
from .decisions.membership import Member
from .logs import make_logger
from .metrics import make_metrics
from .node.node import Node, Ports
from .timers import LoopTimers

if TYPE_CHECKING:
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
        self._platform = HttpPlatform(settings.platform)
        ports = Ports(self._backend, self._peers, self._platform, self._timers)
        self.node = Node(member, ports, Random(seed))
        self._callers = CallerInterface(
            self.node, settings.caller, make_metrics(settings.statsd), self.logger
        )
        self._runner: web.AppRunner | None = None

    @property
    def caller_port(self) -> int:
        """Port on which callers are answered."""
        if self._runner is None or not self._runner.addresses:
            return self._settings.daemon.caller_port
        return int(self._runner.addresses[0][1])

    async def start(self) -> None:
        """Open the listeners and begin to work."""
        own = self._settings.daemon
        await self._peers.listen()
        self.node.start()
        self._runner = CodedRunner(
            self._callers.make_app(), access_log=None, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, own.host, own.caller_port).start()
        self.logger.info(
            "started", zone=own.zone, caller_port=self.caller_port, mesh=own.mesh_port
        )

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
        if self._runner is not None:
            await self._runner.cleanup()
        await self._peers.close()
        await self._backend.close_all()
        await self._platform.close()
        self.logger.info("stopped")

    def _received(self, sender: str, message: PeerMessage) -> None:
        self.node.received(sender, message)

    def _lost(self, name: str) -> None:
        self.node.peer_lost(name)


__all__ = ["Daemon"]
