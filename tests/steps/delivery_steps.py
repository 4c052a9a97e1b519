"""Steps for the delivery of answers."""

from __future__ import annotations

from random import Random

import attrs
from behave import given, then, when
from small_world import SMALL_PLAN

from snipemount.ports.peer import ReportExchange


@given("replies between daemons also arrive late and with wrong exchange ids")
def step_disturb_replies(context):
    world = context.world
    random = Random(7)
    deliver = world.mesh.deliver

    def deliver_disturbed(sender, receiver, message):
        if isinstance(message, ReportExchange) and random.random() < 0.3:
            late_ms = random.uniform(0.0, 400.0)
            world.timers.call_later(late_ms, lambda: deliver(sender, receiver, message))
            wrong_id = attrs.evolve(
                message.reply, exchange_id=random.randrange(1, 9999)
            )
            deliver(sender, receiver, ReportExchange(wrong_id))
        return deliver(sender, receiver, message)

    world.mesh.deliver = deliver_disturbed


@when("half of the open connections become unresponsive")
def step_make_unresponsive(context):
    world = context.world
    context.unresponsive = []
    for daemon in world.daemons.values():
        daemon.backend.make_unresponsive(0.5, world.random)
        context.unresponsive += [
            c for c in daemon.backend.connections.values() if c.unresponsive
        ]
    assert context.unresponsive


@when("{zone} is cut off from the other zones")
def step_cut(context, zone):
    world = context.world
    for other in SMALL_PLAN.zones:
        if other != zone:
            world.mesh.cut_off_pairs.add(frozenset((zone, other)))
    for daemon in world.daemons.values():
        own = daemon.node.own.zone
        cut_off_zones = {
            z
            for z in SMALL_PLAN.zones
            if frozenset((own, z)) in world.mesh.cut_off_pairs
        }
        daemon.backend.unreachable_zones = cut_off_zones


@when("all zones are reachable again")
def step_reachable(context):
    context.world.mesh.cut_off_pairs.clear()
    for daemon in context.world.daemons.values():
        daemon.backend.unreachable_zones = set()


@then("the unresponsive connections are closed")
def step_closed(context):
    assert all(connection.closed for connection in context.unresponsive)


@then("at most one zone's share of the requests is unanswered or late")
def step_unanswered_or_late(context):
    answered = [s for s in context.world.samples if s.answer is not None]
    unanswered = len(context.world.samples) - len(answered)
    late = 0
    for sample in answered:
        assert sample.correct
        late += sample.elapsed_ms > sample.request.deadline_ms + 2
    count = len(context.world.samples)
    assert unanswered + late <= count / len(SMALL_PLAN.zones), (unanswered, late, count)
