"""Steps that cause faults of servers, daemons and the platform."""

from __future__ import annotations

from behave import given, when
from small_world import make_world


def owner_in(world, zone):
    """Return the name of a daemon that owns servers of `zone`."""
    names = [
        name
        for name, daemon in sorted(world.daemons.items())
        if daemon.node.own.zone == zone and daemon.node.owner.used_server_names
    ]
    assert names, f"no daemon of {zone} owns a server"
    return names[0]


def first_server(world, zone):
    """Return the first server of `finder` in `zone`."""
    return next(m for m in world.servers_of("finder") if m.server.zone == zone)


@given("a small deployment whose servers are cold")
def step_cold_world(context):
    context.world = make_world(warm=False)


@when("a server of {zone} turns cold without reporting it")
def step_turn_cold(context, zone):
    first_server(context.world, zone).make_cold()


@when("a server of {zone} restarts")
def step_restart(context, zone):
    model = first_server(context.world, zone)
    model.crash()


@when("the daemon that owns a server of {zone} is killed")
def step_kill(context, zone):
    context.world.kill_daemon(owner_in(context.world, zone))


@when("the daemon that owns a server of {zone} is paused for {seconds:g} s")
def step_pause(context, zone, seconds):
    world = context.world
    process = world.daemons[owner_in(world, zone)].process
    process.paused = True
    world.timers.call_later(seconds * 1000.0, process.resume)


@when("the platform goes down")
def step_platform_down(context):
    context.world.faults.down = True


@when("the platform comes back")
def step_platform_up(context):
    context.world.faults.down = False
