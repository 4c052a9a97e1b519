"""Steps for connections opened in advance and for reused leaf addresses."""

from __future__ import annotations

import attrs
from behave import given, then, when
from serving_steps import SHARDS, arrivals_of, last

from snipemount.serving.ready_connections import ReadyConnections


def connected_in(context, zone):
    """Return the ids of a zone's leafs that have a connection."""
    return {leaf for leaf in context.serving.leafs.connected if leaf.endswith(zone)}


@given("its connections are kept ready")
def step_ready(context):
    ReadyConnections(context.serving.serving_context, context.serving.gateway).start()


@then("at most {count:d} leafs have a connection")
def step_at_most(context, count):
    assert 0 < len(context.serving.leafs.connected) <= count, (
        context.serving.leafs.connected
    )


@then(
    "every leaf of {zone} that holds a shard has a connection and no other leaf has one"
)
def step_all_first(context, zone):
    connected = context.serving.leafs.connected
    shards = [
        state.leaf.leaf_id
        for state in context.serving.directory.all_states()
        if state.leaf.service.startswith("shard") and state.leaf.zone == zone
    ]
    assert connected == set(shards), connected ^ set(shards)


@then("no leaf of {zone} has a connection")
def step_none_ready(context, zone):
    assert not connected_in(context, zone)


@then("some leaf of {zone} has a connection")
def step_some_ready(context, zone):
    assert connected_in(context, zone)


@when(
    "a query is asked and the event loop is blocked from {begin_ms:g} ms to "
    "{end_ms:g} ms after it"
)
def step_loop_blocked(context, begin_ms, end_ms):
    world = context.serving
    world.ask("find")
    world.run_for(begin_ms)
    world.timers.advance_blocked(end_ms - begin_ms)
    context.asked = len(arrivals_of(context, last(context).request_id))


@then("no leg of it had been hedged by then")
def step_no_hedge(context):
    world = context.serving
    world.run_for(1.0)
    arrived = arrivals_of(context, last(context).request_id)
    assert len(arrived) == context.asked == len(set(arrived)), arrived


@then("after {unused:d} of them were never sent it grants {count:d} more")
def step_budget_returned(context, unused, count):
    context.budget.refund(unused)
    granted = sum(context.budget.try_spend(10_000.0) for _ in range(100))
    assert granted == count, granted


@when("another leaf has taken the address of the leaf of shard {number:d} in {zone}")
def step_address_reused(context, number, zone):
    context.moved = f"{SHARDS[number]}-{zone}"
    context.serving.leafs.scripts[context.moved].address_reused = True


@then("the leaf of shard {number:d} in {zone} got at most {count:d} of them")
def step_got_few(context, number, zone, count):
    arrivals = context.serving.leafs.arrivals
    got = [leaf for _, leaf, _ in arrivals if leaf == f"{SHARDS[number]}-{zone}"]
    assert len(got) <= count, len(got)


@when("its entry names a new address")
def step_new_entry(context):
    world = context.serving
    known = world.directory.find(context.moved).leaf
    world.leafs.scripts[context.moved].address_reused = False
    moved = attrs.evolve(known, port=known.port + 1)
    world.directory.put(moved, world.timers.now_ms())


@then("the leaf of shard {number:d} in {zone} answered it")
def step_answered_it(context, number, zone):
    receipts = last(context).outcome.receipts
    assert f"ran.{SHARDS[number]}-{zone}" in receipts, receipts


@when("hedges are still connecting when they are cancelled")
def step_connecting(context):
    leafs = context.serving.leafs
    send = leafs.send

    def connecting(leaf, request, time_left_ms, done):
        handle = send(leaf, request, time_left_ms, done)
        if leaf.leaf_id.endswith("zone-b"):
            handle.cancel()
            handle.cancel = lambda: False
        return handle

    leafs.send = connecting


@then("shard {number:d} has as many extra attempts left as any other")
def step_left(context, number):
    world = context.serving
    now_ms = world.timers.now_ms()
    assert any(
        leaf == f"{SHARDS[number]}-zone-b" for _, leaf, _ in world.leafs.arrivals
    )

    def left(shard):
        budget = world.serving_context.budget(shard)
        return sum(budget.try_spend(now_ms) for _ in range(100))

    assert left(SHARDS[number]) == left(SHARDS[0]) > 0


@when("the leaf of shard {number:d} in {zone} starts draining")
def step_starts_draining(context, number, zone):
    world = context.serving
    known = world.directory.find(f"{SHARDS[number]}-{zone}").leaf
    world.directory.put(attrs.evolve(known, draining=True), world.timers.now_ms())


@then("the leaf of shard {number:d} in {zone} did not get the query")
def step_not_got(context, number, zone):
    arrived = arrivals_of(context, last(context).request_id)
    assert arrived
    assert f"{SHARDS[number]}-{zone}" not in arrived
