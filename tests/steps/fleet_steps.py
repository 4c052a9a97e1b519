"""Steps on daemons of unequal VMs."""

from __future__ import annotations

from behave import given, then, when
from fleet_world import LARGE, SMALL, FleetWorld

ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")


@given("zones with {large:d} large and {small:d} small VMs each, before 90 shards")
def step_fleet(context, large, small):
    world = FleetWorld()
    context.fleet = world
    for zone in ZONES:
        world.add_daemons(zone, large, LARGE)
        world.add_daemons(zone, small, SMALL)
    world.start()


@when("{count:d} queries of ten callers a zone arrive, {period_ms:g} ms apart")
def step_queries(context, count, period_ms):
    context.fleet.ask_as_callers(count, period_ms)


@when("{span_ms:g} ms pass on all VMs")
def step_pass(context, span_ms):
    context.fleet.run_for(span_ms)


@then("at least {share:d} of 100 queries since second {start_s:g} are in time")
def step_in_time(context, share, start_s):
    samples = [s for s in context.fleet.samples if s.started_ms >= start_s * 1000.0]
    in_time = sum(sample.in_time for sample in samples)
    assert in_time * 100 >= share * len(samples), f"{in_time} of {len(samples)}"
