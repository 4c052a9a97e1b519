"""Experiments on the orders of operators: version moves, zones, configuration."""

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
from .report import ExperimentTarget, Report, RunStatistics, quantile, summarize
from .world import World

if TYPE_CHECKING:
    from ..decisions.fleet.membership import Member
    from ..standins.backend_model import BackendModel, Behaviour

SMALL_PLAN = DeploymentPlan(
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
WARM_UP_MS = 5000.0
BUSY_QUERIES_PER_S = 40.0
SMALL_QUERIES_PER_S = 5.0
LATE_FAILURE_AT_MS = 40_000.0
ZONE_LOSS_AT_MS = 45_000.0
MAX_FALSE_TAKE_BACK_SHARE = 0.01
MIN_DONE_IN_TIME_SHARE = 0.99
MAX_BAD_VERSION_SHARE = 0.05
MAX_IN_FORCE_MS = 3000.0
ZONE_RUN_MS = 30_000.0


class VersionKind(Enum):
    """How the new version of a move behaves; the value is its label in the table."""

    GOOD = "good"
    FAILING = "failing"
    SLOW = "slow"
    FAILING_LATE = "failing late"
    SLOW_UNDER_LOAD = "slow under load"


class BackgroundFault(Enum):
    """Faults that are independent of the new version, present during a move."""

    QUIET = "quiet"
    STRAGGLERS = "stragglers"
    COLD = "cold server"
    ZONE_LOSS = "zone loss"


@attrs.frozen
class MoveCase:
    """One move of the corpus.

    Parameters
    ----------
    seed : int
        Seed of the simulation and position in the corpus.
    service : str
        Service that is moved.
    version : VersionKind
        How the new version behaves.
    background : BackgroundFault
        Fault during the move that the new version does not cause.
    """

    seed: int
    service: str
    version: VersionKind
    background: BackgroundFault


@attrs.frozen
class MoveOutcome:
    """Result of a move.

    The onset is the start of the move or, for a version that fails late, the time at
    which it starts to fail.

    Parameters
    ----------
    case : MoveCase
        Case that was run.
    state : MoveState
        State of the move after its finishing time.
    new_version_share : float
        Share of the queries sent since the onset that the new version answered.
    exposure_ms : float
        Time from the onset until the last query was sent that the new version
        answered; 0 when it answered none.
    """

    case: MoveCase
    state: MoveState
    new_version_share: float
    exposure_ms: float


def corpus(count: int) -> list[MoveCase]:
    """Return the first `count` moves of the corpus, alternately good and bad.

    Servers of the small service never run two exchanges at once, so a version that
    is slow only under load would be a good one there. The service gets a version that
    is always slow instead.
    """
    cases = []
    bad = [version for version in VersionKind if version is not VersionKind.GOOD]
    backgrounds = list(BackgroundFault)
    for seed in range(count):
        version = VersionKind.GOOD if seed % 2 == 0 else bad[seed // 2 % len(bad)]
        background = backgrounds[seed // 2 // len(bad) % len(backgrounds)]
        service = "small" if seed % 10 >= 8 else "busy"
        if service == "small" and version is VersionKind.SLOW_UNDER_LOAD:
            version = VersionKind.SLOW
        cases.append(MoveCase(seed, service, version, background))
    return cases


def run_case(case: MoveCase) -> MoveOutcome:
    """Run one move until shortly after its finishing time."""
    plan = attrs.evolve(
        SMALL_PLAN,
        services=tuple(s for s in SMALL_PLAN.services if s.name == case.service),
    )
    world = World(plan, case.seed)
    rate = BUSY_QUERIES_PER_S if case.service == "busy" else SMALL_QUERIES_PER_S
    world.start_load(case.service, rate, WARM_UP_MS + MOVE_MS + 2000.0)
    world.run_for(WARM_UP_MS)
    world.add_version(case.service, "v2", partial(_behaviour_of, case.version))
    started_ms = world.now_ms
    world.start_move(case.service, "v2", MOVE_MS)
    _schedule_faults(world, case)
    world.run_for(MOVE_MS + 2000.0)
    return _outcome(world, case, started_ms)


def moves(first: int = 0, count: int = 40) -> Report:
    """Run a part of the corpus of moves.

    The latency columns of the rows hold the `exposure_ms` of the moves instead.

    Parameters
    ----------
    first : int
        Position of the first move in the corpus.
    count : int
        Number of moves.
    """
    outcomes = [run_case(case) for case in corpus(first + count)[first:]]
    rows = [
        _summarize_moves(f"{service}, {version.value}", outcomes, service, version)
        for service in ("busy", "small")
        for version in VersionKind
    ]
    good = [o for o in outcomes if o.case.version is VersionKind.GOOD]
    bad = [o for o in outcomes if o.case.version is not VersionKind.GOOD]
    done = sum(o.state is MoveState.DONE for o in good)
    taken_back = sum(o.state is MoveState.TAKEN_BACK for o in good)
    completed = sum(o.state is MoveState.DONE for o in bad)
    max_share = max((o.new_version_share for o in bad), default=0.0)
    targets = (
        ExperimentTarget(
            f"greatest share of a bad version {max_share:.3f}, at most 0.05",
            max_share <= MAX_BAD_VERSION_SHARE,
        ),
        ExperimentTarget(
            f"{completed} of {len(bad)} bad moves completed, must be 0",
            completed == 0,
        ),
        ExperimentTarget(
            f"{taken_back} of {len(good)} good moves taken back, at most 1%",
            taken_back <= MAX_FALSE_TAKE_BACK_SHARE * len(good),
        ),
        ExperimentTarget(
            f"{done} of {len(good)} good moves done in time, at least 99%",
            done >= MIN_DONE_IN_TIME_SHARE * len(good),
        ),
    )
    return Report("moves", tuple(row for row in rows if row.requests), targets)


def in_force() -> Report:
    """Measure the time until all daemons use a changed profile, under faults.

    Each fault is run with 20 seeds, which also vary when the profile is written. The
    latency columns of the rows hold these times.
    """
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for fault in ("none", "platform cut off from zone-a", "a daemon is replaced"):
        times = sorted(_time_in_force(fault, seed) for seed in range(20))
        max_ms = times[-1]
        rows.append(
            RunStatistics(
                f"profile in force, {fault}",
                0.0,
                len(times),
                len(times),
                quantile(times, 0.5),
                quantile(times, 0.99),
                max_ms,
                1.0,
                0.0,
            )
        )
        text = f"{fault}: in force after {max_ms:.0f} ms at worst, at most 3000 ms"
        targets.append(ExperimentTarget(text, max_ms <= MAX_IN_FORCE_MS))
    return Report("in-force", tuple(rows), tuple(targets))


def zone_move() -> Report:
    """Take a zone out and bring it back, at half load."""
    world = World(attrs.evolve(SMALL_PLAN, services=SMALL_PLAN.services[:1]), 5)
    world.start_load("busy", 140.0, ZONE_RUN_MS)
    world.timers.call_later(5000.0, lambda: _set_zone_out(world, True))
    world.timers.call_later(15_000.0, lambda: _set_zone_out(world, False))
    world.run_for(5000.0 + MAX_IN_FORCE_MS)
    zone_models = [m for m in world.models.values() if m.server.zone == "zone-a"]
    started = sum(m.stats.started for m in zone_models)
    world.run_for(15_000.0 - 5000.0 - MAX_IN_FORCE_MS)
    late_starts = sum(m.stats.started for m in zone_models) - started
    world.run_for(ZONE_RUN_MS)
    rows = []
    start_ms = world.samples[0].sent_ms
    for label, from_ms, until_ms in (
        ("before", 0.0, 5000.0),
        ("zone-a out", 5000.0, 15_000.0),
        ("zone-a back", 15_000.0, ZONE_RUN_MS),
    ):
        within = [
            s for s in world.samples if from_ms <= s.sent_ms - start_ms < until_ms
        ]
        rows.append(summarize(label, from_ms, within, world.extra_load("busy")))
    cold_crashes = sum(m.stats.overload_crashes for m in world.models.values())
    coverage = min(row.coverage for row in rows)
    p99_ms = max(row.p99_ms for row in rows)
    targets = (
        ExperimentTarget(
            f"{late_starts} exchanges started in zone-a after 3 s, must be 0",
            late_starts == 0,
        ),
        ExperimentTarget(
            f"cold servers crashed {cold_crashes} times, must be 0", cold_crashes == 0
        ),
        ExperimentTarget(
            f"coverage {coverage:.4f} during the zone move, must be 1", coverage == 1.0
        ),
        ExperimentTarget(
            f"p99 {p99_ms:.0f} ms during the zone move, at most 370", p99_ms <= 370.0
        ),
    )
    return Report("zone-move", tuple(rows), targets)


def _behaviour_of(version: VersionKind, behaviour: Behaviour) -> Behaviour:
    match version:
        case VersionKind.FAILING:
            return attrs.evolve(behaviour, failure_rate=0.2)
        case VersionKind.SLOW:
            return attrs.evolve(behaviour, slow_factor=2.5)
        case VersionKind.SLOW_UNDER_LOAD:
            return attrs.evolve(behaviour, loaded_factor=4.0)
    return behaviour


def _schedule_faults(world: World, case: MoveCase) -> None:
    random = Random(case.seed)
    models = list(world.models.values())
    if case.version is VersionKind.FAILING_LATE:
        new_models = [m for m in models if "-v2-" in m.server.name]
        world.timers.call_later(LATE_FAILURE_AT_MS, lambda: _start_failing(new_models))
    match case.background:
        case BackgroundFault.STRAGGLERS:
            for model in models:
                model.behaviour.straggler_rate = 0.03
        case BackgroundFault.COLD:
            old = random.choice([m for m in models if "-v1-" in m.server.name])
            world.timers.call_later(30_000.0, old.make_cold)
        case BackgroundFault.ZONE_LOSS:
            zone_models = [m for m in models if m.server.zone == "zone-b"]
            world.timers.call_later(
                ZONE_LOSS_AT_MS, lambda: _crash_permanently(zone_models)
            )


def _start_failing(models: list[BackendModel]) -> None:
    for model in models:
        model.behaviour.failure_rate = 0.2


def _crash_permanently(models: list[BackendModel]) -> None:
    for model in models:
        model.behaviour.restart_ms = float("inf")
        model.crash()


def _outcome(world: World, case: MoveCase, started_ms: float) -> MoveOutcome:
    onset_ms = started_ms
    if case.version is VersionKind.FAILING_LATE:
        onset_ms += LATE_FAILURE_AT_MS
    since_onset = [s for s in world.samples if s.sent_ms >= onset_ms]
    on_new = [
        s
        for s in since_onset
        if s.answer is not None
        and s.answer.snapshot is not None
        and "/v2/" in s.answer.snapshot
    ]
    share = len(on_new) / len(since_onset) if since_onset else 0.0
    exposure_ms = on_new[-1].sent_ms - onset_ms if on_new else 0.0
    return MoveOutcome(case, world.move_record(case.service).state, share, exposure_ms)


def _summarize_moves(
    label: str, outcomes: list[MoveOutcome], service: str, version: VersionKind
) -> RunStatistics:
    rows = [
        o for o in outcomes if o.case.service == service and o.case.version is version
    ]
    done = sum(o.state is MoveState.DONE for o in rows)
    taken_back = sum(o.state is MoveState.TAKEN_BACK for o in rows)
    exposures_ms = sorted(o.exposure_ms for o in rows)
    share = max((o.new_version_share for o in rows), default=0.0)
    note = f"done {done}, taken back {taken_back}, greatest share on it {share:.3f}"
    return RunStatistics(
        label,
        0.0,
        len(rows),
        done,
        quantile(exposures_ms, 0.5),
        quantile(exposures_ms, 0.99),
        exposures_ms[-1] if exposures_ms else 0.0,
        0.0,
        0.0,
        note,
    )


def _time_in_force(fault: str, seed: int) -> float:
    world = World(attrs.evolve(SMALL_PLAN, services=SMALL_PLAN.services[:1]), seed)
    if fault.startswith("platform"):
        for daemon in world.daemons.values():
            if daemon.node.own.zone == "zone-a":
                daemon.platform.cut_off = True
    if fault.startswith("a daemon"):
        name = sorted(world.daemons)[seed % len(world.daemons)]
        member = world.daemons[name].node.own
        world.kill_daemon(name)
        world.timers.call_later(300.0, partial(_add_daemon, world, member))
    world.run_for(200.0 + 37.0 * seed)
    started_ms = world.now_ms
    profile = next(iter(world.daemons.values())).node.catalogue.profile("busy-profile")
    if profile is None:
        raise AssertionError("the daemon does not know the profile busy-profile")
    changed = attrs.evolve(profile, max_top_k=77)
    world.store.put(Kind.PROFILE, profile.name, record_converter.unstructure(changed))
    while not _all_have_changed_profile(world, profile.name):
        world.run_for(5.0)
        if world.now_ms - started_ms > 60_000.0:
            break
    return world.now_ms - started_ms


def _all_have_changed_profile(world: World, name: str) -> bool:
    profiles = [d.node.catalogue.profile(name) for d in world.daemons.values()]
    return (
        all(p is not None and p.max_top_k == 77 for p in profiles)
        and len(profiles) == 6
    )


def _add_daemon(world: World, member: Member) -> None:
    world.add_daemon(member)


def _set_zone_out(world: World, out: bool) -> None:
    spec = record_converter.unstructure(ZoneRecord("zone-a", out))
    world.store.put(Kind.ZONE, "zone-a", spec)


__all__ = ["corpus", "in_force", "moves", "run_case", "zone_move"]
