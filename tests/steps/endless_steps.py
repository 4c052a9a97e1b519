"""Steps on leafs that send without end to a daemon in its own process."""

from __future__ import annotations

import asyncio
import itertools
import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import aiohttp
import attrs
from aiohttp import web
from behave import given, then, when
from endless_leaf import FORMS

from snipemount.ports.platform import Kind
from snipemount.soak.deployment import (
    FRONT_PORT,
    HOST,
    LOOPBACK,
    READINESS_PORT,
    DaemonProcess,
)
from snipemount.standins.harness import free_port
from snipemount.standins.object_store import ObjectStore
from snipemount.standins.platform_http import PlatformStandin
from snipemount.standins.platform_leaf import (
    LeafStandin,
    SoakRoute,
    VmSize,
    configuration_spec,
    node_file,
)

SOUND, FAULTY = "sound", "faulty"
SHARDS = ("shard-0", "shard-1", "shard-2")
ROUTES = (
    SoakRoute("look", (SOUND,), True),
    SoakRoute("find", (FAULTY,), True),
    SoakRoute("sweep", (*SHARDS, FAULTY), True, 5),
    SoakRoute("log", (FAULTY,), False),
)
LEAFS_PER_SERVICE = 4
READY_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 20.0
SOUND_PERIOD_S = 0.02
KB_PER_MB = 1024.0
MAX_DAEMONS_PER_PROCESS = 250
ENDLESS_LEAF = Path(__file__).with_name("endless_leaf.py")
DAEMON_NUMBERS = itertools.count(1)


@attrs.define
class SoundRequests:
    """Statuses and times of the requests to the sound service."""

    statuses: list[int] = attrs.field(factory=list)
    took_ms: list[float] = attrs.field(factory=list)

    @property
    def summary(self) -> str:
        """Return the median and the 99th percentile, for messages."""
        median_ms = statistics.median(self.took_ms)
        return (
            f"{len(self.took_ms)} requests, median {median_ms:.1f} ms, "
            f"99% {self.quantile_ms(0.99):.1f} ms, statuses {set(self.statuses)}"
        )

    def quantile_ms(self, share: float) -> float:
        """Return a quantile of the times, in milliseconds."""
        ordered = sorted(self.took_ms)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class EndlessBed:
    """A daemon process, a store, sound leafs, and leafs that send without end."""

    def __init__(self, form: str, more_settings: str = "") -> None:
        self._form = form
        self._more_settings = more_settings
        self._folder = tempfile.TemporaryDirectory(prefix="snipemount-endless-")
        number = next(DAEMON_NUMBERS)
        ip = f"127.{os.getpid() % MAX_DAEMONS_PER_PROCESS + 2}.7.{number}"
        size = VmSize(cores=2.0, link_mbps=1000.0)
        self.daemon = DaemonProcess(
            "daemon-0", "zone-a", ip, size, Path(self._folder.name)
        )
        self._store = ObjectStore()
        self._leafs: list[LeafStandin] = []
        self._endless: subprocess.Popen[bytes] | None = None
        self._runner: web.AppRunner | None = None
        self._store_port = 0

    async def start(self) -> None:
        """Start everything, and wait until the daemon is ready."""
        app = PlatformStandin(self._store).make_app()
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        self._store_port = free_port()
        await web.TCPSite(self._runner, LOOPBACK, self._store_port).start()
        spec = configuration_spec(1, ROUTES, HOST)
        self._store.put(Kind.CONFIGURATION, "main", spec)
        for service in (SOUND, *SHARDS):
            for number in range(LEAFS_PER_SERVICE):
                leaf = self._put_leaf(service, number)
                await leaf.start()
                self._leafs.append(leaf)
        faulty = [self._put_leaf(FAULTY, n) for n in range(LEAFS_PER_SERVICE)]
        await self._start_faulty([leaf.port for leaf in faulty])
        await self._start_daemon(self.daemon)

    async def _start_daemon(self, daemon: DaemonProcess) -> None:
        """Write a daemon's settings, start it and wait until it is ready."""
        store = f"{LOOPBACK}:{self._store_port}"
        text = node_file(daemon.name, daemon.zone, daemon.ip, store, [], daemon.size)
        path = Path(self._folder.name) / f"{daemon.name}.conf"
        path.write_text(text + self._more_settings, encoding="utf-8")
        daemon.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready(daemon):
                await asyncio.sleep(0.05)

    async def _start_faulty(self, ports: list[int]) -> None:
        self._endless = subprocess.Popen(
            [sys.executable, str(ENDLESS_LEAF), self._form, *map(str, ports)]
        )

    def _put_leaf(self, service: str, number: int) -> LeafStandin:
        port = free_port()
        leaf = LeafStandin(
            f"i-{service}-{number}",
            service,
            LOOPBACK,
            port,
            port,
            "zone-a",
            4,
            lambda *arrival: None,
        )
        self._store.put(Kind.LEAF, leaf.leaf_id, leaf.entry())
        return leaf

    async def _is_ready(self, daemon: DaemonProcess) -> bool:
        url = f"http://{daemon.ip}:{READINESS_PORT}/"
        try:
            async with aiohttp.ClientSession() as client, client.get(url) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def load(self, at_once: int, span_s: float, route: str) -> SoundRequests:
        """Keep requests to the faulty leafs pending, and time those to sound ones."""
        found = SoundRequests()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as client:
            numbers = itertools.count(1)

            async def ask(name: str) -> int:
                request_id = f"r{next(numbers)}"
                url = f"http://{self.daemon.ip}:{FRONT_PORT}/{name}/1"
                headers = {"Host": HOST, "X-Request-Id": request_id}
                timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
                try:
                    async with client.get(
                        url, headers=headers, timeout=timeout
                    ) as response:
                        await response.read()
                        return response.status
                except (aiohttp.ClientError, TimeoutError):
                    return 0

            async def ask_again_and_again() -> None:
                while True:
                    await ask(route)

            faulty = [
                asyncio.create_task(ask_again_and_again()) for _ in range(at_once)
            ]
            loop = asyncio.get_running_loop()
            end_s = loop.time() + span_s
            while loop.time() < end_s:
                started_s = loop.time()
                found.statuses.append(await ask("look"))
                found.took_ms.append((loop.time() - started_s) * 1000.0)
                await asyncio.sleep(SOUND_PERIOD_S)
            for task in faulty:
                task.cancel()
            await asyncio.gather(*faulty, return_exceptions=True)
        return found

    def peak_resident_mb(self) -> float:
        """Return the largest resident memory of the daemon's process, in MB."""
        assert self.daemon.process is not None
        status = Path(f"/proc/{self.daemon.process.pid}/status").read_text("utf-8")
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
        return float(line.split()[1]) / KB_PER_MB

    async def stop(self) -> None:
        """End the daemon and close the stand-ins."""
        for process in (self.daemon.process, self._endless):
            if process is not None:
                process.kill()
                process.wait()
        for leaf in self._leafs:
            await leaf.crash()
        if self._runner is not None:
            await self._runner.cleanup()
        self._folder.cleanup()


async def play(context, form: str, at_once: int, span_s: float, route: str) -> None:
    """Play a form of endless answers; keep what callers and the machine saw."""
    bed = EndlessBed(form)
    try:
        await bed.start()
        context.sound = await bed.load(at_once, span_s, route)
        context.peak_mb = bed.peak_resident_mb()
    finally:
        await bed.stop()


@given("leafs of one service that answer with {form} without end")
def step_form(context, form):
    assert form in FORMS, f"unknown form {form!r}"
    context.form = form


@when("{at_once:d} requests to them are kept pending at a daemon for {span_s:g} s")
def step_load(context, at_once, span_s):
    asyncio.run(play(context, context.form, at_once, span_s, "find"))


@when(
    "{at_once:d} queries that need them are kept pending at a daemon for {span_s:g} s"
)
def step_query_load(context, at_once, span_s):
    asyncio.run(play(context, context.form, at_once, span_s, "sweep"))


@then("the daemon's process never held more than {most_mb:g} MB")
def step_memory(context, most_mb):
    assert context.peak_mb <= most_mb, f"{context.peak_mb:.0f} MB"


@then(
    "all requests to a sound service are served, {share:d}% of them in {within_ms:g} ms"
)
def step_sound(context, share, within_ms):
    sound = context.sound
    assert set(sound.statuses) == {200}, sound.summary
    assert sound.quantile_ms(share / 100.0) <= within_ms, sound.summary
