"""Steps on the requests that are counted for organisations."""

from __future__ import annotations

import attrs
from behave import given, then, when
from fleet_world import LEAF_ZONES

from snipemount.model.identity import Anonymous, OfOrganisation
from snipemount.serving.counted_run import RequestCounter
from snipemount.timers import VirtualTimers
from snipemount.usage.usage_counter import UsageCounter
from snipemount.usage.wall_clock import WallClock
from snipemount.usage.window_times import WindowTimes


class RecordingCounter(RequestCounter):
    """Records the times at which requests began."""

    def __init__(self) -> None:
        self.began: list[float] = []
        self.open: set[int] = set()
        self.opened_count = 0

    def opened(self, organisation, began_ms) -> int:
        """Record a request that has arrived."""
        assert organisation == "org-a"
        self.opened_count += 1
        self.open.add(self.opened_count)
        return self.opened_count

    def ended(self, number, began_ms) -> None:
        """Record the end of a request, which must be the only one."""
        self.open.remove(number)
        if began_ms is not None:
            self.began.append(began_ms)


def count_requests(context, caller):
    """Count the requests that reach each gateway, all of one caller."""
    if "fleet" in context:
        gateways = {daemon.name: daemon.gateway for daemon in context.fleet.daemons}
    else:
        gateways = {"own": context.serving.gateway}
    context.counters = {}
    for name, gateway in gateways.items():
        context.counters[name] = gateway.request_counter = RecordingCounter()

        def submit(request, done, inner=gateway.submit):
            return inner(attrs.evolve(request, caller=caller), done)

        gateway.submit = submit


def directories(context):
    """Return the directory of each daemon."""
    if "fleet" in context:
        return [daemon.context.directory for daemon in context.fleet.daemons]
    return [context.serving.directory]


@given("the requests of callers are counted")
def step_counted(context):
    count_requests(context, OfOrganisation("org-a"))


@given("the requests of callers without a key are counted")
def step_anonymous(context):
    count_requests(context, Anonymous())


@then("{count:d} request was counted, begun when it arrived")
def step_began(context, count):
    began = [ms for counter in context.counters.values() for ms in counter.began]
    assert began == [context.serving.samples[-1].started_ms] * count, began


@then("{count:d} request was counted")
@then("{count:d} requests were counted")
def step_count(context, count):
    began = [ms for counter in context.counters.values() for ms in counter.began]
    assert len(began) == count, began
    assert not any(counter.open for counter in context.counters.values())


@then("the small VM has counted it")
def step_at_small(context):
    assert len(context.counters[context.small.name].began) == 1


@when("its caller leaves, twice")
def step_leaves(context):
    context.serving.samples[-1].run.cancel()
    context.serving.samples[-1].run.cancel()


@when("no leaf accepts connections for now")
def step_connecting(context):
    leafs = context.fleet.leafs if "fleet" in context else context.serving.leafs
    for state in directories(context)[0].all_states():
        leafs.scripts[state.leaf.leaf_id].drops_packets = True


@when("no leaf is known")
def step_no_leafs(context):
    for directory in directories(context):
        directory.set_zones_out(frozenset(LEAF_ZONES))


@when("all coordinators are full")
def step_full(context):
    for daemon in context.fleet.daemons:
        daemon.queries.max_running_legs = -1


@given("a counter of windows of {window_s:g} s")
def step_counter(context, window_s):
    context.counter = UsageCounter(WindowTimes(window_s * 1000.0, 10_000.0), 0.0)
    context.ends = []


@when("a request begins at {began_ms:g} ms and ends at {ended_ms:g} ms")
def step_request(context, began_ms, ended_ms):
    number = context.counter.opened("org-a", began_ms - 5.0, lambda: began_ms)
    context.ends.append((ended_ms, number, began_ms))


def window_at(context, window, at_ms):
    """Return a window's state at a time."""
    for ended_ms, number, began_ms in list(context.ends):
        if ended_ms <= at_ms:
            context.counter.ended(number, began_ms)
            context.ends.remove((ended_ms, number, began_ms))
    context.counter.advance(at_ms)
    context.counter.mark_unsent()
    (counts,) = [c for c in context.counter.take_changed() if c.window == window]
    return counts


@when("a request arrives at {at_ms:g} ms, and nothing more is told of it")
def step_never_ends(context, at_ms):
    context.counter.opened("org-a", at_ms, lambda: None)


@when("the clock shows {wrong_ms:g} ms for a time, then {right_ms:g} ms again")
def step_wrong(context, wrong_ms, right_ms):
    context.counter.advance(wrong_ms)
    context.counter.advance(right_ms)


@then("window {window:d} is not closed at {at_ms:g} ms")
def step_open(context, window, at_ms):
    assert not window_at(context, window, at_ms).closed


@then("window {window:d} is closed at {at_ms:g} ms with {count:d} requests")
def step_closed(context, window, at_ms, count):
    counts = window_at(context, window, at_ms)
    assert counts.closed
    assert sum(counts.counts.values()) == count, counts


@then("window {window:d} still has {count:d} requests at {at_ms:g} ms")
def step_still(context, window, count, at_ms):
    step_closed(context, window, at_ms, count)


def true_time_error_ms(step_ms, span_ms):
    """Return how far true time is off at the end of a step of the clock."""
    timers = VirtualTimers()
    clock = WallClock(timers)
    timers.run_until(70_000.0)
    timers.step_wall(step_ms)
    timers.run_until(70_000.0 + span_ms)
    return clock.now_ms() - timers.now_ms()


@then("after a step of 5 s, and of -8 s, for up to 29 s true time is as before")
def step_short(context):
    for step_ms in (5000.0, -8000.0):
        for span_ms in (400.0, 10_000.0, 29_000.0):
            assert true_time_error_ms(step_ms, span_ms) == 0.0


@then("after a step of 5 s for 40 s true time has followed")
def step_long(context):
    assert true_time_error_ms(5000.0, 40_000.0) == 5000.0


@then("a suspension of 20 s advances true time by 20 s")
def step_suspended(context):
    timers = VirtualTimers()
    clock = WallClock(timers)
    timers.run_until(10_000.0)
    timers.suspend(20_000.0)
    assert clock.now_ms() == 30_000.0
