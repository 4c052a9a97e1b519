"""Faults of a soak: a seeded course of them, one after the other and overlapping."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum
from typing import TYPE_CHECKING

from .deployment import ROUTES, SHARDS
from .proxy import Link
from .records import Disturbance

if TYPE_CHECKING:
    from random import Random

    from ..timers import LoopTimers
    from .deployment import DaemonProcess, SoakDeployment

LONGEST_STOP_MS = 8000.0
RESTART_MS = 300.0
POLL_MS = 50.0


class Fault(Enum):
    """What can be brought about."""

    DAEMON_STOPS = "daemon_stops"
    DAEMON_KILLED = "daemon_killed"
    DAEMON_PAUSED = "daemon_paused"
    DAEMON_RELOADS = "daemon_reloads"
    LEAF_CRASHES = "leaf_crashes"
    LEAF_DRAINS = "leaf_drains"
    LEAF_LINK = "leaf_link"
    STORE_LINK = "store_link"
    STORE_DOWN = "store_down"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    CONFIGURATION = "configuration"


class Faults:
    """Brings faults about.

    Parameters
    ----------
    deployment : SoakDeployment
        What they befall.
    timers : LoopTimers
        Time.
    random : Random
        Seeded.
    """

    def __init__(
        self, deployment: SoakDeployment, timers: LoopTimers, random: Random
    ) -> None:
        self._deployment = deployment
        self._timers = timers
        self._random = random
        self._under_way: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()

    async def run(self, until_ms: float) -> None:
        """Bring faults about until a time, and wait for the last to end."""
        while self._timers.now_ms() < until_ms:
            fault = self._random.choice(list(Fault))
            task = asyncio.ensure_future(self._bring_about(fault))
            self._under_way.add(task)
            task.add_done_callback(self._under_way.discard)
            await self._timers.sleep(self._random.uniform(200.0, 1800.0))
        if self._under_way:
            await asyncio.gather(*self._under_way)

    async def _bring_about(self, fault: Fault) -> None:
        span_ms = self._random.uniform(300.0, 2500.0)
        match fault:
            case (
                Fault.DAEMON_STOPS
                | Fault.DAEMON_KILLED
                | Fault.DAEMON_PAUSED
                | Fault.DAEMON_RELOADS
            ):
                await self._on_daemon(fault, span_ms)
            case Fault.LEAF_CRASHES | Fault.LEAF_DRAINS | Fault.LEAF_LINK:
                await self._on_leaf(fault, span_ms)
            case Fault.CONFIGURATION:
                self._deployment.configure(ROUTES)
            case _:
                await self._on_store(fault, span_ms)

    def _note(self, fault: Fault, subject: str, from_ms: float) -> None:
        to_ms = self._timers.now_ms()
        disturbance = Disturbance(fault.value, subject, from_ms, to_ms)
        self._deployment.records.disturbances.append(disturbance)

    async def _on_daemon(self, fault: Fault, span_ms: float) -> None:
        daemons = [d for d in self._deployment.daemons if d.name not in self._busy]
        if len(daemons) < 2:
            return
        daemon = self._random.choice(daemons)
        self._busy.add(daemon.name)
        from_ms = self._timers.now_ms()
        match fault:
            case Fault.DAEMON_STOPS:
                daemon.send(signal.SIGTERM)
                await self._start_again(daemon)
            case Fault.DAEMON_KILLED:
                daemon.send(signal.SIGKILL)
                await self._start_again(daemon)
            case Fault.DAEMON_PAUSED:
                daemon.send(signal.SIGSTOP)
                await self._timers.sleep(span_ms)
                daemon.send(signal.SIGCONT)
            case _:
                daemon.send(signal.SIGHUP)
        self._busy.discard(daemon.name)
        self._note(fault, daemon.name, from_ms)

    async def _start_again(self, daemon: DaemonProcess) -> None:
        end_ms = self._timers.now_ms() + LONGEST_STOP_MS
        while daemon.is_alive and self._timers.now_ms() < end_ms:
            await self._timers.sleep(POLL_MS)
        daemon.send(signal.SIGKILL)
        await self._timers.sleep(RESTART_MS)
        daemon.start()

    async def _on_leaf(self, fault: Fault, span_ms: float) -> None:
        deployment = self._deployment
        leafs = [leaf for leaf in deployment.leafs if leaf.leaf_id not in self._busy]
        leaf = self._random.choice(leafs)
        self._busy.add(leaf.leaf_id)
        from_ms = self._timers.now_ms()
        match fault:
            case Fault.LEAF_CRASHES:
                await deployment.crash_leaf(leaf)
                await self._timers.sleep(span_ms)
                await deployment.add_leaf(leaf.service, leaf.zone)
            case Fault.LEAF_DRAINS:
                await deployment.add_leaf(leaf.service, leaf.zone)
                deployment.drain_leaf(leaf)
                await self._timers.sleep(LONGEST_STOP_MS)
                await deployment.crash_leaf(leaf)
            case _:
                proxy = deployment.leaf_proxies[leaf.leaf_id]
                links = [link for link in Link if link is not Link.SOUND]
                proxy.set_link(self._random.choice(links))
                await self._timers.sleep(span_ms)
                proxy.set_link(Link.SOUND)
                self._busy.discard(leaf.leaf_id)
        self._note(fault, leaf.leaf_id, from_ms)

    async def _on_store(self, fault: Fault, span_ms: float) -> None:
        if "store" in self._busy:
            return
        self._busy.add("store")
        from_ms = self._timers.now_ms()
        deployment = self._deployment
        match fault:
            case Fault.STORE_LINK:
                links = [link for link in Link if link is not Link.SOUND]
                deployment.store_proxy.set_link(self._random.choice(links))
                await self._timers.sleep(span_ms)
                deployment.store_proxy.set_link(Link.SOUND)
            case Fault.STORE_DOWN:
                deployment.api.faults.down = True
                await self._timers.sleep(span_ms)
                deployment.api.faults.down = False
            case Fault.STORE_LOSES:
                deployment.api.faults.lose_replies = len(SHARDS)
            case _:
                deployment.store.compact()
        self._busy.discard("store")
        self._note(fault, "store", from_ms)


__all__ = ["Fault", "Faults"]
