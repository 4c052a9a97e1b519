"""A deployment in one process on loopback: platform, backend servers, daemons."""

from __future__ import annotations

import asyncio
import os
import socket
from itertools import count
from random import Random
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from ..daemon import Daemon
from ..model.catalogue import ZoneRecord
from ..node.catalogue import record_converter
from ..ports.platform import Kind
from ..settings import (
    AdminSettings,
    DaemonSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    ShutdownSettings,
    TlsSettings,
    TokenSettings,
)
from ..timers import LoopTimers
from .backend_http import BackendStandin
from .backend_model import BackendModel, Behaviour
from .deployments import (
    LOOPBACK,
    PortCounter,
    build_members,
    build_profile,
    build_service,
)
from .object_store import ObjectStore
from .platform_http import PlatformStandin

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..decisions.fleet.membership import Member
    from ..model.catalogue import ServiceRecord
    from .deployments import DeploymentPlan, ServicePlan

BALANCER_GRACE_MS = 50.0

FIRST_PORT = 10_000
END_PORT = 32_768  # exclusive; Linux assigns ports from here on to outgoing connections


def _candidate_ports() -> Iterator[int]:
    """Yield all ports in an endless cycle whose start differs between processes."""
    span = END_PORT - FIRST_PORT
    first = os.getpid() * 97
    for number in count():
        yield FIRST_PORT + (first + number) % span


_ports = _candidate_ports()


def free_port() -> int:
    """Return a free TCP port; ports are reused only after all have been returned."""
    for port in _ports:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return port
    raise AssertionError("_candidate_ports ended, but must yield ports without end")


class FreePorts(PortCounter):
    """Allocates port numbers on which nothing listens."""

    def take(self) -> int:
        """Return a port number on which nothing listens."""
        return free_port()


@attrs.define(eq=False)
class RunningServer:
    """A backend server that accepts connections, with its model."""

    name: str
    model: BackendModel
    standin: BackendStandin
    runner: web.AppRunner


class LocalDeployment:
    """Runs the platform, servers and daemons of a deployment in this process.

    Parameters
    ----------
    plan : DeploymentPlan
        Zones, daemons and services.
    seed : int
        Seed of the random decisions of stand-ins and daemons.
    first_caller_port : int
        Port on which the first daemon listens for callers; 0 for a free one.
    """

    def __init__(
        self, plan: DeploymentPlan, seed: int, first_caller_port: int = 0
    ) -> None:
        self.plan = plan
        self.seed = seed
        self._next_caller_port = first_caller_port
        self.tokens: tuple[TokenSettings, ...] = ()
        self.tls = TlsSettings()
        self.store = ObjectStore()
        self.platform = PlatformStandin(self.store)
        self.platform_url = ""
        self.daemons: dict[str, Daemon] = {}
        self.servers: dict[str, RunningServer] = {}
        self.services: dict[str, ServiceRecord] = {}
        self._ports = FreePorts()
        self._platform_runner: web.AppRunner | None = None
        self._timers = LoopTimers(asyncio.get_running_loop())

    async def start(self) -> None:
        """Start the platform, servers and daemons; return when all are ready."""
        port = self._ports.take()
        self.platform_url = f"http://{LOOPBACK}:{port}"
        self._platform_runner = await _listen(self.platform.make_app(), port)
        for service in self.plan.services:
            await self._start_service(service)
        members = build_members(self.plan, self._ports)
        for member in members:
            self.store.put(
                Kind.MEMBER, member.name, record_converter.unstructure(member)
            )
        for member in members:
            await self.start_daemon(member)
        await asyncio.gather(*(d.wait_ready() for d in self.daemons.values()))

    async def start_daemon(self, member: Member) -> Daemon:
        """Start a daemon without waiting until it is ready."""
        settings = self.settings_of(member, self._next_caller_port)
        self._next_caller_port = 0
        daemon = Daemon(settings, self.seed)
        self.daemons[member.name] = daemon
        await daemon.start()
        return daemon

    async def stop(self) -> None:
        """Stop the daemons, then the servers, then the platform."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons.values()))
        for server in self.servers.values():
            await server.runner.cleanup()
        self.platform.faults.down = True
        if self._platform_runner is not None:
            await self._platform_runner.cleanup()

    def settings_of(self, member: Member, caller_port: int = 0) -> Settings:
        """Return the settings of a daemon; caller port 0 takes a free one."""
        return Settings(
            daemon=DaemonSettings(
                member.name,
                member.zone,
                member.host,
                caller_port,
                member.mesh_port,
            ),
            platform=PlatformSettings(self.platform_url),
            log=LogSettings("error"),
            tls=self.tls,
            admin=AdminSettings(0, self.tokens),
            shutdown=ShutdownSettings(balancer_grace_ms=BALANCER_GRACE_MS),
        )

    def models_of(self, service: str) -> list[BackendModel]:
        """Return the models of a service's servers, of all its versions."""
        record = self.services[service]
        return [
            self.servers[server.name].model
            for version in record.versions
            for server in version.servers
        ]

    def set_zone_out(self, zone: str, out: bool) -> None:
        """Order a zone to be taken out (`out` true) or brought back."""
        spec = record_converter.unstructure(ZoneRecord(zone, out))
        self.store.put(Kind.ZONE, zone, spec)

    async def crash_server(self, name: str) -> None:
        """Crash a backend server without a restart and stop listening."""
        server = self.servers[name]
        server.model.behaviour.restart_ms = float("inf")
        server.model.crash()
        await server.runner.cleanup()

    async def _start_service(self, service: ServicePlan) -> None:
        profile = build_profile(service)
        self.store.put(
            Kind.PROFILE, profile.name, record_converter.unstructure(profile)
        )
        record = build_service(self.plan, service, self._ports)
        await self._start_servers(service, record)
        self._put_service(record)

    async def add_version(self, service: str, version: str) -> None:
        """Start servers of a new version and add the version to the service."""
        plan = next(s for s in self.plan.services if s.name == service)
        built = build_service(self.plan, plan, self._ports, version)
        await self._start_servers(plan, built)
        record = self.services[service]
        versions = record.versions + built.versions
        self._put_service(attrs.evolve(record, versions=versions))

    def _put_service(self, record: ServiceRecord) -> None:
        self.services[record.name] = record
        self.store.put(Kind.SERVICE, record.name, record_converter.unstructure(record))

    async def _start_servers(self, plan: ServicePlan, record: ServiceRecord) -> None:
        version = record.versions[0]
        shard_map = record.shard_map(version.version)
        tokens = {shard_map.snapshot.token} if shard_map else set()
        for server in version.servers:
            behaviour = Behaviour(service_ms=plan.service_ms)
            random = Random(f"{server.name}/{self.seed}")
            model = BackendModel(server, self._timers, random, behaviour, set(tokens))
            standin = BackendStandin(model)
            runner = await _listen(standin.make_app(), server.port)
            running = RunningServer(server.name, model, standin, runner)
            self.servers[server.name] = running


async def _listen(app: web.Application, port: int) -> web.AppRunner:
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=0.5
    )
    await runner.setup()
    await web.TCPSite(runner, LOOPBACK, port).start()
    return runner


__all__ = ["LocalDeployment", "RunningServer", "free_port"]
