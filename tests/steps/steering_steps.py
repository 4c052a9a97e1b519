"""Steps on cold leafs and held versions."""

from __future__ import annotations

import attrs
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st
from serving_world import SHARDS, ServingWorld

from snipemount.decisions.fleet.shares import share_of

SECOND_MS = 1000.0
ROUNDING_ERROR = 1e-9


@then(
    "for any daemons and limits the shares of a cold leaf add up to at most the limit"
)
def step_sum(context):
    @for_any(st.integers(0, 200), st.integers(1, 90), st.text(max_size=8))
    def holds(limit, count, leaf_id):
        names = [f"daemon-{number}" for number in range(count)]
        shares = [share_of(limit, leaf_id, names, name) for name in names]
        assert sum(shares) <= limit + ROUNDING_ERROR
        total = sum(int(share) for share in shares)
        assert total <= limit
        assert total >= min(limit, count) * 0.5

    holds()


@given("a serving path whose leafs handle {per_s:g} requests a second while cold")
def step_cold_world(context, per_s):
    context.serving = ServingWorld()
    context.serving.start()
    context.serving.serving_context.cold_requests_per_s = lambda service: per_s
    context.serving.run_for(10_000.0)


def change_zone(context, zone, **fields):
    """Update the entries of a zone's leafs with `fields`."""
    directory = context.serving.directory
    now_ms = context.serving.timers.now_ms()
    for state in directory.all_states():
        if state.leaf.zone == zone and state.leaf.service in SHARDS:
            directory.put(attrs.evolve(state.leaf, **fields), now_ms)


@when("the leafs of {zone} are cold")
def step_cold(context, zone):
    change_zone(context, zone, cold_ms=60_000.0)


@when("the leafs of {zone} are of version {version}, which is held")
def step_held(context, zone, version):
    change_zone(context, zone, version=version)
    held = dict.fromkeys(SHARDS, version)
    context.serving.directory.set_held_versions(held)


@when("the leafs of {zone} are removed")
def step_zone_removed(context, zone):
    directory = context.serving.directory
    for state in directory.all_states():
        if state.leaf.zone == zone:
            directory.remove(state.leaf.leaf_id, context.serving.timers.now_ms())


def arrivals_in(context, zone):
    """Return the arrival times of requests by leaf of a zone."""
    times = {}
    for at_ms, leaf_id, _ in context.serving.leafs.arrivals:
        if leaf_id.endswith(zone):
            times.setdefault(leaf_id, []).append(at_ms)
    return times


@then("no leaf of {zone} got more than {limit:d} requests in any second")
def step_per_second(context, zone, limit):
    found = arrivals_in(context, zone)
    assert found, "the cold leafs got no requests"
    for times in found.values():
        for start_ms in times:
            window = [t for t in times if start_ms <= t < start_ms + SECOND_MS]
            assert len(window) <= limit, (len(window), start_ms)


@then("no leaf of {zone} got a request")
def step_none(context, zone):
    assert not arrivals_in(context, zone)
