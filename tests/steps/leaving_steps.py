"""Steps for zones, servers and daemons that leave the deployment."""

from __future__ import annotations

import attrs
from behave import then, when
from fault_steps import first_server, owner_in

from snipemount.model.catalogue import ZoneRecord
from snipemount.node.catalogue import record_converter
from snipemount.ports.platform import Kind


def put_zone(world, zone, out):
    """Store in the platform whether operators have taken `zone` out."""
    world.store.put(
        Kind.ZONE, zone, record_converter.unstructure(ZoneRecord(zone, out))
    )


@when("operators take {zone} out")
def step_out(context, zone):
    put_zone(context.world, zone, True)


@when("operators bring {zone} back")
def step_back(context, zone):
    put_zone(context.world, zone, False)
    context.started = {
        m.server.name: m.stats.started for m in context.world.models.values()
    }


@when("the exchanges started by servers of {zone} are counted")
def step_count_started(context, zone):
    context.started = {
        m.server.name: m.stats.started
        for m in context.world.models.values()
        if m.server.zone == zone
    }


@when("the platform lists a server of {zone} as draining")
def step_listed(context, zone):
    world = context.world
    context.draining_server = first_server(world, zone)
    record = world.services["finder"]
    version = record.versions[0]
    servers = tuple(
        attrs.evolve(s, draining=s.name == context.draining_server.server.name)
        for s in version.servers
    )
    versions = (attrs.evolve(version, servers=servers),)
    world.put_service(attrs.evolve(record, versions=versions))


@when("a server of {zone} refuses exchanges because it drains")
def step_drains(context, zone):
    context.draining_server = first_server(context.world, zone)
    context.draining_server.draining = True


@when("the daemon that owns a server of {zone} is stopped gracefully")
def step_stop(context, zone):
    context.stopped = []
    name = owner_in(context.world, zone)
    node = context.world.daemons[name].node
    node.stop(lambda: context.stopped.append(name))


@then("the daemon has stopped")
def step_stopped(context):
    assert len(context.stopped) == 1


@then("no server of {zone} has started an exchange since")
def step_none_started(context, zone):
    for name, started in context.started.items():
        assert context.world.models[name].stats.started == started, name


@then("the draining server has started no exchange since")
def step_drained(context):
    name = context.draining_server.server.name
    assert context.draining_server.stats.started == context.started[name]


@then("servers of {zone} have started exchanges again")
def step_again(context, zone):
    for name, started in context.started.items():
        if zone in name and name.startswith("finder"):
            assert context.world.models[name].stats.started > started, name
