"""Random faults, two at a time, with the guarantees checked by the callers."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..model.catalogue import ZoneRecord
from ..node.catalogue import record_converter
from ..ports.platform import Kind
from .report import Figures, Report, Target, summarize
from .steering import SMALL
from .world import World

if TYPE_CHECKING:
    from ..decisions.membership import Member

ROUNDS = 12
ROUND_MS = 8000.0
FAULT_MS = 4000.0
TAIL_MS = 8000.0
LEAD_MS = 3000.0
QUERIES_PER_S = 60.0
SUBMITS_PER_S = 10.0


class Fault(Enum):
    """Faults of a soak."""

    KILL = "daemon killed and replaced"
    PAUSE = "daemon paused"
    CUT = "zone cut off"
    CRASH = "server restarted"
    COLD = "server turned cold"
    SILENT = "half of the connections silent"
    PLATFORM = "platform down"
    REPLIES = "replies to writes lost"
    ZONE_OUT = "zone out and back"
    STRAGGLERS = "5% stragglers"


@attrs.define(eq=False)
class Soak:
    """One world with its faults.

    Parameters
    ----------
    world : World
        Deployment under load.
    random : Random
        Seeded choice of faults.
    brought_about : Counter
        Faults so far.
    """

    world: World
    random: Random
    brought_about: Counter[str] = attrs.Factory(Counter)

    def bring_about(self, fault: Fault) -> None:
        """Begin a fault; it ends by itself."""
        self.brought_about[fault.value] += 1
        world = self.world
        name = self.random.choice(sorted(world.daemons))
        zone = self.random.choice(SMALL.zones)
        server = self.random.choice(list(world.models.values()))
        match fault:
            case Fault.KILL:
                member = world.daemons[name].node.own
                world.kill_daemon(name)
                world.timers.call_later(1000.0, lambda: self._add(member))
            case Fault.PAUSE:
                process = world.daemons[name].process
                process.paused = True
                world.timers.call_later(FAULT_MS, process.resume)
            case Fault.CUT:
                self._cut(zone)
                world.timers.call_later(FAULT_MS, self._heal)
            case Fault.CRASH:
                if server.up:
                    server.crash()
            case Fault.COLD:
                server.turn_cold()
            case Fault.SILENT:
                for daemon in world.daemons.values():
                    daemon.backend.silence(0.5, self.random)
            case Fault.PLATFORM:
                world.faults.down = True
                world.timers.call_later(FAULT_MS, self._platform_back)
            case Fault.REPLIES:
                world.faults.lose_replies += 5
            case Fault.ZONE_OUT:
                self._put_zone(zone, True)
                world.timers.call_later(FAULT_MS, lambda: self._put_zone(zone, False))
            case Fault.STRAGGLERS:
                self._straggle(0.05)
                world.timers.call_later(FAULT_MS, lambda: self._straggle(0.0))

    def _add(self, member: Member) -> None:
        self.world.add_daemon(member)

    def _cut(self, zone: str) -> None:
        for other in SMALL.zones:
            if other != zone:
                self.world.mesh.cut.add(frozenset((zone, other)))

    def _heal(self) -> None:
        self.world.mesh.cut.clear()

    def _platform_back(self) -> None:
        self.world.faults.down = False

    def _put_zone(self, zone: str, out: bool) -> None:
        spec = record_converter.unstructure(ZoneRecord(zone, out))
        self.world.store.put(Kind.ZONE, zone, spec)

    def _straggle(self, rate: float) -> None:
        for model in self.world.models.values():
            model.behaviour.straggler_rate = rate


def soak(seed: int = 1, rounds: int = ROUNDS) -> Report:
    """Run rounds of two faults each; count what breaks a guarantee."""
    world = World(SMALL, seed)
    run = Soak(world, Random(seed))
    duration_ms = LEAD_MS + rounds * ROUND_MS
    world.load("busy", QUERIES_PER_S, duration_ms)
    world.load(
        "small",
        SUBMITS_PER_S,
        duration_ms,
        lambda: world.request("small", repeatable=False),
    )
    world.run_for(LEAD_MS)
    for _ in range(rounds):
        for fault in run.random.sample(list(Fault), 2):
            run.bring_about(fault)
        world.run_for(ROUND_MS)
    world.run_for(TAIL_MS)
    rows = [_row(world, service) for service in ("busy", "small")]
    notes = ", ".join(f"{what} {n}" for what, n in sorted(run.brought_about.items()))
    rows[0] = attrs.evolve(rows[0], note=notes)
    targets = tuple(
        Target(f"{count} {what}, none", count == 0)
        for what, count in _violations(world).items()
    )
    return Report("soak", tuple(rows), targets)


def _row(world: World, service: str) -> Figures:
    samples = [s for s in world.samples if s.request.service == service]
    return summarize(service, 0.0, samples, world.extra_load(service))


def _violations(world: World) -> dict[str, int]:
    """Return the number of breaches of each guarantee that callers can see."""
    runs: Counter[str] = Counter()
    for model in world.models.values():
        runs.update(model.ledger)
    started = {key.split("/")[0] for key in runs}
    answered = [s for s in world.samples if s.answer is not None]
    once = {s.request.request_id for s in world.samples if not s.request.repeatable}
    models = world.models.values()
    return {
        "answers with wrong hits, snapshot or coverage": sum(
            not s.correct for s in answered
        ),
        "untrue refusals as not run": sum(
            s.answer.not_run and s.request.request_id in started
            for s in answered
            if s.answer is not None
        ),
        "submits run more than once": sum(
            n > 1 for key, n in runs.items() if key.split("/")[0] in once
        ),
        "falls of cold servers": sum(m.tally.falls for m in models),
        "slots exceeded": sum(m.tally.slots_exceeded for m in models),
        "connection limits exceeded": sum(m.tally.connections_exceeded for m in models),
    }


__all__ = ["Fault", "Soak", "soak"]
