"""`snipemount demo`: run both reference deployments, reduced, under load.

Platform, backend servers and daemons run in this process on loopback.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from enum import Enum
from random import Random
from typing import TYPE_CHECKING, Annotated, Any

import aiohttp
import attrs
import cappa
import uvloop

from ..adapters.caller_http import QUERY_PATH
from ..checked_connector import CheckedConnector
from ..errors import ResultCode
from ..standins.deployments import Deployment
from ..standins.harness import LocalDeployment
from ..timers import LoopTimers

if TYPE_CHECKING:
    from ..standins.deployments import DeploymentPlan

WARM_UP_LOAD_MS = 5000.0
MEASURED_LOAD_MS = 6000.0
MAX_ZONE_OUT_DELAY_MS = 3000.0
QUERIES_PER_SERVICE_PER_S = 20.0
QUERY_DEADLINE_MS = 370.0
MAX_EXTRA_LOAD = 0.10
SERVERS_PER_ZONE = 2
DAEMONS_PER_ZONE = 2


class DemoFault(Enum):
    """Faults that the demo can inject."""

    NONE = "none"
    STRAGGLER = "straggler"
    LOST_REPLICA = "lost-replica"
    ZONE_OUT = "zone-out"
    COLD_SERVER = "cold-server"
    BAD_VERSION = "bad-version"


@attrs.define(eq=False)
class ServiceStats:
    """Measurements of one service, queried through the daemons of one zone.

    Parameters
    ----------
    service : str
        Service name.
    zone : str
        Availability zone of the daemons that answered.
    elapsed_ms : list of float
        Time of every measured query, whatever its result.
    shards_asked : int
        Shards of the pinned shard maps, summed over the answers with a coverage.
    shards_answered : int
        How many of these shards answered.
    codes : Counter of str
        Answers by result code.
    """

    service: str
    zone: str
    elapsed_ms: list[float] = attrs.Factory(list)
    shards_asked: int = 0
    shards_answered: int = 0
    codes: Counter[str] = attrs.Factory(Counter)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of `elapsed_ms`; 0 when nothing was measured."""
        if not self.elapsed_ms:
            return 0.0
        ordered = sorted(self.elapsed_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]

    @property
    def coverage(self) -> float:
        """Share of the queried shards that answered."""
        return self.shards_answered / self.shards_asked if self.shards_asked else 0.0


@attrs.define(eq=False)
class Expectation:
    """An expected property of the run and whether it was met."""

    text: str
    met: bool


@cappa.command(
    name="demo", help="Run both reference deployments, reduced, on loopback."
)
@attrs.define
class Demo:
    """Arguments of `demo`.

    Parameters
    ----------
    fault : DemoFault
        Fault injected between the warm-up and the measured load.
    seed : int
        Seed of the load and the stand-ins.
    load_ms : float
        Duration of the measured load.
    """

    fault: Annotated[DemoFault, cappa.Arg(long=True, help="Fault to inject.")] = (
        DemoFault.NONE
    )
    seed: Annotated[int, cappa.Arg(long=True, help="Random seed.")] = 1
    load_ms: Annotated[float, cappa.Arg(long=True, help="Duration, ms.")] = (
        MEASURED_LOAD_MS
    )

    def __call__(self) -> None:
        """Run the demo; exit with status 1 when an expectation is missed."""
        expectations = uvloop.run(self._run())
        for expectation in expectations:
            print(f"{'held' if expectation.met else 'MISSED':7} {expectation.text}")
        if not all(expectation.met for expectation in expectations):
            sys.exit(1)

    async def _run(self) -> list[Expectation]:
        expectations: list[Expectation] = []
        for deployment in Deployment:
            run = DemoRun(reduce_plan(deployment.value), self.fault, self.seed)
            expectations += await run.run(self.load_ms)
        return expectations


def reduce_plan(plan: DeploymentPlan) -> DeploymentPlan:
    """Return a smaller plan: the first and third service, few servers and daemons.

    The first service gets `SERVERS_PER_ZONE` servers in each availability zone; the
    third keeps its size.
    """
    first, _, third, *_ = plan.services
    smaller_first = attrs.evolve(first, servers_per_zone=SERVERS_PER_ZONE)
    daemons = DAEMONS_PER_ZONE * len(plan.zones)
    return attrs.evolve(plan, services=(smaller_first, third), daemons=daemons)


class DemoRun:
    """Run of one deployment under load with one fault.

    Parameters
    ----------
    plan : DeploymentPlan
        Zones, daemons and services, already reduced.
    fault : DemoFault
        Fault to inject.
    seed : int
        Seed of the load and the stand-ins.
    """

    def __init__(self, plan: DeploymentPlan, fault: DemoFault, seed: int) -> None:
        self._plan = plan
        self._fault = fault
        self._random = Random(seed)
        self._deployment = LocalDeployment(plan, seed)
        self._timers = LoopTimers(asyncio.get_running_loop())
        self._stats: dict[tuple[str, str], ServiceStats] = {}
        self._measuring = False
        self._coverage_mismatches = 0

    async def run(self, load_ms: float) -> list[Expectation]:
        """Run warm-up, fault and measured load; print the table.

        The deployment is started for the run and stopped also when the load fails.

        Parameters
        ----------
        load_ms : float
            Duration of the measured load.
        """
        await self._deployment.start()
        try:
            async with aiohttp.ClientSession(connector=CheckedConnector()) as session:
                await self._run_load(session, WARM_UP_LOAD_MS)
                await self._inject_fault()
                self._measuring = True
                await self._run_load(session, load_ms)
            expectations = self._expectations()
        finally:
            await self._deployment.stop()
        self._print_table()
        return expectations

    async def _run_load(
        self, session: aiohttp.ClientSession, duration_ms: float
    ) -> None:
        end_ms = self._timers.now_ms() + duration_ms
        tasks: list[asyncio.Task[None]] = []
        while self._timers.now_ms() < end_ms:
            for service in self._plan.services:
                query = self._send_query(session, service.name)
                tasks.append(asyncio.create_task(query))
            interval_s = self._random.expovariate(QUERIES_PER_SERVICE_PER_S)
            await self._timers.sleep(interval_s * 1000.0)
        await asyncio.gather(*tasks)

    async def _send_query(self, session: aiohttp.ClientSession, service: str) -> None:
        daemon = self._random.choice(list(self._deployment.daemons.values()))
        body = {
            "service": service,
            "query": {"text": self._random.randrange(10**9)},
            "caller": "demo",
            "deadline_ms": QUERY_DEADLINE_MS,
        }
        url = f"http://127.0.0.1:{daemon.caller_port}{QUERY_PATH}"
        started_ms = self._timers.now_ms()
        async with session.post(url, json=body) as response:
            answer = await response.json()
        if self._measuring:
            elapsed_ms = self._timers.now_ms() - started_ms
            self._record_answer(service, daemon.node.own.zone, answer, elapsed_ms)

    def _record_answer(
        self, service: str, zone: str, answer: dict[str, Any], elapsed_ms: float
    ) -> None:
        stats = self._stats.setdefault((service, zone), ServiceStats(service, zone))
        stats.codes[answer["result"]] += 1
        stats.elapsed_ms.append(elapsed_ms)
        coverage = answer["coverage"]
        if coverage is None:
            return
        stats.shards_asked += coverage["shards_total"]
        stats.shards_answered += coverage["shards_answered"]
        listed = coverage["shards_answered"] + len(coverage["missing"])
        self._coverage_mismatches += listed != coverage["shards_total"]

    async def _inject_fault(self) -> None:
        service = self._plan.services[0].name
        models = self._deployment.models_of(service)
        zone = self._plan.zones[0]
        match self._fault:
            case DemoFault.STRAGGLER:
                for model in models:
                    model.behaviour.straggler_rate = 0.01
            case DemoFault.LOST_REPLICA:
                await self._deployment.crash_server(models[0].server.name)
            case DemoFault.ZONE_OUT:
                self._deployment.set_zone_out(zone, True)
                self._timers.call_later(MAX_ZONE_OUT_DELAY_MS, self._reset_start_times)
            case DemoFault.COLD_SERVER:
                models[0].restart()
            case DemoFault.BAD_VERSION:
                for model in models:
                    model.behaviour.wrong_snapshot = model.server.zone == zone

    def _reset_start_times(self) -> None:
        for service in self._plan.services:
            for model in self._deployment.models_of(service.name):
                model.stats.last_start_ms = -1.0

    def _expectations(self) -> list[Expectation]:
        name = self._plan.name
        all_stats = list(self._stats.values())
        answers = sum(sum(stats.codes.values()) for stats in all_stats)
        complete = sum(stats.codes[ResultCode.OK.name] for stats in all_stats)
        p99_ms = max(stats.quantile_ms(0.99) for stats in all_stats)
        extra = self._extra_load()
        expectations = [
            Expectation(
                f"{name}: each coverage adds up to its shard count",
                self._coverage_mismatches == 0,
            ),
            Expectation(
                f"{name}: {complete} of {answers} answers are complete; at least 99 %",
                complete >= 0.99 * answers > 0,
            ),
            Expectation(
                f"{name}: p99 {p99_ms:.0f} ms is at most 370 ms", p99_ms <= 370
            ),
            Expectation(
                f"{name}: extra load {extra:.3f} is at most {MAX_EXTRA_LOAD}",
                extra <= MAX_EXTRA_LOAD,
            ),
        ]
        expectations += self._server_expectations()
        return expectations

    def _server_expectations(self) -> list[Expectation]:
        name = self._plan.name
        models = [server.model for server in self._deployment.servers.values()]
        overload_crashes = sum(model.stats.overload_crashes for model in models)
        slot_violations = sum(model.stats.slots_exceeded for model in models)
        connection_violations = sum(
            model.stats.connections_exceeded for model in models
        )
        expectations = [
            Expectation(
                f"{name}: no cold server crashed under load ({overload_crashes})",
                overload_crashes == 0,
            ),
            Expectation(
                f"{name}: no leaf's slots were exceeded ({slot_violations})",
                slot_violations == 0,
            ),
            Expectation(
                f"{name}: no connection limit was exceeded ({connection_violations})",
                connection_violations == 0,
            ),
        ]
        if self._fault is DemoFault.ZONE_OUT:
            zone = self._plan.zones[0]
            started_late = any(
                model.stats.last_start_ms >= 0
                for model in models
                if model.server.zone == zone
            )
            text = f"{name}: no exchange starts in {zone} once it is out for 3 s"
            expectations.append(Expectation(text, not started_late))
        return expectations

    def _extra_load(self) -> float:
        first = extra = 0
        for daemon in self._deployment.daemons.values():
            for service in self._plan.services:
                state = daemon.node.entry.services.state(service.name)
                if state is not None:
                    first += state.budget.first_attempts
                    extra += state.budget.extra_attempts
        return extra / first if first else 0.0

    def _print_table(self) -> None:
        print(
            f"{'service':18} {'zone':10} {'answers':>8} {'p50_ms':>8} {'p99_ms':>8} "
            f"{'p999_ms':>8} {'coverage':>9}  refusals"
        )
        for _, stats in sorted(self._stats.items()):
            refusals = {
                code: count
                for code, count in sorted(stats.codes.items())
                if code not in (ResultCode.OK.name, ResultCode.PARTIAL.name)
            }
            shown = " ".join(f"{code}={n}" for code, n in refusals.items()) or "none"
            print(
                f"{stats.service:18} {stats.zone:10} {len(stats.elapsed_ms):8d} "
                f"{stats.quantile_ms(0.5):8.1f} {stats.quantile_ms(0.99):8.1f} "
                f"{stats.quantile_ms(0.999):8.1f} {stats.coverage:9.4f}  {shown}"
            )


__all__ = ["Demo", "DemoFault", "DemoRun", "reduce_plan"]
