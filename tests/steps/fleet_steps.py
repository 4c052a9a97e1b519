"""Steps on daemons of unequal VMs."""

from __future__ import annotations

from behave import given, then, when
from fleet_world import LARGE, SMALL, FleetWorld

from snipemount.decisions.fleet.relay_order import relay_candidates
from snipemount.ports.relay import DaemonAddress

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


RELAYS = tuple(
    DaemonAddress(name, "zone-a", name, 1, 2, legs_per_s)
    for name, legs_per_s in (("a", 1.0), ("b", 9.0), ("c", 9.0), ("d", 4.0))
)


@then("of daemons with 1, 9, 9 and 4 the first with 9 follows the store")
def step_first_relay(context):
    followers = [own.name for own in RELAYS if not relay_candidates(RELAYS, own)]
    assert followers == ["b"], followers


@then("the others prefer it, then the second with 9, then that with 4")
def step_relay_order(context):
    names = [daemon.name for daemon in relay_candidates(RELAYS, RELAYS[0])]
    assert names == ["b", "c", "d"], names
