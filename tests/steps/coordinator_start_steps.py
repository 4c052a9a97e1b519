"""Steps on VMs that have just started, and on coordinators that stall."""

from __future__ import annotations

from behave import given, when
from fleet_world import LARGE, FleetWorld


@given("the same VMs just after their start")
def step_just_started(context):
    before = context.fleet
    world = context.fleet = FleetWorld()
    for daemon in before.daemons:
        world.add_daemons(daemon.zone, 1, (daemon.vm.cores, daemon.vm.link_mbps))
    world.start()
    context.small = world.daemons[-1]


@when("all large VMs stall for {stall_ms:g} ms")
def step_stall(context, stall_ms):
    for daemon in context.fleet.daemons:
        if daemon.vm.cores == LARGE[0]:
            daemon.vm.frozen_until_ms = context.fleet.timers.now_ms() + stall_ms
