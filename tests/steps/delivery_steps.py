"""Steps on delivery of answers."""

from __future__ import annotations

from random import Random

import attrs
from behave import given, then, when
from small_world import SMALL

from snipemount.ports.peer import ReportExchange


@given("replies between daemons are delayed, doubled and crossed")
def step_cross(context):
    world = context.world
    random = Random(7)
    deliver = world.mesh.deliver

    def disturbed(sender, receiver, message):
        if isinstance(message, ReportExchange) and random.random() < 0.3:
            late_ms = random.uniform(0.0, 400.0)
            world.timers.call_later(late_ms, lambda: deliver(sender, receiver, message))
            crossed = attrs.evolve(message.reply, exchange_id=random.randrange(1, 9999))
            deliver(sender, receiver, ReportExchange(crossed))
        return deliver(sender, receiver, message)

    world.mesh.deliver = disturbed


@when("half of the open connections go silent")
def step_silence(context):
    world = context.world
    context.silenced = []
    for daemon in world.daemons.values():
        daemon.backend.silence(0.5, world.random)
        context.silenced += [c for c in daemon.backend.connections.values() if c.silent]
    assert context.silenced


@when("{zone} is cut off from the other zones")
def step_cut(context, zone):
    world = context.world
    for other in SMALL.zones:
        if other != zone:
            world.mesh.cut.add(frozenset((zone, other)))
    for daemon in world.daemons.values():
        own = daemon.node.own.zone
        cut = {z for z in SMALL.zones if frozenset((own, z)) in world.mesh.cut}
        daemon.backend.unreachable = cut


@when("the zones are joined again")
def step_join(context):
    context.world.mesh.cut.clear()
    for daemon in context.world.daemons.values():
        daemon.backend.unreachable = set()


@then("the silent connections are closed")
def step_closed(context):
    assert all(connection.closed for connection in context.silenced)


@then("every request of a living daemon has its answer in time")
def step_living(context):
    answered = [s for s in context.world.samples if s.answer is not None]
    lost = len(context.world.samples) - len(answered)
    late = 0
    for sample in answered:
        assert sample.correct
        late += sample.elapsed_ms > sample.request.deadline_ms + 2
    count = len(context.world.samples)
    assert lost + late <= count / len(SMALL.zones), (lost, late, count)
