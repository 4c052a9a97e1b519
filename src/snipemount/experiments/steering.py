"""Experiments on steering: version moves, zone moves, configuration."""

from __future__ import annotations

from enum import Enum
from functools import partial
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..model.catalogue import ZoneRecord
from ..model.move import MoveState
from ..node.catalogue import record_converter
from ..ports.platform import Kind
from ..standins.deployments import DeploymentPlan, ServicePlan
from .report import Figures, Report, Target, quantile, summarize
from .world import World

if TYPE_CHECKING:
    from ..decisions.membership import Member
    from ..standins.backend_model import BackendModel, Behaviour

SMALL = DeploymentPlan(
    "corpus",
    ("zone-a", "zone-b", "zone-c"),
    6,
    0.5,
    1.0,
    (
        ServicePlan("busy", 2, 2, 2, 25, 6.0, 20.0),
        ServicePlan("small", 1, 1, 6, 50, 1.0, 8.0),
    ),
)
MOVE_MS = 90_000.0
WARM_MS = 5000.0
BUSY_PER_S = 40.0
SMALL_PER_S = 5.0
SHOWS_AT_MS = 40_000.0
ZONE_LOSS_MS = 45_000.0
MOST_FALSE = 0.01
LEAST_IN_TIME = 0.99
MOST_BAD_SHARE = 0.05
IN_FORCE_TARGET_MS = 3000.0
ZONE_RUN_MS = 30_000.0


class Version(Enum):
    """Kinds of new version in the corpus."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    LATE = "failing late"
    LOADED = "slow under load"


class Background(Enum):
    """What else goes on during a move."""

    QUIET = "quiet"
    STRAGGLERS = "stragglers"
    COLD = "cold server"
    ZONE_LOSS = "zone loss"


@attrs.frozen
class Case:
    """One move of the corpus."""

    seed: int
    service: str
    version: Version
    background: Background


@attrs.frozen
class Outcome:
    """What became of a move.

    Parameters
    ----------
    case : Case
        The move.
    state : MoveState
        State at the finishing time.
    bad_share : float
        Share of the queries that a bad version got after it showed.
    after_ms : float
        Time from the show until the last query on the bad version.
    """

    case: Case
    state: MoveState
    bad_share: float
    after_ms: float


def corpus(count: int) -> list[Case]:
    """Return `count` moves, good and bad ones in turn.

    The small service never has two exchanges on a server at once, so that a
    version that is slow only under load is as good as any there: it gets one
    that is always slow instead.
    """
    cases = []
    bad = [version for version in Version if version is not Version.GOOD]
    backgrounds = list(Background)
    for seed in range(count):
        version = Version.GOOD if seed % 2 == 0 else bad[seed // 2 % len(bad)]
        background = backgrounds[seed // 2 // len(bad) % len(backgrounds)]
        service = "small" if seed % 10 >= 8 else "busy"
        if service == "small" and version is Version.LOADED:
            version = Version.SLOW
        cases.append(Case(seed, service, version, background))
    return cases


def run_case(case: Case) -> Outcome:
    """Run one move to its finishing time."""
    plan = attrs.evolve(
        SMALL, services=tuple(s for s in SMALL.services if s.name == case.service)
    )
    world = World(plan, case.seed)
    rate = BUSY_PER_S if case.service == "busy" else SMALL_PER_S
    world.load(case.service, rate, WARM_MS + MOVE_MS + 2000.0)
    world.run_for(WARM_MS)
    world.add_version(case.service, "v2", partial(_change, case.version))
    started_ms = world.now_ms
    world.start_move(case.service, "v2", MOVE_MS)
    _bring_about(world, case)
    world.run_for(MOVE_MS + 2000.0)
    return _outcome(world, case, started_ms)


def moves(first: int = 0, count: int = 40) -> Report:
    """Run a part of the corpus of good and bad moves."""
    outcomes = [run_case(case) for case in corpus(first + count)[first:]]
    rows = [
        _moves_row(f"{service}, {version.value}", outcomes, service, version)
        for service in ("busy", "small")
        for version in Version
    ]
    good = [o for o in outcomes if o.case.version is Version.GOOD]
    bad = [o for o in outcomes if o.case.version is not Version.GOOD]
    done = sum(o.state is MoveState.DONE for o in good)
    false = sum(o.state is MoveState.TAKEN_BACK for o in good)
    completed = sum(o.state is MoveState.DONE for o in bad)
    greatest = max((o.bad_share for o in bad), default=0.0)
    targets = (
        Target(
            f"greatest share of a bad version {greatest:.3f}, at most 0.05",
            greatest <= MOST_BAD_SHARE,
        ),
        Target(f"{completed} of {len(bad)} bad moves completed, none", completed == 0),
        Target(
            f"{false} of {len(good)} good moves taken back, at most 1 in 100",
            false <= MOST_FALSE * len(good),
        ),
        Target(
            f"{done} of {len(good)} good moves done in time, at least 99 in 100",
            done >= LEAST_IN_TIME * len(good),
        ),
    )
    return Report("moves", tuple(row for row in rows if row.requests), targets)


def in_force() -> Report:
    """Measure the time until a profile is in force everywhere, under faults."""
    rows: list[Figures] = []
    targets: list[Target] = []
    for fault in ("none", "platform cut off from zone-a", "a daemon is replaced"):
        times = sorted(_time_in_force(fault, seed) for seed in range(20))
        worst = times[-1]
        rows.append(
            Figures(
                f"profile in force, {fault}",
                0.0,
                len(times),
                len(times),
                quantile(times, 0.5),
                quantile(times, 0.99),
                worst,
                1.0,
                0.0,
            )
        )
        text = f"{fault}: in force after {worst:.0f} ms at worst, at most 3000 ms"
        targets.append(Target(text, worst <= IN_FORCE_TARGET_MS))
    return Report("in-force", tuple(rows), tuple(targets))


def zone_move() -> Report:
    """Take a zone out and back at half load."""
    world = World(attrs.evolve(SMALL, services=SMALL.services[:1]), 5)
    world.load("busy", 140.0, ZONE_RUN_MS)
    world.timers.call_later(5000.0, lambda: _put_zone(world, True))
    world.timers.call_later(15_000.0, lambda: _put_zone(world, False))
    world.run_for(5000.0 + IN_FORCE_TARGET_MS)
    in_zone = [m for m in world.models.values() if m.server.zone == "zone-a"]
    started = sum(m.tally.started for m in in_zone)
    world.run_for(15_000.0 - 5000.0 - IN_FORCE_TARGET_MS)
    late = sum(m.tally.started for m in in_zone) - started
    world.run_for(ZONE_RUN_MS)
    rows = []
    start_ms = world.samples[0].sent_ms
    for label, low_ms, high_ms in (
        ("before", 0.0, 5000.0),
        ("zone-a out", 5000.0, 15_000.0),
        ("zone-a back", 15_000.0, ZONE_RUN_MS),
    ):
        within = [s for s in world.samples if low_ms <= s.sent_ms - start_ms < high_ms]
        rows.append(summarize(label, low_ms, within, world.extra_load("busy")))
    falls = sum(m.tally.falls for m in world.models.values())
    coverage = min(row.coverage for row in rows)
    p99_ms = max(row.p99_ms for row in rows)
    targets = (
        Target(f"{late} exchanges started in zone-a after 3 s, none", late == 0),
        Target(f"cold servers fell over {falls} times, never", falls == 0),
        Target(f"coverage {coverage:.4f} through the move, 1", coverage == 1.0),
        Target(f"p99 {p99_ms:.0f} ms through the move, at most 370", p99_ms <= 370.0),
    )
    return Report("zone-move", tuple(rows), targets)


def _change(version: Version, behaviour: Behaviour) -> Behaviour:
    match version:
        case Version.FAILING:
            return attrs.evolve(behaviour, failure_rate=0.2)
        case Version.SLOW:
            return attrs.evolve(behaviour, slow_factor=2.5)
        case Version.LOADED:
            return attrs.evolve(behaviour, loaded_factor=4.0)
    return behaviour


def _bring_about(world: World, case: Case) -> None:
    random = Random(case.seed)
    models = list(world.models.values())
    if case.version is Version.LATE:
        late = [m for m in models if "-v2-" in m.server.name]
        world.timers.call_later(SHOWS_AT_MS, lambda: _fail(late))
    match case.background:
        case Background.STRAGGLERS:
            for model in models:
                model.behaviour.straggler_rate = 0.03
        case Background.COLD:
            old = random.choice([m for m in models if "-v1-" in m.server.name])
            world.timers.call_later(30_000.0, old.turn_cold)
        case Background.ZONE_LOSS:
            zone = [m for m in models if m.server.zone == "zone-b"]
            world.timers.call_later(ZONE_LOSS_MS, lambda: _lose(zone))


def _fail(models: list[BackendModel]) -> None:
    for model in models:
        model.behaviour.failure_rate = 0.2


def _lose(models: list[BackendModel]) -> None:
    for model in models:
        model.behaviour.restart_ms = float("inf")
        model.crash()


def _outcome(world: World, case: Case, started_ms: float) -> Outcome:
    shows_ms = started_ms
    if case.version is Version.LATE:
        shows_ms += SHOWS_AT_MS
    late = [s for s in world.samples if s.sent_ms >= shows_ms]
    on_new = [
        s
        for s in late
        if s.answer is not None
        and s.answer.snapshot is not None
        and "/v2/" in s.answer.snapshot
    ]
    share = len(on_new) / len(late) if late else 0.0
    after_ms = on_new[-1].sent_ms - shows_ms if on_new else 0.0
    return Outcome(case, world.move(case.service).state, share, after_ms)


def _moves_row(
    label: str, outcomes: list[Outcome], service: str, version: Version
) -> Figures:
    rows = [
        o for o in outcomes if o.case.service == service and o.case.version is version
    ]
    done = sum(o.state is MoveState.DONE for o in rows)
    back = sum(o.state is MoveState.TAKEN_BACK for o in rows)
    after = sorted(o.after_ms for o in rows)
    share = max((o.bad_share for o in rows), default=0.0)
    note = f"done {done}, taken back {back}, greatest share on it {share:.3f}"
    return Figures(
        label,
        0.0,
        len(rows),
        done,
        quantile(after, 0.5),
        quantile(after, 0.99),
        after[-1] if after else 0.0,
        0.0,
        0.0,
        note,
    )


def _time_in_force(fault: str, seed: int) -> float:
    world = World(attrs.evolve(SMALL, services=SMALL.services[:1]), seed)
    if fault.startswith("platform"):
        for daemon in world.daemons.values():
            if daemon.node.own.zone == "zone-a":
                daemon.platform.cut_off = True
    if fault.startswith("a daemon"):
        name = sorted(world.daemons)[seed % len(world.daemons)]
        member = world.daemons[name].node.own
        world.kill_daemon(name)
        world.timers.call_later(300.0, partial(_add, world, member))
    world.run_for(200.0 + 37.0 * seed)
    started_ms = world.now_ms
    profile = next(iter(world.daemons.values())).node.catalogue.profile("busy-profile")
    if profile is None:
        raise AssertionError("the profile is missing")
    changed = attrs.evolve(profile, max_top_k=77)
    world.store.put(Kind.PROFILE, profile.name, record_converter.unstructure(changed))
    while not _all_have(world, profile.name):
        world.run_for(5.0)
        if world.now_ms - started_ms > 60_000.0:
            break
    return world.now_ms - started_ms


def _all_have(world: World, name: str) -> bool:
    found = [d.node.catalogue.profile(name) for d in world.daemons.values()]
    return all(p is not None and p.max_top_k == 77 for p in found) and len(found) == 6


def _add(world: World, member: Member) -> None:
    world.add_daemon(member)


def _put_zone(world: World, out: bool) -> None:
    spec = record_converter.unstructure(ZoneRecord("zone-a", out))
    world.store.put(Kind.ZONE, "zone-a", spec)


__all__ = ["corpus", "in_force", "moves", "run_case", "zone_move"]
