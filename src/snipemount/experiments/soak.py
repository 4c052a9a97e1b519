"""Soak test in virtual time: random faults, with the guarantees checked."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..model.catalogue import ZoneRecord
from ..node.catalogue import record_converter
from ..ports.platform import Kind
from .operator_orders import SMALL_PLAN
from .report import ExperimentTarget, Report, RunStatistics, summarize
from .world import World

if TYPE_CHECKING:
    from ..decisions.fleet.membership import Member

ROUNDS = 12
ROUND_MS = 8000.0
FAULT_DURATION_MS = 4000.0
RECOVERY_MS = 8000.0
WARM_UP_MS = 3000.0
QUERIES_PER_S = 60.0
SUBMITS_PER_S = 10.0


class Fault(Enum):
    """Faults that are injected; each value is the label in the note of the report."""

    DAEMON_KILLED = "daemon killed and replaced"
    DAEMON_PAUSED = "daemon paused"
    ZONE_CUT_OFF = "zone cut off"
    SERVER_RESTARTED = "server restarted"
    SERVER_TURNED_COLD = "server turned cold"
    UNRESPONSIVE_CONNECTIONS = "half of the connections silent"
    PLATFORM_DOWN = "platform down"
    REPLIES_LOST = "replies to writes lost"
    ZONE_OUT = "zone out and back"
    STRAGGLERS = "5% stragglers"


@attrs.define(eq=False)
class SimulatedFaultInjector:
    """Injects faults into a simulated deployment.

    Parameters
    ----------
    world : World
        Simulated deployment under load.
    random : Random
        Seeded generator that chooses the daemon, zone or server of a fault.
    injected : Counter of str
        Number of faults injected so far, by label.
    """

    world: World
    random: Random
    injected: Counter[str] = attrs.Factory(Counter)

    def inject(self, fault: Fault) -> None:
        """Start a fault and schedule its end."""
        self.injected[fault.value] += 1
        world = self.world
        name = self.random.choice(sorted(world.daemons))
        zone = self.random.choice(SMALL_PLAN.zones)
        server = self.random.choice(list(world.models.values()))
        match fault:
            case Fault.DAEMON_KILLED:
                member = world.daemons[name].node.own
                world.kill_daemon(name)
                world.timers.call_later(1000.0, lambda: self._add_daemon(member))
            case Fault.DAEMON_PAUSED:
                process = world.daemons[name].process
                process.paused = True
                world.timers.call_later(FAULT_DURATION_MS, process.resume)
            case Fault.ZONE_CUT_OFF:
                self._cut_off_zone(zone)
                world.timers.call_later(FAULT_DURATION_MS, self._reconnect_zones)
            case Fault.SERVER_RESTARTED:
                if server.up:
                    server.crash()
            case Fault.SERVER_TURNED_COLD:
                server.make_cold()
            case Fault.UNRESPONSIVE_CONNECTIONS:
                for daemon in world.daemons.values():
                    daemon.backend.make_unresponsive(0.5, self.random)
            case Fault.PLATFORM_DOWN:
                world.faults.down = True
                world.timers.call_later(FAULT_DURATION_MS, self._restore_platform)
            case Fault.REPLIES_LOST:
                world.faults.lose_replies += 5
            case Fault.ZONE_OUT:
                self._set_zone_out(zone, True)
                world.timers.call_later(
                    FAULT_DURATION_MS, lambda: self._set_zone_out(zone, False)
                )
            case Fault.STRAGGLERS:
                self._set_straggler_rate(0.05)
                world.timers.call_later(
                    FAULT_DURATION_MS, lambda: self._set_straggler_rate(0.0)
                )

    def _add_daemon(self, member: Member) -> None:
        self.world.add_daemon(member)

    def _cut_off_zone(self, zone: str) -> None:
        for other in SMALL_PLAN.zones:
            if other != zone:
                self.world.mesh.cut_off_pairs.add(frozenset((zone, other)))

    def _reconnect_zones(self) -> None:
        self.world.mesh.cut_off_pairs.clear()

    def _restore_platform(self) -> None:
        self.world.faults.down = False

    def _set_zone_out(self, zone: str, out: bool) -> None:
        spec = record_converter.unstructure(ZoneRecord(zone, out))
        self.world.store.put(Kind.ZONE, zone, spec)

    def _set_straggler_rate(self, rate: float) -> None:
        for model in self.world.models.values():
            model.behaviour.straggler_rate = rate


def soak(seed: int = 1, rounds: int = ROUNDS) -> Report:
    """Inject two random faults per round and count violations of the guarantees.

    After the last round, the deployment gets time to recover.

    Parameters
    ----------
    seed : int
        Seed of every random choice.
    rounds : int
        Number of rounds.
    """
    world = World(SMALL_PLAN, seed)
    injector = SimulatedFaultInjector(world, Random(seed))
    duration_ms = WARM_UP_MS + rounds * ROUND_MS
    world.start_load("busy", QUERIES_PER_S, duration_ms)
    world.start_load(
        "small",
        SUBMITS_PER_S,
        duration_ms,
        lambda: world.new_request("small", repeatable=False),
    )
    world.run_for(WARM_UP_MS)
    for _ in range(rounds):
        for fault in injector.random.sample(list(Fault), 2):
            injector.inject(fault)
        world.run_for(ROUND_MS)
    world.run_for(RECOVERY_MS)
    rows = [_summarize_service(world, service) for service in ("busy", "small")]
    notes = ", ".join(
        f"{fault_label} {n}" for fault_label, n in sorted(injector.injected.items())
    )
    rows[0] = attrs.evolve(rows[0], note=notes)
    targets = tuple(
        ExperimentTarget(f"{count} {guarantee}, must be 0", count == 0)
        for guarantee, count in _violations(world).items()
    )
    return Report("soak", tuple(rows), targets)


def _summarize_service(world: World, service: str) -> RunStatistics:
    samples = [s for s in world.samples if s.request.service == service]
    return summarize(service, 0.0, samples, world.extra_load(service))


def _violations(world: World) -> dict[str, int]:
    """Return the number of violations of each guarantee, by its label."""
    run_counts: Counter[str] = Counter()
    for model in world.models.values():
        run_counts.update(model.starts_by_leg)
    started_ids = {key.split("/")[0] for key in run_counts}
    answered = [s for s in world.samples if s.answer is not None]
    non_idempotent_ids = {
        s.request.request_id for s in world.samples if not s.request.repeatable
    }
    models = world.models.values()
    return {
        "answers with wrong hits, snapshot or coverage": sum(
            not s.correct for s in answered
        ),
        "requests reported as not run although they ran": sum(
            s.answer.not_run and s.request.request_id in started_ids
            for s in answered
            if s.answer is not None
        ),
        "submits run more than once": sum(
            n > 1
            for key, n in run_counts.items()
            if key.split("/")[0] in non_idempotent_ids
        ),
        "crashes of cold servers": sum(m.stats.overload_crashes for m in models),
        "slots exceeded": sum(m.stats.slots_exceeded for m in models),
        "connection limits exceeded": sum(m.stats.connections_exceeded for m in models),
    }


__all__ = ["Fault", "SimulatedFaultInjector", "soak"]
