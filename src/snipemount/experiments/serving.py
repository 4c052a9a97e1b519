"""Experiments on the serving of queries under faults and load.

Each experiment runs the same load on the full system and on baselines without one of
its mechanisms. Daemons start afresh in each run, so a light load first lets them
record latencies; its samples are discarded.
"""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import attrs

from ..errors import ResultCode
from ..node.sharing import OwnedSharing, StaticSharing
from ..standins.backend_model import Behaviour
from .report import ExperimentTarget, Report, RunStatistics
from .round_robin import use_round_robin
from .workload import (
    RUN_MS,
    WORKLOADS,
    Workload,
    run_load,
    warm_up,
    without_cold_start_limits,
    without_extra_load_limits,
    without_hedges,
    without_proving_servers,
    without_queue_limits,
)
from .world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.fleet.membership import Membership
    from ..model.profile import Profile
    from ..model.request import Request
    from ..node.sharing import Sharing

MAX_P99_MS = 370.0
MAX_STRAGGLER_P99_RATIO = 1.3
MAX_ORDINARY_EXTRA_LOAD = 0.05
MAX_FAULTY_EXTRA_LOAD = 0.10
MIN_GOODPUT_SHARE = 0.9
POISON_REQUESTS = 50
ROUND_ROBIN = "round robin"


def stragglers() -> Report:
    """Measure tail latency with 0%, 1% and 5% stragglers at half load.

    The baselines are no hedges, and round-robin choice of servers without hedges.
    """
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        row_by_rate: dict[float, RunStatistics] = {}
        for rate in (0.0, 0.01, 0.05):
            behaviour = Behaviour(straggler_rate=rate)
            for name, adjust in (
                ("ours", _unchanged),
                ("no hedges", without_hedges),
                (ROUND_ROBIN, without_hedges),
            ):
                world = workload.make_world(behaviour, adjust)
                if name == ROUND_ROBIN:
                    use_round_robin(world, workload.service)
                warm_up(world, workload)
                label = f"{workload.service} {rate:.0%} stragglers, {name}"
                row = run_load(world, workload, 0.5, label, rate)
                rows.append(row)
                if name == "ours":
                    row_by_rate[rate] = row
        targets += _straggler_targets(workload.service, row_by_rate)
    return Report("stragglers", tuple(rows), tuple(targets))


def lost_replica() -> Report:
    """Crash one server permanently at half load; its shards lose a replica."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        for name, adjust in (
            ("ours", _unchanged),
            ("unlimited retries", without_extra_load_limits),
        ):
            world = workload.make_world(adjust=adjust)
            warm_up(world, workload)
            world.timers.call_later(
                1000.0, partial(_crash_permanently, world, workload)
            )
            row = run_load(
                world, workload, 0.5, f"{workload.service} lost replica, {name}"
            )
            rows.append(row)
            if name == "ours":
                targets.append(
                    ExperimentTarget(
                        f"{workload.service}: coverage must be 1: {row.coverage:.5f}",
                        row.coverage == 1.0 and row.complete > 0,
                    )
                )
                targets.append(
                    _extra_load_target(workload.service, row, MAX_FAULTY_EXTRA_LOAD)
                )
    return Report("lost-replica", tuple(rows), tuple(targets))


def overload() -> Report:
    """Measure goodput at loads from 50% to 200% of capacity."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        goodput_by_share: dict[float, float] = {}
        for share in (0.5, 0.75, 1.0, 1.5, 2.0):
            for name, adjust in (
                ("ours", _unchanged),
                ("no limits", without_queue_limits),
            ):
                if name != "ours" and share not in (1.0, 2.0):
                    continue
                world = workload.make_world(adjust=adjust)
                warm_up(world, workload)
                label = f"{workload.service} load {share:.0%}, {name}"
                row = run_load(world, workload, share, label, share)
                goodput_per_s = row.complete / (RUN_MS / 1000.0)
                rows.append(attrs.evolve(row, note=f"goodput {goodput_per_s:.0f}/s"))
                if name == "ours":
                    goodput_by_share[share] = goodput_per_s
        ratio = goodput_by_share[2.0] / max(goodput_by_share.values())
        text = f"{workload.service}: goodput at 200% is {ratio:.2f} of the peak"
        targets.append(
            ExperimentTarget(f"{text}, at least 0.9", ratio >= MIN_GOODPUT_SHARE)
        )
    return Report("overload", tuple(rows), tuple(targets))


def cold_join() -> Report:
    """Crash a server, which restarts cold, at 80% of capacity."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        for name, adjust in (
            ("ours", _unchanged),
            ("no ramp", without_cold_start_limits),
        ):
            world = workload.make_world(adjust=adjust)
            warm_up(world, workload)
            first = world.servers_of(workload.service)[0]
            world.timers.call_later(1000.0, first.crash)
            row = run_load(
                world,
                workload,
                0.8,
                f"{workload.service} cold server, {name}",
                note=_cold_crashes_note,
            )
            rows.append(row)
            if name == "ours":
                cold_crashes = sum(
                    m.stats.overload_crashes for m in world.models.values()
                )
                text = (
                    f"{workload.service}: {cold_crashes} crashes while cold, must be 0"
                )
                targets.append(ExperimentTarget(text, cold_crashes == 0))
    return Report("cold-join", tuple(rows), tuple(targets))


def unresponsive_connections() -> Report:
    """Make half of the open connections unresponsive at half load."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        for name, adjust in (("ours", _unchanged), ("no hedges", without_hedges)):
            world = workload.make_world(adjust=adjust)
            warm_up(world, workload)
            world.timers.call_later(
                1000.0, partial(_make_connections_unresponsive, world)
            )
            row = run_load(world, workload, 0.5, f"{workload.service} silent, {name}")
            rows.append(row)
            if name == "ours":
                text = f"{workload.service}: coverage {row.coverage:.4f}, at least 0.99"
                targets.append(ExperimentTarget(text, row.coverage >= 0.99))
                targets.append(_p99_target(workload.service, row))
    return Report("silent", tuple(rows), tuple(targets))


def poison() -> Report:
    """Send 50 requests with a query that crashes servers, during other load."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    for workload in WORKLOADS:
        for name, adjust in (
            ("ours", _unchanged),
            ("all at once", without_proving_servers),
        ):
            world = workload.make_world(Behaviour(poison="poison"), adjust)
            warm_up(world, workload)
            for number in range(POISON_REQUESTS):
                request = world.new_request(workload.service, "poison")
                world.timers.call_later(
                    number * 150.0,
                    partial(_send, world, request),
                )
            label = f"{workload.service} poison, {name}"
            row = run_load(world, workload, 0.3, label, note=_poison_note)
            rows.append(row)
            if name == "ours":
                poison_crashes = sum(
                    m.stats.poison_crashes for m in world.models.values()
                )
                text = (
                    f"{workload.service}: {poison_crashes} servers lost, must be 1 or 2"
                )
                targets.append(ExperimentTarget(text, 1 <= poison_crashes <= 2))
    return Report("poison", tuple(rows), tuple(targets))


def ownership() -> Report:
    """Compare ownership of servers with a static split of slots at three loads."""
    rows: list[RunStatistics] = []
    targets: list[ExperimentTarget] = []
    sharings: tuple[tuple[str, Callable[[Membership], Sharing]], ...] = (
        ("owned", OwnedSharing),
        ("static split", StaticSharing),
    )
    for workload in WORKLOADS:
        for share in (0.5, 0.7, 0.85):
            for name, make_sharing in sharings:
                world = workload.make_world(make_sharing=make_sharing)
                warm_up(world, workload)
                label = f"{workload.service} load {share:.0%}, {name}"
                row = run_load(
                    world, workload, share, label, share, _exceeded_limits_note
                )
                rows.append(row)
                if name == "owned":
                    exceeded = sum(
                        m.stats.slots_exceeded for m in world.models.values()
                    )
                    text = f"{label}: slots exceeded {exceeded} times, must be 0"
                    targets.append(ExperimentTarget(text, exceeded == 0))
    return Report("ownership", tuple(rows), tuple(targets))


def proving() -> Report:
    """Measure the latency cost of sending a new query to two servers first.

    The load is half of the capacity, with 1% stragglers.
    """
    rows: list[RunStatistics] = []
    for workload in WORKLOADS:
        for name, adjust in (
            ("two first", _unchanged),
            ("all at once", without_proving_servers),
        ):
            world = workload.make_world(Behaviour(straggler_rate=0.01), adjust)
            warm_up(world, workload)
            rows.append(run_load(world, workload, 0.5, f"{workload.service} {name}"))
    return Report("proving", tuple(rows), ())


def _unchanged(profile: Profile) -> Profile:
    return profile


def _straggler_targets(
    service: str, row_by_rate: dict[float, RunStatistics]
) -> list[ExperimentTarget]:
    ratio = row_by_rate[0.01].p99_ms / row_by_rate[0.0].p99_ms
    text = f"{service}: p99 with 1% stragglers is {ratio:.2f} times that without"
    return [
        ExperimentTarget(f"{text}, at most 1.3", ratio <= MAX_STRAGGLER_P99_RATIO),
        _p99_target(service, row_by_rate[0.01]),
        _p99_target(service, row_by_rate[0.05]),
        _extra_load_target(service, row_by_rate[0.01], MAX_ORDINARY_EXTRA_LOAD),
        _extra_load_target(service, row_by_rate[0.05], MAX_FAULTY_EXTRA_LOAD),
    ]


def _p99_target(service: str, row: RunStatistics) -> ExperimentTarget:
    text = f"{service}: p99 {row.p99_ms:.0f} ms, at most 370 ms ({row.label})"
    return ExperimentTarget(text, row.p99_ms <= MAX_P99_MS)


def _extra_load_target(
    service: str, row: RunStatistics, limit: float
) -> ExperimentTarget:
    text = f"{service}: extra load {row.extra_load:.3f}, at most {limit} ({row.label})"
    return ExperimentTarget(text, row.extra_load <= limit)


def _crash_permanently(world: World, workload: Workload) -> None:
    model = world.servers_of(workload.service)[0]
    model.behaviour.restart_ms = math.inf
    model.crash()


def _send(world: World, request: Request) -> None:
    world.send(request)


def _make_connections_unresponsive(world: World) -> None:
    for daemon in world.daemons.values():
        daemon.backend.make_unresponsive(0.5, world.random)


def _cold_crashes_note(world: World) -> str:
    cold_crashes = sum(model.stats.overload_crashes for model in world.models.values())
    return f"crashed while cold {cold_crashes} times"


def _poison_note(world: World) -> str:
    poison_crashes = sum(model.stats.poison_crashes for model in world.models.values())
    refused = sum(
        sample.answer is not None and sample.answer.code is ResultCode.QUARANTINED
        for sample in world.samples
    )
    return f"{poison_crashes} servers lost, {refused} refused"


def _exceeded_limits_note(world: World) -> str:
    models = world.models.values()
    slots = sum(model.stats.slots_exceeded for model in models)
    connections = sum(model.stats.connections_exceeded for model in models)
    return f"exceeded: slots {slots}, connections {connections}"


__all__ = [
    "cold_join",
    "lost_replica",
    "overload",
    "ownership",
    "poison",
    "proving",
    "stragglers",
    "unresponsive_connections",
]
