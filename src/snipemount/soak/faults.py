"""Injects a seeded random sequence of faults, which may overlap, into a soak."""

from __future__ import annotations

import asyncio
import signal
from enum import Enum
from typing import TYPE_CHECKING

from .deployment import ROUTES, SHARDS
from .proxy import LinkMode
from .records import FaultRecord

if TYPE_CHECKING:
    from random import Random

    from ..timers import LoopTimers
    from .deployment import DaemonProcess, SoakDeployment

MAX_STOP_MS = 8000.0
RESTART_DELAY_MS = 300.0
POLL_PERIOD_MS = 50.0
STORE_AWAY_MS = 500.0
LOST_VERSIONS = 300


class FaultKind(Enum):
    """Kinds of faults that a soak injects."""

    DAEMON_STOPS = "daemon_stops"
    DAEMON_KILLED = "daemon_killed"
    DAEMON_PAUSED = "daemon_paused"
    DAEMON_RELOADS = "daemon_reloads"
    LEAF_CRASHES = "leaf_crashes"
    LEAF_DRAINS = "leaf_drains"
    LEAF_LINK = "leaf_link"
    STORE_LINK = "store_link"
    STORE_DOWN = "store_down"
    STORE_LOSES_RESPONSES = "store_loses"
    STORE_DROPS_LOG = "store_forgets"
    STORE_RETURNS = "store_returns"
    CONFIGURATION = "configuration"


class FaultInjector:
    """Injects faults into a soak and records them.

    Parameters
    ----------
    deployment : SoakDeployment
        Deployment whose daemons, leafs and store get the faults.
    timers : LoopTimers
        Clock and sleeps.
    random : Random
        Seeded generator that decides kinds, targets and times.
    kinds : tuple of FaultKind
        Kinds to inject; one that is listed twice comes twice as often.
    """

    def __init__(
        self,
        deployment: SoakDeployment,
        timers: LoopTimers,
        random: Random,
        kinds: tuple[FaultKind, ...] = tuple(FaultKind),
    ) -> None:
        self._kinds = kinds
        self._deployment = deployment
        self._timers = timers
        self._random = random
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy_targets: set[str] = set()

    async def run(self, until_ms: float) -> None:
        """Inject faults until a time and wait for the last of them to end."""
        while self._timers.now_ms() < until_ms:
            kind = self._random.choice(self._kinds)
            task = asyncio.ensure_future(self._inject(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await self._timers.sleep(self._random.uniform(200.0, 1800.0))
        if self._tasks:
            await asyncio.gather(*self._tasks)

    async def _inject(self, kind: FaultKind) -> None:
        duration_ms = self._random.uniform(300.0, 2500.0)
        match kind:
            case (
                FaultKind.DAEMON_STOPS
                | FaultKind.DAEMON_KILLED
                | FaultKind.DAEMON_PAUSED
                | FaultKind.DAEMON_RELOADS
            ):
                await self._inject_daemon_fault(kind, duration_ms)
            case FaultKind.LEAF_CRASHES | FaultKind.LEAF_DRAINS | FaultKind.LEAF_LINK:
                await self._inject_leaf_fault(kind, duration_ms)
            case FaultKind.CONFIGURATION:
                self._deployment.configure(ROUTES)
            case _:
                await self._inject_store_fault(kind, duration_ms)

    def _record(self, kind: FaultKind, subject: str, start_ms: float) -> None:
        end_ms = self._timers.now_ms()
        record = FaultRecord(kind.value, subject, start_ms, end_ms)
        self._deployment.records.faults.append(record)

    async def _inject_daemon_fault(self, kind: FaultKind, duration_ms: float) -> None:
        daemons = [
            d for d in self._deployment.daemons if d.name not in self._busy_targets
        ]
        if len(daemons) < 2:
            return
        daemon = self._random.choice(daemons)
        self._busy_targets.add(daemon.name)
        start_ms = self._timers.now_ms()
        match kind:
            case FaultKind.DAEMON_STOPS:
                daemon.send_signal(signal.SIGTERM)
                await self._restart(daemon)
            case FaultKind.DAEMON_KILLED:
                daemon.send_signal(signal.SIGKILL)
                await self._restart(daemon)
            case FaultKind.DAEMON_PAUSED:
                daemon.send_signal(signal.SIGSTOP)
                await self._timers.sleep(duration_ms)
                daemon.send_signal(signal.SIGCONT)
            case _:
                daemon.send_signal(signal.SIGHUP)
        self._busy_targets.discard(daemon.name)
        self._record(kind, daemon.name, start_ms)

    async def _restart(self, daemon: DaemonProcess) -> None:
        stop_deadline_ms = self._timers.now_ms() + MAX_STOP_MS
        while daemon.is_alive and self._timers.now_ms() < stop_deadline_ms:
            await self._timers.sleep(POLL_PERIOD_MS)
        daemon.send_signal(signal.SIGKILL)
        await self._timers.sleep(RESTART_DELAY_MS)
        daemon.start()

    async def _inject_leaf_fault(self, kind: FaultKind, duration_ms: float) -> None:
        deployment = self._deployment
        leafs = [
            leaf for leaf in deployment.leafs if leaf.leaf_id not in self._busy_targets
        ]
        leaf = self._random.choice(leafs)
        self._busy_targets.add(leaf.leaf_id)
        start_ms = self._timers.now_ms()
        match kind:
            case FaultKind.LEAF_CRASHES:
                await deployment.crash_leaf(leaf)
                await self._timers.sleep(duration_ms)
                await deployment.add_leaf(leaf.service, leaf.zone)
            case FaultKind.LEAF_DRAINS:
                await deployment.add_leaf(leaf.service, leaf.zone)
                deployment.drain_leaf(leaf)
                await self._timers.sleep(MAX_STOP_MS)
                await deployment.crash_leaf(leaf)
            case _:
                proxy = deployment.leaf_proxies[leaf.leaf_id]
                modes = [mode for mode in LinkMode if mode is not LinkMode.NORMAL]
                proxy.set_mode(self._random.choice(modes))
                await self._timers.sleep(duration_ms)
                proxy.set_mode(LinkMode.NORMAL)
                self._busy_targets.discard(leaf.leaf_id)
        self._record(kind, leaf.leaf_id, start_ms)

    async def _inject_store_fault(self, kind: FaultKind, duration_ms: float) -> None:
        if "store" in self._busy_targets:
            return
        self._busy_targets.add("store")
        start_ms = self._timers.now_ms()
        deployment = self._deployment
        match kind:
            case FaultKind.STORE_LINK:
                modes = [mode for mode in LinkMode if mode is not LinkMode.NORMAL]
                deployment.store_proxy.set_mode(self._random.choice(modes))
                await self._timers.sleep(duration_ms)
                deployment.store_proxy.set_mode(LinkMode.NORMAL)
            case FaultKind.STORE_DOWN:
                deployment.platform.faults.down = True
                await self._timers.sleep(duration_ms)
                deployment.platform.faults.down = False
            case FaultKind.STORE_RETURNS:
                await self._return_store(duration_ms)
            case FaultKind.STORE_LOSES_RESPONSES:
                deployment.platform.faults.lose_replies = len(SHARDS)
            case _:
                deployment.store.compact()
        self._busy_targets.discard("store")
        self._record(kind, "store", start_ms)

    async def _return_store(self, copy_age_ms: float) -> None:
        """Let the store be away for a moment and come back from an older copy.

        It loses a configuration, which is written again before the next one, and other
        changes, after as many of which it has given out the lost versions again.
        """
        deployment = self._deployment
        copied = deployment.store.copy()
        deployment.store.skip_versions(LOST_VERSIONS)
        deployment.configure(ROUTES)
        await self._timers.sleep(copy_age_ms)
        deployment.platform.faults.down = True
        deployment.store_proxy.set_mode(LinkMode.RESET)
        await self._timers.sleep(STORE_AWAY_MS)
        deployment.store.return_from(copied)
        deployment.store_proxy.set_mode(LinkMode.NORMAL)
        deployment.platform.faults.down = False
        deployment.write_again()
        deployment.configure(ROUTES)
        deployment.store.skip_versions(LOST_VERSIONS)


__all__ = ["FaultInjector", "FaultKind"]
