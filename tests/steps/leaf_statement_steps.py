"""Steps on what leafs state about themselves in their answers."""

from __future__ import annotations

import attrs
from behave import then, when
from leaf_limit_steps import SHARDS

from snipemount.model.forwarding import RequestRefused
from snipemount.model.leaf_notice import SILENT_NOTICE, LeafNotice

LATER_START_WALL_MS = 2.0


def state_in_zone(context, zone, notice):
    """Let the shards' leafs of a zone state something in each answer."""
    for shard in SHARDS:
        context.leafs.scripts[f"{shard}-{zone}"].notice = notice


@when("the leafs of {zone} state that they leave")
def step_leave(context, zone):
    state_in_zone(context, zone, LeafNotice(leaving=True))


@when("the leafs of {zone} state nothing any more")
def step_state_nothing(context, zone):
    state_in_zone(context, zone, SILENT_NOTICE)


def leafs_of(world, zone):
    """Return the entries of the shards' leafs of a zone."""
    return [world.directory.find(f"{shard}-{zone}").leaf for shard in SHARDS]


@when("the entries of {zone} lapse and return")
def step_lapse(context, zone):
    for world in context.daemons:
        for leaf in leafs_of(world, zone):
            assert world.directory.remove(leaf.leaf_id, context.timers.now_ms())
            world.directory.put(leaf, context.timers.now_ms())


@when("the entries of {zone} are written again")
def step_written_again(context, zone):
    replace_entries(context, zone, slots=3)


@when("the entries of {zone} move to another port")
def step_move(context, zone):
    replace_entries(context, zone, port=9000)


@when("the leafs of {zone} start again under their ids")
def step_start_again(context, zone):
    replace_entries(context, zone, started_wall_ms=LATER_START_WALL_MS)


@when("the leafs of {zone} start again, and the old entries return")
def step_old_entries(context, zone):
    old = [(world, leafs_of(world, zone)) for world in context.daemons]
    step_start_again(context, zone)
    for world, leafs in old:
        for leaf in leafs:
            world.directory.put(leaf, context.timers.now_ms())


def replace_entries(context, zone, **fields):
    """Replace fields of the entries of a zone's leafs."""
    for world in context.daemons:
        for leaf in leafs_of(world, zone):
            changed = attrs.evolve(leaf, **fields)
            world.directory.put(changed, context.timers.now_ms())


def ask_and_meanwhile(context, change):
    """Ask the leafs of zone-a, and change them while they work on it."""
    (world,) = context.daemons
    world.ask("find", deadline_ms=1400.0)
    world.run_for(20.0)
    change(context, "zone-a")
    world.run_for(400.0)


@when("a query is asked of them that is answered after they started again")
def step_answered_after(context):
    ask_and_meanwhile(context, step_start_again)


@when(
    "a query is asked of them that is answered after their entries lapsed and returned"
)
def step_answered_after_lapse(context):
    ask_and_meanwhile(context, step_lapse)


def arrivals_since(context, zone, span_s):
    """Return the requests that a zone's leafs got in the last seconds."""
    since_ms = context.timers.now_ms() - span_s * 1000.0
    return [
        arrival
        for arrival in context.leafs.arrivals
        if arrival[0] >= since_ms and arrival[1].endswith(zone)
    ]


@then("the leafs of {zone} got nothing in the last {span_s:g} s")
def step_got_nothing(context, zone, span_s):
    assert not arrivals_since(context, zone, span_s)


@then("the leafs of {zone} got something in the last {span_s:g} s")
def step_got_something(context, zone, span_s):
    assert arrivals_since(context, zone, span_s)


@when("the leafs of {zone} refuse and want nothing for {rest_s:g} s")
def step_rest(context, zone, rest_s):
    state_in_zone(context, zone, LeafNotice(rest_ms=rest_s * 1000.0))
    set_refusing(context, zone, True)


@when("the leafs of {zone} refuse nothing any more")
def step_no_rest(context, zone):
    state_in_zone(context, zone, SILENT_NOTICE)
    set_refusing(context, zone, False)


def set_refusing(context, zone, refuses):
    """Let the shards' leafs of a zone refuse what they get, or accept it."""
    for shard in SHARDS:
        context.leafs.scripts[f"{shard}-{zone}"].refuses = refuses


@then(
    "the last query was refused at once and may come back after {least_ms:g} to "
    "{most_ms:g} ms"
)
def step_come_back(context, least_ms, most_ms):
    sample = context.daemons[0].samples[-1]
    assert isinstance(sample.outcome, RequestRefused), sample
    assert sample.elapsed_ms == 0.0, sample
    assert least_ms <= sample.outcome.retry_after_ms <= most_ms, sample
