"""A small deployment in virtual time, and the steps that many features share."""

from __future__ import annotations

import attrs
from behave import given, then, when

from snipemount.decisions.fleet.membership import Membership
from snipemount.experiments.world import World
from snipemount.node.sharing import OwnedSharing
from snipemount.standins.deployments import DeploymentPlan, ServicePlan

WARM_UP_MS = 6000.0
LAST_ANSWERS_MS = 2000.0

SMALL_PLAN = DeploymentPlan(
    "small",
    ("zone-a", "zone-b", "zone-c"),
    6,
    0.5,
    1.0,
    (
        ServicePlan("finder", 2, 2, 2, 25, 6.0, 20.0),
        ServicePlan("ledger", 1, 1, 3, 110, 1.0, 8.0, False),
    ),
)


def make_world(
    seed: int = 1, adjust=lambda profile: profile, make_sharing=OwnedSharing, **options
) -> World:
    """Return the small deployment; `adjust` changes each profile."""
    return World(SMALL_PLAN, seed, make_sharing, adjust, **options)


def warm_up(world: World, queries_per_s: float = 60.0) -> None:
    """Run a load until the daemons count the servers as warm; discard its samples."""
    world.start_load("finder", queries_per_s, WARM_UP_MS)
    world.start_load("ledger", queries_per_s, WARM_UP_MS)
    world.run_for(WARM_UP_MS + LAST_ANSWERS_MS)
    world.samples.clear()


def finished_samples(world: World):
    """Return the samples; fail if there are none or one has no answer."""
    assert world.samples, "no request was sent"
    unanswered = [s for s in world.samples if s.answer is None]
    assert not unanswered, f"{len(unanswered)} requests got no answer"
    return world.samples


@given("a small deployment")
def step_world(context):
    context.world = make_world()


@given("a small deployment under load that has warmed up")
def step_warm_world(context):
    context.world = make_world()
    warm_up(context.world)


@given("the load is {rate:g} queries a second for {seconds:g} s")
@when("the load is {rate:g} queries a second for {seconds:g} s")
def step_load(context, rate, seconds):
    context.world.start_load("finder", rate, seconds * 1000.0)


@when("{seconds:g} s pass")
@then("{seconds:g} s pass")
def step_pass(context, seconds):
    context.world.run_for(seconds * 1000.0)


@then("every request has one answer and its hits are right")
def step_right(context):
    for sample in finished_samples(context.world):
        assert sample.correct, f"wrong answer to {sample.request.request_id}"


@then("at least {percent:g} in 100 answers are complete")
def step_complete(context, percent):
    samples = finished_samples(context.world)
    complete = sum(sample.complete for sample in samples)
    codes = sorted({s.answer.code.name for s in samples})
    assert complete * 100.0 >= percent * len(samples), (
        f"{complete}/{len(samples)} {codes}"
    )


@then("every answer comes within its deadline")
def step_in_time(context):
    for sample in finished_samples(context.world):
        max_ms = sample.request.deadline_ms + 2 * SMALL_PLAN.caller_delay_ms
        assert sample.elapsed_ms <= max_ms, sample.elapsed_ms


@then("no leaf's slots and no server's connections were exceeded")
def step_limits(context):
    for model in context.world.models.values():
        assert model.stats.slots_exceeded == 0, model.server.name
        assert model.stats.connections_exceeded == 0, model.server.name


@then("no server crashed from overload while it was cold")
def step_no_overload_crash(context):
    crashed = [
        m.server.name for m in context.world.models.values() if m.stats.overload_crashes
    ]
    assert not crashed, crashed


def evolve_profile(**changes):
    """Return a function that returns a profile with the given fields changed."""
    return lambda profile: attrs.evolve(profile, **changes)


__all__ = [
    "SMALL_PLAN",
    "Membership",
    "evolve_profile",
    "finished_samples",
    "make_world",
    "warm_up",
]
