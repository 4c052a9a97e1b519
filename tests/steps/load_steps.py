"""Steps on load, slow leafs and zones that are cut off, with scripted leafs."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from serving_steps import step_answer, step_queries, step_query
from serving_world import (
    SHARDS,
    ServingWorld,
    make_leaf,
    make_route,
)

from snipemount.decisions.leafs.leaf_choice import LeafChoice
from snipemount.decisions.leafs.leaf_state import LeafState
from snipemount.decisions.query.answer_timing import hedge_delay_quantile
from snipemount.decisions.requests.extra_attempts import (
    ExtraAttemptBudget,
    ExtraAttemptLimit,
)
from snipemount.model.configuration import ToAllShards
from snipemount.model.forwarding import Merged, RequestRefused
from snipemount.serving.service_call import HEDGE_BUDGET_SHARE


@given("a serving path whose shards have one leaf each, half of them in zone-b")
def step_half(context):
    world = ServingWorld()
    context.serving = world
    world.start()
    for number, shard in enumerate(SHARDS):
        zone = "zone-a" if number % 2 else "zone-b"
        world.directory.remove(f"{shard}-{zone}", 1e9)
    world.run_for(10_000.0)


def zone_scripts(context, zone):
    """Return the scripts of the leafs of a zone."""
    scripts = context.serving.leafs.scripts
    states = context.serving.directory.all_states()
    return [scripts[s.leaf.leaf_id] for s in states if s.leaf.zone == zone]


@when("the leafs of {zone} stop responding")
def step_zone_unresponsive(context, zone):
    for script in zone_scripts(context, zone):
        script.unresponsive = True


@when("{count:d} leafs of {zone} stop responding")
def step_some_unresponsive(context, count, zone):
    for script in zone_scripts(context, zone)[:count]:
        script.unresponsive = True


@when("the leafs of {zone} respond again")
def step_zone_responds(context, zone):
    for script in zone_scripts(context, zone):
        script.unresponsive = False


@given("a balancer that moves callers {wait_ms:g} ms from now")
def step_balancer(context, wait_ms):
    context.serving.serving_context.ms_until_moved = lambda: wait_ms


@then("it is refused at once, to be asked again in {wait_ms:g} ms")
def step_refused_until(context, wait_ms):
    outcome = context.serving.samples[-1].outcome
    assert isinstance(outcome, RequestRefused), outcome
    assert outcome.retry_after_ms == wait_ms, outcome


@when("the leafs of {zone} refuse connections")
def step_zone_refuses_connections(context, zone):
    for script in zone_scripts(context, zone):
        script.refuses_connections = True


@when("{count:d} leafs of {zone} refuse connections")
def step_some_refuse_connections(context, count, zone):
    for script in zone_scripts(context, zone)[:count]:
        script.refuses_connections = True


@when("the leafs of {zone} accept connections again")
def step_zone_accepts(context, zone):
    for script in zone_scripts(context, zone):
        script.refuses_connections = False


@when("1 leaf of {zone} accepts connections again")
def step_one_accepts(context, zone):
    zone_scripts(context, zone)[0].refuses_connections = False


def events(context, name):
    """Return the log lines of an event."""
    return [line for line in context.serving.lines if line["event"] == name]


@then("no log line reports a zone that is cut off")
def step_no_cut_line(context):
    assert not events(context, "zone_cut_off")


@then("a log line reports that {zone} is reachable again")
def step_reached_line(context, zone):
    assert zone in [line["zone"] for line in events(context, "zone_reached")]


@then("the daemon is isolated")
def step_isolated(context):
    assert context.serving.gateway.is_isolated


@then("the daemon is not isolated")
def step_not_isolated(context):
    assert not context.serving.gateway.is_isolated


@then("a log line reports that {zone} is cut off")
def step_cut_line(context, zone):
    lines = [x for x in context.serving.lines if x["event"] == "zone_cut_off"]
    assert [line["zone"] for line in lines] == [zone]


@then("a query is answered by all shards")
def step_all_shards(context):
    step_query(context)
    context.serving.run_for(500.0)
    step_answer(context, len(SHARDS), 0)


@when("one leaf of each shard refuses {percent:d} of 100 requests")
def step_shed(context, percent):
    world = context.serving
    random = Random(7)
    for shard in SHARDS:
        script = world.leafs.scripts[f"{shard}-zone-a"]
        world.timers.call_every(
            20.0,
            lambda s=script: setattr(s, "refuses", random.random() < percent / 100),
        )


@when("no leaf of {zone} can be reached")
def step_zone_unreachable(context, zone):
    for script in zone_scripts(context, zone):
        script.unreachable = True


@when("each leaf pauses for {span_ms:g} ms every {period_ms:g} ms")
def step_pauses(context, span_ms, period_ms):
    world = context.serving
    random = Random(3)
    for state in world.directory.all_states():
        script = world.leafs.scripts[state.leaf.leaf_id]

        def pause(script=script) -> None:
            script.paused_until_ms = world.timers.now_ms() + span_ms

        def begin(pause=pause) -> None:
            pause()
            world.timers.call_every(period_ms, pause)

        world.timers.call_later(random.random() * period_ms, begin)


def complete_since(context, second):
    """Return how many queries since a second were complete, and their number."""
    selected = [s for s in context.serving.samples if s.started_ms >= second * 1000.0]
    assert selected
    outcomes = [s.outcome for s in selected]
    complete = [o for o in outcomes if isinstance(o, Merged) and o.missing == 0]
    return len(complete), len(selected)


@then("at least {percent:d} of 100 queries since second {second:d} are complete")
def step_share_complete(context, percent, second):
    complete, asked = complete_since(context, second)
    assert complete >= asked * percent / 100, (complete, asked)


@then("all queries since second {second:d} are complete")
def step_all_complete(context, second):
    complete, asked = complete_since(context, second)
    assert complete == asked, (complete, asked)


@then("there were at most {percent:d} extra attempts per 100 legs")
def step_extra_attempts(context, percent):
    legs = len(context.serving.samples) * len(SHARDS)
    extra = len(context.serving.leafs.arrivals) - legs
    assert extra <= legs * percent / 100, (extra, legs)


@then(
    'the metrics count 1 complete request on "find", failed attempts and extra attempts'
)
def step_metrics(context):
    text = context.serving.metrics.render().decode()
    assert 'snipemount_requests_total{result="complete",route="find"} 1.0' in text
    assert 'snipemount_legs_total{result="500",zone="zone-a"} 20.0' in text
    assert 'snipemount_legs_total{result="200",zone="zone-b"} 20.0' in text
    assert 'snipemount_second_sends_total{cause="failed",granted="yes"} 20.0' in text


@when("timers fire {late_ms:g} ms late for {count:d} queries")
def step_late(context, late_ms, count):
    for _ in range(count):
        context.serving.serving_context.lag.add(late_ms)


@when("the leafs of {zone} take {work_ms:g} ms")
def step_zone_slow(context, zone, work_ms):
    for script in zone_scripts(context, zone):
        script.work_ms = work_ms


@then("at most {percent:d} of 100 attempts since second {second:d} went to {zone}")
def step_share_zone(context, percent, second, zone):
    selected = [
        leaf
        for at_ms, leaf, _ in context.serving.leafs.arrivals
        if at_ms >= second * 1000.0
    ]
    sent_to_zone = sum(leaf.endswith(zone) for leaf in selected)
    assert selected
    assert sent_to_zone <= len(selected) * percent / 100, (sent_to_zone, len(selected))


@then(
    "a leaf with a request pending for {old_ms:g} ms is passed over for one "
    "with 3 new ones"
)
def step_pending_request(context, old_ms):
    stuck = LeafState(make_leaf("stuck", "shard0"), 0.0)
    busy = LeafState(make_leaf("busy", "shard0"), 0.0)
    stuck.sent(1000.0 - old_ms)
    for _ in range(3):
        busy.sent(999.0)
    choice = LeafChoice("zone-a", Random(1))
    assert choice.pick([stuck, busy], (), 20.0, 1000.0) is busy


@then("when hedges have used up their share of the budget, retries are still granted")
def step_hedge_share(context):
    limit = ExtraAttemptLimit(0.2, 56.0, 10_000.0)
    budget = ExtraAttemptBudget(limit, limit.shared_slack, -10_000.0)
    for number in range(400):
        budget.add_request(number * 20.0)
    now_ms = 8000.0
    hedges = 0
    while budget.try_spend(now_ms, HEDGE_BUDGET_SHARE):
        hedges += 1
    retries = 0
    while budget.try_spend(now_ms):
        retries += 1
    assert hedges > retries > 0, (hedges, retries)


@then(
    "the share of legs that are not hedged is {few:g} at 20 shards and {many:g} at 90"
)
def step_quantiles(context, few, many):
    shares = [
        hedge_delay_quantile(
            make_route("q", ToAllShards(tuple(map(str, range(count))), 5, 0.75))
        )
        for count in (20, 90)
    ]
    assert [round(share, 6) for share in shares] == [few, many], shares


@then("at most {limit:d} request lines were logged in the first second")
def step_lines(context, limit):
    context.ended = [x for x in context.serving.lines if x["event"] == "request_ended"]
    assert 0 < len(context.ended) - 1 <= limit, len(context.ended)


@then("the logged lines and the counts of dropped ones add up to {total:d}")
def step_dropped(context, total):
    dropped = sum(
        line["count"]
        for line in context.serving.lines
        if line["event"] == "request_lines_dropped"
    )
    assert len(context.ended) + dropped == total, (len(context.ended), dropped)


@when("shards {first:d} to {end:d} have leafs in {zone} that take {work_ms:g} ms")
def step_some_slow(context, first, end, zone, work_ms):
    for number in range(first, end + 1):
        context.serving.leafs.scripts[f"{SHARDS[number]}-{zone}"].work_ms = work_ms


@then(
    "at most {percent:d} of 100 attempts at shards {first:d} to {end:d} since "
    "second {second:d} went to {zone}"
)
def step_share_some(context, percent, first, end, second, zone):
    shards = {SHARDS[number] for number in range(first, end + 1)}
    selected = [
        leaf
        for at_ms, leaf, _ in context.serving.leafs.arrivals
        if at_ms >= second * 1000.0 and leaf.partition("-")[0] in shards
    ]
    sent_to_zone = sum(leaf.endswith(zone) for leaf in selected)
    assert selected
    assert sent_to_zone <= len(selected) * percent / 100, (sent_to_zone, len(selected))


@when("the route's legs have had typical latencies for {count:d} queries")
def step_typical_queries(context, count):
    step_queries(context, count, 100.0)


@then("the slowness of the leaf of shard {number:d} in {zone} is reported")
def step_slowness_reported(context, number, zone):
    leaf_id = f"{SHARDS[number]}-{zone}"
    assert context.serving.directory.find(leaf_id).take_unreported_slowness() > 0.0
