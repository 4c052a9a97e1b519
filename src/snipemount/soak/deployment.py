"""Daemon processes, stand-ins and proxies of one soak."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import attrs
from aiohttp import web

from ..platform.node_file import NODE_FILE_VARIABLE
from ..ports.platform import Kind
from ..standins.harness import free_port
from ..standins.object_store import ObjectStore
from ..standins.platform_http import PlatformStandin
from ..standins.platform_leaf import (
    LeafStandin,
    SoakRoute,
    VmSize,
    configuration_spec,
    node_file,
)
from .proxy import Proxy
from .records import LeafArrival, Records

if TYPE_CHECKING:
    from ..timers import LoopTimers

LOOPBACK = "127.0.0.1"
HOST = "search.example"
ZONES = ("zone-a", "zone-b")
SHARDS = tuple(f"shard{number}" for number in range(6))
LEDGER = "ledger"
TOP_K = 5
RECORDS_PER_LEAF = 4
ENTRY_SCRIPT = Path(__file__).parents[2] / "entry.py"
ROUTES = (
    SoakRoute("find", SHARDS, True, TOP_K),
    SoakRoute("look", (LEDGER,), True),
    SoakRoute("log", (LEDGER,), False),
)
LARGE_VM = VmSize(cores=2.0, link_mbps=100.0)
SMALL_VM = VmSize(cores=0.5, link_mbps=10.0)  # delegates queries to large ones
FRONT_PORT = 8104
READINESS_PORT = 8108


@attrs.define(eq=False)
class DaemonProcess:
    """A daemon in a separate process.

    Parameters
    ----------
    name : str
        Name of the daemon.
    zone : str
        Availability zone.
    ip : str
        Loopback address that represents its VM.
    size : VmSize
        Size of its VM as the settings state it.
    folder : Path
        Directory of its settings file and its log file.
    more_variables : dict of str to str
        Further environment variables of the process.
    """

    name: str
    zone: str
    ip: str
    size: VmSize
    folder: Path
    more_variables: dict[str, str] = attrs.field(factory=dict)
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        variables = {
            "PATH": os.environ.get("PATH", ""),
            "PYTHONPATH": str(ENTRY_SCRIPT.parent),
            NODE_FILE_VARIABLE: str(self.folder / f"{self.name}.conf"),
            **self.more_variables,
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, str(ENTRY_SCRIPT)],
                env=variables,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal; do nothing when the process has ended."""
        if self.is_alive and self.process is not None:
            self.process.send_signal(signal_number)

    @property
    def is_alive(self) -> bool:
        """Whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None


class SoakDeployment:
    """Runs the store, leafs, proxies and daemons of one soak.

    Parameters
    ----------
    timers : LoopTimers
        Clock of the recorded times.
    folder : Path
        Directory for settings files and logs.
    daemons : int
        Number of daemons, of which half, at least one, are on large VMs.
    """

    def __init__(self, timers: LoopTimers, folder: Path, daemons: int) -> None:
        self._timers = timers
        self._folder = folder
        self.records = Records()
        self.store = ObjectStore()
        self.platform = PlatformStandin(self.store)
        self.store_proxy = Proxy(LOOPBACK, free_port(), free_port())
        self.leafs: list[LeafStandin] = []
        self.leaf_proxies: dict[str, Proxy] = {}
        self.version = 0
        self._routes: tuple[SoakRoute, ...] = ROUTES
        self._runner: web.AppRunner | None = None
        self._leaf_starts = 0
        second_octet = os.getpid() % 250 + 2
        self.daemons = [
            DaemonProcess(
                f"daemon-{n}",
                ZONES[n % len(ZONES)],
                f"127.{second_octet}.0.{n + 1}",
                LARGE_VM if n < max(1, daemons // 2) else SMALL_VM,
                folder,
            )
            for n in range(daemons)
        ]

    async def start(self) -> None:
        """Start the store and the leafs, then the daemons; don't wait for them."""
        self._runner = web.AppRunner(self.platform.make_app(), access_log=None)
        await self._runner.setup()
        proxy = self.store_proxy
        await web.TCPSite(self._runner, LOOPBACK, proxy.target_port).start()
        await proxy.start()
        self.configure(ROUTES)
        for service in (*SHARDS, LEDGER):
            for zone in ZONES:
                await self.add_leaf(service, zone)
        seeds = [f"{daemon.ip}:8106" for daemon in self.daemons[:2]]
        for daemon in self.daemons:
            store = f"{LOOPBACK}:{proxy.port}"
            text = node_file(
                daemon.name, daemon.zone, daemon.ip, store, seeds, daemon.size
            )
            path = self._folder / f"{daemon.name}.conf"
            path.write_text(text, encoding="utf-8")
            daemon.start()

    async def stop(self) -> None:
        """Kill the daemons that this soak started and stop leafs, proxies and store."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGCONT)
            daemon.send_signal(signal.SIGKILL)
            if daemon.process is not None:
                daemon.process.wait()
        for leaf in self.leafs:
            await leaf.crash()
        for proxy in (*self.leaf_proxies.values(), self.store_proxy):
            proxy.close()
        if self._runner is not None:
            await self._runner.cleanup()

    def configure(self, routes: tuple[SoakRoute, ...]) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        self._routes = routes
        spec = configuration_spec(self.version, routes, HOST)
        self.store.put(Kind.CONFIGURATION, "main", spec)

    async def add_leaf(self, service: str, zone: str) -> LeafStandin:
        """Start a leaf with its proxy and write its directory entry."""
        self._leaf_starts += 1
        proxy = Proxy(LOOPBACK, free_port(), free_port())
        await proxy.start()
        leaf = LeafStandin(
            f"i-{self._leaf_starts}",
            service,
            LOOPBACK,
            proxy.target_port,
            proxy.port,
            zone,
            RECORDS_PER_LEAF,
            self._record_arrival,
        )
        await leaf.start()
        self.leafs.append(leaf)
        self.leaf_proxies[leaf.leaf_id] = proxy
        self.write_leaf_entry(leaf)
        return leaf

    def write_leaf_entry(self, leaf: LeafStandin) -> None:
        """Write a leaf's entry to the platform's directory."""
        self.store.put(Kind.LEAF, leaf.leaf_id, leaf.entry())

    def write_again(self) -> None:
        """Write what the store may have lost: what operators and leafs wrote last."""
        spec = configuration_spec(self.version, self._routes, HOST)
        self.store.put(Kind.CONFIGURATION, "main", spec)
        living = {leaf.leaf_id for leaf in self.leafs}
        for stored in self.store.list_all(Kind.LEAF).objects:
            if stored.name not in living:
                self.store.delete(Kind.LEAF, stored.name)
        for leaf in self.leafs:
            self.write_leaf_entry(leaf)

    async def crash_leaf(self, leaf: LeafStandin) -> None:
        """Crash a leaf without a drain and delete its directory entry."""
        self.leafs.remove(leaf)
        await leaf.crash()
        self.leaf_proxies.pop(leaf.leaf_id).close()
        self.store.delete(Kind.LEAF, leaf.leaf_id)

    def drain_leaf(self, leaf: LeafStandin) -> None:
        """Mark a leaf as draining in the directory; it continues to serve."""
        leaf.draining = True
        self.records.drain_started_ms[leaf.leaf_id] = self._timers.now_ms()
        self.write_leaf_entry(leaf)

    def _record_arrival(
        self, request_id: str, leaf: LeafStandin, executed: bool
    ) -> None:
        arrival = LeafArrival(
            request_id, leaf.leaf_id, leaf.service, self._timers.now_ms()
        )
        self.records.arrivals.append(arrival)
        if executed:
            self.records.runs.append(arrival)


__all__ = [
    "FRONT_PORT",
    "HOST",
    "LEDGER",
    "READINESS_PORT",
    "RECORDS_PER_LEAF",
    "ROUTES",
    "SHARDS",
    "TOP_K",
    "ZONES",
    "DaemonProcess",
    "SoakDeployment",
]
