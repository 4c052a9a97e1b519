"""Steps for the serving path with scripted leafs."""

from __future__ import annotations

from random import Random

from behave import given, then, when
from serving_world import (
    ROUTES,
    SHARDS,
    ServingWorld,
    make_configuration,
    make_leaf,
    make_route,
    record,
)

from snipemount.decisions.answer_timing import hedge_delay_quantile
from snipemount.decisions.extra_attempts import ExtraAttemptBudget, ExtraAttemptLimit
from snipemount.decisions.leaf_choice import LeafChoice
from snipemount.decisions.leaf_state import LeafState
from snipemount.model.configuration import ToAllShards
from snipemount.model.forwarding import (
    Forwarded,
    Merged,
    RequestFailed,
    RequestRefused,
    UnknownRoute,
)
from snipemount.serving.service_call import HEDGE_BUDGET_SHARE

AT_ONCE_MS = 1.0


def last(context):
    """Return the latest request."""
    return context.serving.samples[-1]


def arrivals_of(context, request_id):
    """Return the ids of the leafs that a request reached, in order."""
    return [
        leaf for _, leaf, rid in context.serving.leafs.arrivals if rid == request_id
    ]


def set_all_scripts(context, **fields):
    """Set fields of every leaf's script."""
    for state in context.serving.directory.all_states():
        script = context.serving.leafs.scripts[state.leaf.leaf_id]
        for name, value in fields.items():
            setattr(script, name, value)


@given("a serving path with two leafs a shard")
def step_serving(context):
    context.serving = ServingWorld()
    context.serving.start()
    context.serving.run_for(10_000.0)


@when("the leafs of shard n take {base_ms:g} + n ms")
def step_graded(context, base_ms):
    for number, shard in enumerate(SHARDS):
        for zone in ("zone-a", "zone-b"):
            script = context.serving.leafs.scripts[f"{shard}-{zone}"]
            script.work_ms = base_ms + number


@then(
    "the typical latency of a leg is {typical_from:g} to {typical_to:g} ms and "
    "a leg is hedged after {hedge_from:g} to {hedge_to:g} ms"
)
def step_typical_latency(context, typical_from, typical_to, hedge_from, hedge_to):
    route = next(r for r in ROUTES if r.name == "find")
    timing = context.serving.serving_context.timing(route)
    assert typical_from <= timing.typical_ms <= typical_to, timing.typical_ms
    hedge_after_ms = timing.hedge_delay_ms(route)
    assert hedge_from <= hedge_after_ms <= hedge_to, hedge_after_ms


@given("a serving path without a configuration")
def step_unconfigured(context):
    context.serving = ServingWorld()


@when("a query is asked")
def step_query(context):
    context.serving.ask("find")


@when("a query is asked with a deadline of {deadline_ms:g} ms")
def step_query_deadline(context, deadline_ms):
    context.serving.ask("find", deadline_ms)


@when('a "{route}" request is asked')
def step_single(context, route):
    context.serving.ask(route, 6000.0)


@when('{count:d} "{route}" requests are asked, {gap_ms:g} ms apart')
def step_singles(context, count, route, gap_ms):
    for _ in range(count):
        context.serving.ask(route, 6000.0)
        context.serving.run_for(gap_ms)


@when("{count:d} queries are asked, {gap_ms:g} ms apart")
def step_queries(context, count, gap_ms):
    for _ in range(count):
        context.serving.ask("find")
        context.serving.run_for(gap_ms)


@when("{span_ms:g} ms pass")
def step_ms_pass(context, span_ms):
    context.serving.run_for(span_ms)


@when("the preferred leaf of shard {number:d} pauses for {span_ms:g} ms")
def step_pause(context, number, span_ms):
    world = context.serving
    leaf_id = f"{SHARDS[number]}-zone-a"
    world.leafs.scripts[leaf_id].paused_until_ms = world.timers.now_ms() + span_ms


@when("all leafs of shard {number:d} stop responding")
def step_shard_unresponsive(context, number):
    for zone in ("zone-a", "zone-b"):
        context.serving.leafs.scripts[f"{SHARDS[number]}-{zone}"].unresponsive = True


@when("all leafs stop responding")
def step_all_unresponsive(context):
    set_all_scripts(context, unresponsive=True)


@when("all leafs answer with server errors")
def step_all_fail(context):
    set_all_scripts(context, status=500)


@when("the leafs of {zone} answer with server errors")
def step_zone_fails(context, zone):
    for state in context.serving.directory.all_states():
        if state.leaf.zone == zone:
            context.serving.leafs.scripts[state.leaf.leaf_id].status = 500


@when("all leafs refuse requests")
def step_all_refuse(context):
    set_all_scripts(context, refuses=True)


@when("no leaf can be reached")
def step_unreachable(context):
    set_all_scripts(context, unreachable=True)


@when("all leafs take {work_ms:g} ms")
def step_slow(context, work_ms):
    set_all_scripts(context, work_ms=work_ms)


@when("the ledger's leafs lose their connections")
def step_ledger_loses(context):
    for number in range(4):
        context.serving.leafs.scripts[f"ledger-{number}"].closes_connection = True


@when("{count:d} of the ledger's leafs refuse requests")
def step_some_refuse(context, count):
    for number in range(count):
        context.serving.leafs.scripts[f"ledger-{number}"].refuses = True


@when("the leaf that is asked next stops responding")
def step_next_unresponsive(context):
    world = context.serving
    states = world.directory.service_states("ledger")
    now_ms = world.timers.now_ms()
    picked = world.serving_context.choice.pick(states, (), 100.0, now_ms)
    for state in states:
        script = world.leafs.scripts[state.leaf.leaf_id]
        script.unresponsive = state is picked
        script.work_ms = 10.0
        if state is not picked:
            state.paused_until_ms = now_ms + 1.0


@when("the leafs of shards {first:d} to {end:d} are gone")
def step_gone(context, first, end):
    world = context.serving
    for number in range(first, end + 1):
        for zone in ("zone-a", "zone-b"):
            world.directory.remove(f"{SHARDS[number]}-{zone}", world.timers.now_ms())


@when("a third leaf of shard {number:d} starts")
def step_third(context, number):
    leaf = make_leaf(f"{SHARDS[number]}-third", SHARDS[number])
    context.serving.directory.put(leaf, context.serving.timers.now_ms())


@when("the caller leaves")
def step_caller_leaves(context):
    last(context).run.cancel()


@when('a configuration of version {version:d} without the route "{name}" is read')
def step_config_without(context, version, name):
    routes = [route for route in ROUTES if route.name != name]
    context.serving.gateway.put_in_force(make_configuration(version, routes))


@when("a configuration of version {version:d} with all routes is read")
def step_config_all(context, version):
    context.serving.gateway.put_in_force(make_configuration(version))


@then("the answer has {shards:d} shards and misses {missing:d}")
def step_answer(context, shards, missing):
    outcome = last(context).outcome
    assert isinstance(outcome, Merged), outcome
    assert len(outcome.receipts) == len(set(outcome.receipts)) == shards
    assert outcome.missing == missing


@then("the answer has at least {shards:d} shards")
def step_answer_at_least(context, shards):
    outcome = last(context).outcome
    assert isinstance(outcome, Merged), outcome
    assert len(outcome.receipts) >= shards
    assert len(outcome.receipts) + outcome.missing == len(SHARDS)


@then("the answer holds the {count:d} greatest records, greatest first")
def step_records(context, count):
    wanted = b"".join(record(number) for number in range(69, 69 - count, -1))
    assert last(context).outcome.body == wanted


@then("it took less than {limit_ms:g} ms")
def step_took(context, limit_ms):
    assert last(context).elapsed_ms < limit_ms, last(context)


@then("a log line names the request and the missing shard")
def step_log_line(context):
    lines = [
        line
        for line in context.serving.lines
        if line["event"] == "request_ended"
        and line["request"] == last(context).request_id
    ]
    assert len(lines) == 1, context.serving.lines
    assert SHARDS[3] in lines[0]["unanswered"]


@then("it is refused at once with a retry delay")
def step_refused_at_once(context):
    assert isinstance(last(context).outcome, RequestRefused), last(context)
    assert last(context).outcome.retry_after_ms > 0
    assert last(context).elapsed_ms < AT_ONCE_MS


@then("it is refused with a retry delay")
def step_refused(context):
    assert isinstance(last(context).outcome, RequestRefused), last(context)
    assert last(context).outcome.retry_after_ms > 0


@then("it has failed, and is not reported as not run")
def step_failed(context):
    assert isinstance(last(context).outcome, RequestFailed), last(context)


@then("its route is unknown")
def step_unknown_route(context):
    assert isinstance(last(context).outcome, UnknownRoute), last(context)


@then("no leaf got the query")
def step_none_got(context):
    assert not arrivals_of(context, last(context).request_id)


@then("no leaf ran the query")
def step_none_ran(context):
    assert not context.serving.leafs.runs[last(context).request_id]


@then("no leaf is working on a request")
def step_no_work(context):
    in_progress = +context.serving.leafs.in_progress
    assert not in_progress, in_progress


@then("{span_ms:g} ms later no leaf has received another request")
def step_no_more(context, span_ms):
    before = len(context.serving.leafs.arrivals)
    context.serving.run_for(span_ms)
    assert len(context.serving.leafs.arrivals) == before


@then("the leaf's answer {status:d} is passed on")
def step_passed(context, status):
    outcome = last(context).outcome
    assert isinstance(outcome, Forwarded), last(context)
    assert outcome.answer.status == status


@then("it was sent {count:d} times")
def step_sent(context, count):
    assert len(arrivals_of(context, last(context).request_id)) == count


@then("it ran {count:d} times")
def step_ran(context, count):
    assert context.serving.leafs.runs[last(context).request_id] == count


@then("shard {number:d} got the query at most {count:d} times")
def step_shard_got(context, number, count):
    leafs = arrivals_of(context, last(context).request_id)
    got = [leaf for leaf in leafs if leaf.startswith(f"{SHARDS[number]}-")]
    assert 1 <= len(got) <= count, got


@then("the ledger got {ledger:d} of them and the archive {archive:d}")
def step_weights(context, ledger, archive):
    leafs = [leaf for _, leaf, _ in context.serving.leafs.arrivals]
    got = sum(leaf.startswith("archive") for leaf in leafs)
    assert (len(leafs) - got, got) == (ledger, archive)


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
