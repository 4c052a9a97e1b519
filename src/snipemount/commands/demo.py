"""`snipemount demo`: both deployments, reduced, on loopback, under load."""

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
from ..errors import ResultCode
from ..standins.deployments import Deployment
from ..standins.harness import LocalDeployment
from ..timers import LoopTimers

if TYPE_CHECKING:
    from ..standins.deployments import DeploymentPlan

WARM_UP_MS = 5000.0
LOAD_MS = 6000.0
ZONE_OUT_GRACE_MS = 3000.0
QUERIES_PER_S = 20.0
DEADLINE_MS = 370.0
EXTRA_LOAD_LIMIT = 0.10
SERVERS_PER_ZONE = 2
DAEMONS_PER_ZONE = 2


class Fault(Enum):
    """Faults that the demo can bring about."""

    NONE = "none"
    STRAGGLER = "straggler"
    LOST_REPLICA = "lost-replica"
    ZONE_OUT = "zone-out"
    COLD_SERVER = "cold-server"
    BAD_VERSION = "bad-version"


@attrs.define(eq=False)
class Row:
    """Figures of one service as asked through one zone's daemons."""

    service: str
    zone: str
    elapsed_ms: list[float] = attrs.Factory(list)
    shards_asked: int = 0
    shards_answered: int = 0
    codes: Counter[str] = attrs.Factory(Counter)

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the times of all answers."""
        if not self.elapsed_ms:
            return 0.0
        ordered = sorted(self.elapsed_ms)
        return ordered[min(len(ordered) - 1, int(len(ordered) * quantile))]

    @property
    def coverage(self) -> float:
        """Shards answered of shards asked."""
        return self.shards_answered / self.shards_asked if self.shards_asked else 0.0


@attrs.define(eq=False)
class Outcome:
    """A stated outcome and whether it held."""

    text: str
    held: bool


@cappa.command(name="demo", help="Run both deployments, reduced, on loopback.")
@attrs.define
class Demo:
    """Arguments of the subcommand.

    Parameters
    ----------
    fault : Fault
        Fault brought about while the load runs.
    seed : int
        Seed of the load and the stand-ins.
    load_ms : float
        Time of the measured load.
    """

    fault: Annotated[Fault, cappa.Arg(long=True, help="Fault to bring about.")] = (
        Fault.NONE
    )
    seed: Annotated[int, cappa.Arg(long=True, help="Seed.")] = 1
    load_ms: Annotated[float, cappa.Arg(long=True, help="Load time.")] = LOAD_MS

    def __call__(self) -> None:
        """Run the demo; the exit status tells whether all outcomes held."""
        outcomes = uvloop.run(self._run())
        for outcome in outcomes:
            print(f"{'held' if outcome.held else 'MISSED':7} {outcome.text}")
        if not all(outcome.held for outcome in outcomes):
            sys.exit(1)

    async def _run(self) -> list[Outcome]:
        outcomes: list[Outcome] = []
        for deployment in Deployment:
            run = DemoRun(reduced(deployment.value), self.fault, self.seed)
            outcomes += await run.run(self.load_ms)
        return outcomes


def reduced(plan: DeploymentPlan) -> DeploymentPlan:
    """Return a plan with two services and a few servers in each zone."""
    first, _, last, *_ = plan.services
    small = attrs.evolve(first, servers_per_zone=SERVERS_PER_ZONE)
    daemons = DAEMONS_PER_ZONE * len(plan.zones)
    return attrs.evolve(plan, services=(small, last), daemons=daemons)


class DemoRun:
    """One deployment under load with one fault.

    Parameters
    ----------
    plan : DeploymentPlan
        Reduced plan.
    fault : Fault
        Fault to bring about.
    seed : int
        Seed.
    """

    def __init__(self, plan: DeploymentPlan, fault: Fault, seed: int) -> None:
        self._plan = plan
        self._fault = fault
        self._random = Random(seed)
        self._deployment = LocalDeployment(plan, seed)
        self._timers = LoopTimers(asyncio.get_running_loop())
        self._rows: dict[tuple[str, str], Row] = {}
        self._measuring = False
        self._bad_answers = 0

    async def run(self, load_ms: float) -> list[Outcome]:
        """Start, warm up, load, stop; print the table."""
        await self._deployment.start()
        try:
            async with aiohttp.ClientSession() as session:
                await self._load(session, WARM_UP_MS)
                await self._bring_about()
                self._measuring = True
                await self._load(session, load_ms)
            outcomes = self._outcomes()
        finally:
            await self._deployment.stop()
        self._print_table()
        return outcomes

    async def _load(self, session: aiohttp.ClientSession, duration_ms: float) -> None:
        end_ms = self._timers.now_ms() + duration_ms
        tasks: list[asyncio.Task[None]] = []
        while self._timers.now_ms() < end_ms:
            for service in self._plan.services:
                work = self._ask(session, service.name)
                tasks.append(asyncio.create_task(work))
            gap_s = self._random.expovariate(QUERIES_PER_S)
            await self._timers.sleep(gap_s * 1000.0)
        await asyncio.gather(*tasks)

    async def _ask(self, session: aiohttp.ClientSession, service: str) -> None:
        daemon = self._random.choice(list(self._deployment.daemons.values()))
        body = {
            "service": service,
            "query": {"text": self._random.randrange(10**9)},
            "caller": "demo",
            "deadline_ms": DEADLINE_MS,
        }
        url = f"http://127.0.0.1:{daemon.caller_port}{QUERY_PATH}"
        started_ms = self._timers.now_ms()
        async with session.post(url, json=body) as response:
            answer = await response.json()
        if self._measuring:
            elapsed_ms = self._timers.now_ms() - started_ms
            self._count(service, daemon.node.own.zone, answer, elapsed_ms)

    def _count(
        self, service: str, zone: str, answer: dict[str, Any], elapsed_ms: float
    ) -> None:
        row = self._rows.setdefault((service, zone), Row(service, zone))
        row.codes[answer["result"]] += 1
        row.elapsed_ms.append(elapsed_ms)
        coverage = answer["coverage"]
        if coverage is None:
            return
        row.shards_asked += coverage["shards_total"]
        row.shards_answered += coverage["shards_answered"]
        counted = coverage["shards_answered"] + len(coverage["missing"])
        self._bad_answers += counted != coverage["shards_total"]

    async def _bring_about(self) -> None:
        service = self._plan.services[0].name
        models = self._deployment.models_of(service)
        zone = self._plan.zones[0]
        match self._fault:
            case Fault.STRAGGLER:
                for model in models:
                    model.behaviour.straggler_rate = 0.01
            case Fault.LOST_REPLICA:
                await self._deployment.lose_server(models[0].server.name)
            case Fault.ZONE_OUT:
                self._deployment.take_zone_out(zone, True)
                self._timers.call_later(ZONE_OUT_GRACE_MS, self._mark_zone_out)
            case Fault.COLD_SERVER:
                models[0].restart()
            case Fault.BAD_VERSION:
                for model in models:
                    model.behaviour.wrong_snapshot = model.server.zone == zone

    def _mark_zone_out(self) -> None:
        for service in self._plan.services:
            for model in self._deployment.models_of(service.name):
                model.tally.last_start_ms = -1.0

    def _outcomes(self) -> list[Outcome]:
        name = self._plan.name
        rows = list(self._rows.values())
        answers = sum(sum(row.codes.values()) for row in rows)
        full = sum(row.codes[ResultCode.OK.name] for row in rows)
        p99_ms = max(row.quantile_ms(0.99) for row in rows)
        extra = self._extra_load()
        outcomes = [
            Outcome(
                f"{name}: each coverage adds up to its map", self._bad_answers == 0
            ),
            Outcome(
                f"{name}: {full} of {answers} answers are complete; at least 99 in 100",
                full >= 0.99 * answers > 0,
            ),
            Outcome(f"{name}: p99 {p99_ms:.0f} ms is at most 370 ms", p99_ms <= 370),
            Outcome(
                f"{name}: extra load {extra:.3f} is at most {EXTRA_LOAD_LIMIT}",
                extra <= EXTRA_LOAD_LIMIT,
            ),
        ]
        outcomes += self._server_outcomes()
        return outcomes

    def _server_outcomes(self) -> list[Outcome]:
        name = self._plan.name
        models = [server.model for server in self._deployment.servers.values()]
        falls = sum(model.tally.falls for model in models)
        slots = sum(model.tally.slots_exceeded for model in models)
        connections = sum(model.tally.connections_exceeded for model in models)
        outcomes = [
            Outcome(f"{name}: no cold server fell over ({falls})", falls == 0),
            Outcome(f"{name}: no leaf's slots were exceeded ({slots})", slots == 0),
            Outcome(
                f"{name}: no connection limit was exceeded ({connections})",
                connections == 0,
            ),
        ]
        if self._fault is Fault.ZONE_OUT:
            zone = self._plan.zones[0]
            late = any(
                model.tally.last_start_ms >= 0
                for model in models
                if model.server.zone == zone
            )
            text = f"{name}: no new work in {zone} after 3 s"
            outcomes.append(Outcome(text, not late))
        return outcomes

    def _extra_load(self) -> float:
        first = extra = 0
        for daemon in self._deployment.daemons.values():
            for service in self._plan.services:
                state = daemon.node.entry.state(service.name)
                if state is not None:
                    first += state.budget.first_attempts
                    extra += state.budget.extra_attempts
        return extra / first if first else 0.0

    def _print_table(self) -> None:
        print(
            f"{'service':18} {'zone':10} {'answers':>8} {'p50_ms':>8} {'p99_ms':>8} "
            f"{'p999_ms':>8} {'coverage':>9}  refusals"
        )
        for _, row in sorted(self._rows.items()):
            refusals = {
                code: count
                for code, count in sorted(row.codes.items())
                if code not in (ResultCode.OK.name, ResultCode.PARTIAL.name)
            }
            shown = " ".join(f"{code}={n}" for code, n in refusals.items()) or "none"
            print(
                f"{row.service:18} {row.zone:10} {len(row.elapsed_ms):8d} "
                f"{row.quantile_ms(0.5):8.1f} {row.quantile_ms(0.99):8.1f} "
                f"{row.quantile_ms(0.999):8.1f} {row.coverage:9.4f}  {shown}"
            )


__all__ = ["Demo", "DemoRun", "Fault", "reduced"]
