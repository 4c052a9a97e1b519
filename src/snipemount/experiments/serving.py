"""Experiments on serving: stragglers, lost replicas, load, cold starts."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import attrs

from ..errors import ResultCode
from ..node.sharing import OwnedSharing, StaticSharing
from ..standins.backend_model import Behaviour
from ..standins.deployments import Deployment
from .report import Figures, Report, Target, summarize
from .round_robin import use_round_robin
from .world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.membership import Membership
    from ..model.profile import Profile
    from ..model.request import Request
    from ..node.sharing import Sharing

SEED = 11
RUN_MS = 10_000.0
LEAD_MS = 2000.0
TAIL_MS = 1500.0
P99_TARGET_MS = 370.0
STRAGGLER_RATIO_TARGET = 1.3
ORDINARY_EXTRA_TARGET = 0.05
FAULTY_EXTRA_TARGET = 0.10
GOODPUT_TARGET = 0.9
MEAN_OVER_MEDIAN = 1.063
POISON_SENT = 50
ROUND_ROBIN = "round robin"


@attrs.frozen
class Setup:
    """A deployment and the service under load.

    Parameters
    ----------
    deployment : Deployment
        Zones and sizes.
    service : str
        Service that is asked.
    """

    deployment: Deployment
    service: str

    @property
    def capacity_per_s(self) -> float:
        """Queries a second that the warm servers bear at full use."""
        plan = self.deployment.value
        service = next(s for s in plan.services if s.name == self.service)
        seconds = service.service_ms * MEAN_OVER_MEDIAN / 1000.0
        return service.slots / seconds * len(plan.zones)

    def world(
        self,
        behaviour: Behaviour | None = None,
        adjust: Callable[[Profile], Profile] = lambda profile: profile,
        make_sharing: Callable[[Membership], Sharing] = OwnedSharing,
        seed: int = SEED,
    ) -> World:
        """Return a world with this service alone."""
        plan = self.deployment.value
        services = tuple(s for s in plan.services if s.name == self.service)
        return World(
            attrs.evolve(plan, services=services),
            seed,
            make_sharing,
            adjust,
            behaviour,
        )


SETUPS = (
    Setup(Deployment.AJLOUN, "fleet-finder"),
    Setup(Deployment.YILAN, "bench-finder"),
)


def without_hedges(profile: Profile) -> Profile:
    """Return the profile without hedging."""
    return attrs.evolve(profile, hedging=False)


def without_limits(profile: Profile) -> Profile:
    """Return the profile without admission limits and with long queues."""
    queue = attrs.evolve(
        profile.queue,
        length=100_000,
        wait_ms=math.inf,
        admission_wait_ms=math.inf,
        target_wait_ms=math.inf,
    )
    return attrs.evolve(profile, queue=queue)


def without_ramp(profile: Profile) -> Profile:
    """Return the profile that gives a cold server its full load at once."""
    cold = attrs.evolve(profile.cold_start, initial_fraction=1.0)
    return attrs.evolve(profile, cold_start=cold)


def without_proof(profile: Profile) -> Profile:
    """Return the profile that sends all exchanges of a new request at once."""
    return attrs.evolve(profile, proving_servers=0)


def unlimited_retries(profile: Profile) -> Profile:
    """Return the profile whose budget never runs out."""
    limits = attrs.evolve(
        profile.extra_load, ordinary=10.0, faulty=10.0, burst=math.inf
    )
    return attrs.evolve(profile, extra_load=limits)


def run_load(
    world: World,
    setup: Setup,
    share: float,
    label: str,
    x: float = 0.0,
    note: Callable[[World], str] = lambda world: "",
    run_ms: float = RUN_MS,
) -> Figures:
    """Load the service with a share of its capacity and return the figures."""
    world.load(setup.service, setup.capacity_per_s * share, run_ms)
    world.run_for(run_ms + TAIL_MS)
    extra = world.extra_load(setup.service)
    return summarize(label, x, world.samples, extra, note(world))


def lead_in(world: World, setup: Setup, share: float = 0.3) -> None:
    """Let daemons learn latencies before the measured load."""
    world.load(setup.service, setup.capacity_per_s * share, LEAD_MS)
    world.run_for(LEAD_MS + TAIL_MS)
    world.samples.clear()


def stragglers() -> Report:
    """Measure the tail with 0, 1 and 5 stragglers in 100, at half load."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        by_rate: dict[float, Figures] = {}
        for rate in (0.0, 0.01, 0.05):
            behaviour = Behaviour(straggler_rate=rate)
            for name, adjust in (
                ("ours", _same),
                ("no hedges", without_hedges),
                (ROUND_ROBIN, without_hedges),
            ):
                world = setup.world(behaviour, adjust)
                if name == ROUND_ROBIN:
                    use_round_robin(world, setup.service)
                lead_in(world, setup)
                label = f"{setup.service} {rate:.0%} stragglers, {name}"
                row = run_load(world, setup, 0.5, label, rate)
                rows.append(row)
                if name == "ours":
                    by_rate[rate] = row
        targets += _straggler_targets(setup.service, by_rate)
    return Report("stragglers", tuple(rows), tuple(targets))


def lost_replica() -> Report:
    """Lose one server of each shard group's replicas at half load."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        for name, adjust in (("ours", _same), ("unlimited retries", unlimited_retries)):
            world = setup.world(adjust=adjust)
            lead_in(world, setup)
            world.timers.call_later(1000.0, partial(_lose_one, world, setup))
            row = run_load(world, setup, 0.5, f"{setup.service} lost replica, {name}")
            rows.append(row)
            if name == "ours":
                targets.append(
                    Target(
                        f"{setup.service}: coverage is 1, not {row.coverage:.5f}",
                        row.coverage == 1.0 and row.complete > 0,
                    )
                )
                targets.append(_extra_target(setup.service, row, FAULTY_EXTRA_TARGET))
    return Report("lost-replica", tuple(rows), tuple(targets))


def overload() -> Report:
    """Measure goodput from 50 to 200 in 100 of capacity."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        goodput: dict[float, float] = {}
        for share in (0.5, 0.75, 1.0, 1.5, 2.0):
            for name, adjust in (("ours", _same), ("no limits", without_limits)):
                if name != "ours" and share not in (1.0, 2.0):
                    continue
                world = setup.world(adjust=adjust)
                lead_in(world, setup)
                label = f"{setup.service} load {share:.0%}, {name}"
                row = run_load(world, setup, share, label, share)
                per_s = row.complete / (RUN_MS / 1000.0)
                rows.append(attrs.evolve(row, note=f"goodput {per_s:.0f}/s"))
                if name == "ours":
                    goodput[share] = per_s
        ratio = goodput[2.0] / max(goodput.values())
        text = f"{setup.service}: goodput at 200% is {ratio:.2f} of the peak"
        targets.append(Target(f"{text}, at least 0.9", ratio >= GOODPUT_TARGET))
    return Report("overload", tuple(rows), tuple(targets))


def cold_join() -> Report:
    """Restart a server, cold, at 80 in 100 of capacity."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        for name, adjust in (("ours", _same), ("no ramp", without_ramp)):
            world = setup.world(adjust=adjust)
            lead_in(world, setup)
            first = world.servers_of(setup.service)[0]
            world.timers.call_later(1000.0, first.crash)
            row = run_load(
                world, setup, 0.8, f"{setup.service} cold server, {name}", note=_falls
            )
            rows.append(row)
            if name == "ours":
                falls = sum(m.tally.falls for m in world.models.values())
                text = f"{setup.service}: cold cap exceeded {falls} times"
                targets.append(Target(text, falls == 0))
    return Report("cold-join", tuple(rows), tuple(targets))


def silent() -> Report:
    """Turn half of the open connections silent at half load."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        for name, adjust in (("ours", _same), ("no hedges", without_hedges)):
            world = setup.world(adjust=adjust)
            lead_in(world, setup)
            world.timers.call_later(1000.0, partial(_silence, world))
            row = run_load(world, setup, 0.5, f"{setup.service} silent, {name}")
            rows.append(row)
            if name == "ours":
                text = f"{setup.service}: coverage {row.coverage:.4f}, at least 0.99"
                targets.append(Target(text, row.coverage >= 0.99))
                targets.append(_p99_target(setup.service, row))
    return Report("silent", tuple(rows), tuple(targets))


def poison() -> Report:
    """Send a request that crashes servers 50 times beside other load."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for setup in SETUPS:
        for name, adjust in (("ours", _same), ("all at once", without_proof)):
            world = setup.world(Behaviour(poison="poison"), adjust)
            lead_in(world, setup)
            for number in range(POISON_SENT):
                request = world.request(setup.service, "poison")
                world.timers.call_later(
                    number * 150.0,
                    partial(_send, world, request),
                )
            label = f"{setup.service} poison, {name}"
            row = run_load(world, setup, 0.3, label, note=_crashes)
            rows.append(row)
            if name == "ours":
                lost = sum(m.tally.crashes for m in world.models.values())
                text = f"{setup.service}: {lost} servers lost, at most 2"
                targets.append(Target(text, 1 <= lost <= 2))
    return Report("poison", tuple(rows), tuple(targets))


def ownership() -> Report:
    """Compare owners with a static split of the slots, at three loads."""
    rows: list[Figures] = []
    targets: list[Target] = []
    sharings: tuple[tuple[str, Callable[[Membership], Sharing]], ...] = (
        ("owned", OwnedSharing),
        ("static split", StaticSharing),
    )
    for setup in SETUPS:
        for share in (0.5, 0.7, 0.85):
            for name, make in sharings:
                world = setup.world(make_sharing=make)
                lead_in(world, setup)
                label = f"{setup.service} load {share:.0%}, {name}"
                row = run_load(world, setup, share, label, share, _limits)
                rows.append(row)
                if name == "owned":
                    over = sum(m.tally.slots_exceeded for m in world.models.values())
                    text = f"{label}: slots exceeded {over} times"
                    targets.append(Target(text, over == 0))
    return Report("ownership", tuple(rows), tuple(targets))


def proving() -> Report:
    """Measure what proving a request on two servers first costs, at half load."""
    rows: list[Figures] = []
    for setup in SETUPS:
        for name, adjust in (("two first", _same), ("all at once", without_proof)):
            world = setup.world(Behaviour(straggler_rate=0.01), adjust)
            lead_in(world, setup)
            rows.append(run_load(world, setup, 0.5, f"{setup.service} {name}"))
    return Report("proving", tuple(rows), ())


def _same(profile: Profile) -> Profile:
    return profile


def _straggler_targets(service: str, by_rate: dict[float, Figures]) -> list[Target]:
    ratio = by_rate[0.01].p99_ms / by_rate[0.0].p99_ms
    text = f"{service}: p99 with 1% stragglers is {ratio:.2f} times that without"
    return [
        Target(f"{text}, at most 1.3", ratio <= STRAGGLER_RATIO_TARGET),
        _p99_target(service, by_rate[0.01]),
        _p99_target(service, by_rate[0.05]),
        _extra_target(service, by_rate[0.01], ORDINARY_EXTRA_TARGET),
        _extra_target(service, by_rate[0.05], FAULTY_EXTRA_TARGET),
    ]


def _p99_target(service: str, row: Figures) -> Target:
    text = f"{service}: p99 {row.p99_ms:.0f} ms, at most 370 ms ({row.label})"
    return Target(text, row.p99_ms <= P99_TARGET_MS)


def _extra_target(service: str, row: Figures, most: float) -> Target:
    text = f"{service}: extra load {row.extra_load:.3f}, at most {most} ({row.label})"
    return Target(text, row.extra_load <= most)


def _lose_one(world: World, setup: Setup) -> None:
    model = world.servers_of(setup.service)[0]
    model.behaviour.restart_ms = math.inf
    model.crash()


def _send(world: World, request: Request) -> None:
    world.send(request)


def _silence(world: World) -> None:
    for daemon in world.daemons.values():
        daemon.backend.silence(0.5, world.random)


def _falls(world: World) -> str:
    falls = sum(model.tally.falls for model in world.models.values())
    return f"fell over {falls} times"


def _crashes(world: World) -> str:
    lost = sum(model.tally.crashes for model in world.models.values())
    refused = sum(
        sample.answer is not None and sample.answer.code is ResultCode.QUARANTINED
        for sample in world.samples
    )
    return f"{lost} servers lost, {refused} refused"


def _limits(world: World) -> str:
    models = world.models.values()
    slots = sum(model.tally.slots_exceeded for model in models)
    connections = sum(model.tally.connections_exceeded for model in models)
    return f"exceeded: slots {slots}, connections {connections}"


__all__ = [
    "cold_join",
    "lost_replica",
    "overload",
    "ownership",
    "poison",
    "proving",
    "silent",
    "stragglers",
]
