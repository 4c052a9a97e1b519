"""Steps on zones, servers and daemons that leave."""

from __future__ import annotations

import attrs
from behave import then, when
from fault_steps import first_server, owner_in

from snipemount.model.catalogue import ZoneRecord
from snipemount.node.catalogue import converter
from snipemount.ports.platform import Kind


def put_zone(world, zone, out):
    """Write a zone's state to the platform."""
    world.store.put(Kind.ZONE, zone, converter.unstructure(ZoneRecord(zone, out)))


@when("operators take {zone} out")
def step_out(context, zone):
    put_zone(context.world, zone, True)


@when("operators bring {zone} back")
def step_back(context, zone):
    put_zone(context.world, zone, False)
    context.started = {
        m.server.name: m.tally.started for m in context.world.models.values()
    }


@when("the servers of {zone} note their last start")
def step_note(context, zone):
    context.started = {
        m.server.name: m.tally.started
        for m in context.world.models.values()
        if m.server.zone == zone
    }


@when("the platform lists a server of {zone} as draining")
def step_listed(context, zone):
    world = context.world
    context.leaving = first_server(world, zone)
    record = world.services["finder"]
    version = record.versions[0]
    servers = tuple(
        attrs.evolve(s, draining=s.name == context.leaving.server.name)
        for s in version.servers
    )
    versions = (attrs.evolve(version, servers=servers),)
    world.put_service(attrs.evolve(record, versions=versions))


@when("a server of {zone} refuses because it drains")
def step_drains(context, zone):
    context.leaving = first_server(context.world, zone)
    context.leaving.draining = True


@when("the daemon that owns a server of {zone} is told to stop")
def step_stop(context, zone):
    context.stopped = []
    name = owner_in(context.world, zone)
    node = context.world.daemons[name].node
    node.stop(lambda: context.stopped.append(name))


@then("the daemon has stopped")
def step_stopped(context):
    assert len(context.stopped) == 1


@then("no server of {zone} has started anything since")
def step_nothing(context, zone):
    for name, started in context.started.items():
        assert context.world.models[name].tally.started == started, name


@then("the draining server has started nothing since")
def step_drained(context):
    name = context.leaving.server.name
    assert context.leaving.tally.started == context.started[name]


@then("servers of {zone} have started work again")
def step_again(context, zone):
    for name, started in context.started.items():
        if zone in name and name.startswith("finder"):
            assert context.world.models[name].tally.started > started, name
