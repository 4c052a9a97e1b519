"""Steps on the serving path over scripted leafs."""

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

from snipemount.decisions.answer_timing import late_quantile
from snipemount.decisions.extra_sends import ExtraSendBound, ExtraSends
from snipemount.decisions.leaf_choice import LeafChoice
from snipemount.decisions.leaf_state import LeafState
from snipemount.model.configuration import ToAllShards
from snipemount.model.forwarding import Failed, Merged, Passed, Refused, UnknownRoute
from snipemount.serving.service_call import HEDGE_BUDGET_SHARE

AT_ONCE_MS = 1.0


def last(context):
    """Return the request asked last."""
    return context.serving.samples[-1]


def arrivals_of(context, request_id):
    """Return the leafs that a request reached."""
    return [
        leaf for _, leaf, rid in context.serving.leafs.arrivals if rid == request_id
    ]


def for_all(context, **fields):
    """Change the script of every leaf."""
    for state in context.serving.directory.all_states():
        script = context.serving.leafs.scripts[state.leaf.leaf_id]
        for name, value in fields.items():
            setattr(script, name, value)


@given("a serving path with two leafs a shard")
def step_serving(context):
    context.serving = ServingWorld()
    context.serving.start()
    context.serving.run_for(10_000.0)


@when("the leafs of shard number n take {least_ms:g} + n ms")
def step_graded(context, least_ms):
    for number, shard in enumerate(SHARDS):
        for zone in ("zone-a", "zone-b"):
            script = context.serving.leafs.scripts[f"{shard}-{zone}"]
            script.work_ms = least_ms + number


@then(
    "a usual leg of a query takes {usual_from:g} to {usual_to:g} ms "
    "and a late one {late_from:g} to {late_to:g} ms"
)
def step_usual(context, usual_from, usual_to, late_from, late_to):
    route = next(r for r in ROUTES if r.name == "find")
    timing = context.serving.around.timing(route)
    assert usual_from <= timing.usual_ms <= usual_to, timing.usual_ms
    late_ms = timing.second_send_ms(route)
    assert late_from <= late_ms <= late_to, late_ms


@given("a serving path that knows nothing yet")
def step_serving_empty(context):
    context.serving = ServingWorld()


@when("a query is asked")
def step_query(context):
    context.serving.ask("find")


@when("a query is asked with {deadline_ms:g} ms to go")
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


@when("both zones' first choice of shard {number:d} pauses for {span_ms:g} ms")
def step_pause(context, number, span_ms):
    world = context.serving
    leaf_id = f"{SHARDS[number]}-zone-a"
    world.leafs.scripts[leaf_id].paused_until_ms = world.timers.now_ms() + span_ms


@when("all leafs of shard {number:d} fall silent")
def step_shard_silent(context, number):
    for zone in ("zone-a", "zone-b"):
        context.serving.leafs.scripts[f"{SHARDS[number]}-{zone}"].dark = True


@when("all leafs fall silent")
def step_all_silent(context):
    for_all(context, dark=True)


@when("all leafs answer with failures")
def step_all_fail(context):
    for_all(context, status=500)


@when("the leafs of {zone} answer with failures")
def step_zone_fails(context, zone):
    for state in context.serving.directory.all_states():
        if state.leaf.zone == zone:
            context.serving.leafs.scripts[state.leaf.leaf_id].status = 500


@when("all leafs refuse")
def step_all_refuse(context):
    for_all(context, refuses=True)


@when("no leaf can be reached")
def step_unreachable(context):
    for_all(context, unreachable=True)


@when("all leafs take {work_ms:g} ms")
def step_slow(context, work_ms):
    for_all(context, work_ms=work_ms)


@when("the ledger's leafs lose their connections")
def step_ledger_loses(context):
    for number in range(4):
        context.serving.leafs.scripts[f"ledger-{number}"].loses = True


@when("{count:d} of the ledger's leafs refuse")
def step_some_refuse(context, count):
    for number in range(count):
        context.serving.leafs.scripts[f"ledger-{number}"].refuses = True


@when("the leaf that is asked next falls silent")
def step_next_silent(context):
    world = context.serving
    states = world.directory.service_states("ledger")
    now_ms = world.timers.now_ms()
    picked = world.around.choice.pick(states, (), 100.0, now_ms)
    for state in states:
        script = world.leafs.scripts[state.leaf.leaf_id]
        script.dark = state is picked
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
def step_answer_least(context, shards):
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


@then("it is refused at once with a time to come back")
def step_refused_at_once(context):
    assert isinstance(last(context).outcome, Refused), last(context)
    assert last(context).outcome.retry_after_ms > 0
    assert last(context).elapsed_ms < AT_ONCE_MS


@then("it is refused with a time to come back")
def step_refused(context):
    assert isinstance(last(context).outcome, Refused), last(context)
    assert last(context).outcome.retry_after_ms > 0


@then("it has failed, and nothing is said about not having run")
def step_failed(context):
    assert isinstance(last(context).outcome, Failed), last(context)


@then("it is denied")
def step_denied(context):
    assert isinstance(last(context).outcome, UnknownRoute), last(context)


@then("no leaf got the query")
def step_none_got(context):
    assert not arrivals_of(context, last(context).request_id)


@then("no leaf ran the query")
def step_none_ran(context):
    assert not context.serving.leafs.runs[last(context).request_id]


@then("no leaf is at work")
def step_no_work(context):
    working = +context.serving.leafs.working
    assert not working, working


@then("{span_ms:g} ms later no leaf has got more of it")
def step_no_more(context, span_ms):
    before = len(context.serving.leafs.arrivals)
    context.serving.run_for(span_ms)
    assert len(context.serving.leafs.arrivals) == before


@then("the leaf's answer {status:d} is passed on")
def step_passed(context, status):
    outcome = last(context).outcome
    assert isinstance(outcome, Passed), last(context)
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


def in_zone(context, zone):
    """Return the scripts of a zone's leafs."""
    scripts = context.serving.leafs.scripts
    states = context.serving.directory.all_states()
    return [scripts[s.leaf.leaf_id] for s in states if s.leaf.zone == zone]


@when("the leafs of {zone} fall silent")
def step_zone_silent(context, zone):
    for script in in_zone(context, zone):
        script.dark = True


@when("{count:d} leafs of {zone} fall silent")
def step_some_silent(context, count, zone):
    for script in in_zone(context, zone)[:count]:
        script.dark = True


@when("the leafs of {zone} are heard again")
def step_zone_heard(context, zone):
    for script in in_zone(context, zone):
        script.dark = False


@then("the daemon is isolated")
def step_isolated(context):
    assert context.serving.gateway.is_isolated


@then("the daemon is not isolated")
def step_not_isolated(context):
    assert not context.serving.gateway.is_isolated


@then("a log line tells that {zone} is cut off")
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
    for script in in_zone(context, zone):
        script.unreachable = True


@when("each leaf pauses for {span_ms:g} ms each {period_ms:g} ms")
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
    """Return how many queries since a second were complete, and how many there were."""
    late = [s for s in context.serving.samples if s.started_ms >= second * 1000.0]
    assert late
    outcomes = [s.outcome for s in late]
    full = [o for o in outcomes if isinstance(o, Merged) and o.missing == 0]
    return len(full), len(late)


@then("at least {percent:d} of 100 queries since second {second:d} are complete")
def step_share_complete(context, percent, second):
    full, asked = complete_since(context, second)
    assert full >= asked * percent / 100, (full, asked)


@then("all queries since second {second:d} are complete")
def step_all_complete(context, second):
    full, asked = complete_since(context, second)
    assert full == asked, (full, asked)


@then("at most {percent:d} in 100 legs were second sends")
def step_share_second(context, percent):
    legs = len(context.serving.samples) * len(SHARDS)
    extra = len(context.serving.leafs.arrivals) - legs
    assert extra <= legs * percent / 100, (extra, legs)


@then('the figures name 1 complete request on "find", failed sends and second sends')
def step_figures(context):
    text = context.serving.measures.text().decode()
    assert 'snipemount_requests_total{result="complete",route="find"} 1.0' in text
    assert 'snipemount_legs_total{result="500",zone="zone-a"} 20.0' in text
    assert 'snipemount_legs_total{result="200",zone="zone-b"} 20.0' in text
    assert 'snipemount_second_sends_total{cause="failed",granted="yes"} 20.0' in text


@when("timers fire {late_ms:g} ms late for {count:d} queries")
def step_late(context, late_ms, count):
    for _ in range(count):
        context.serving.around.lag.add(late_ms)


@when("the leafs of {zone} take {work_ms:g} ms")
def step_zone_slow(context, zone, work_ms):
    for script in in_zone(context, zone):
        script.work_ms = work_ms


@then("at most {percent:d} of 100 legs since second {second:d} went to {zone}")
def step_share_zone(context, percent, second, zone):
    late = [
        leaf
        for at_ms, leaf, _ in context.serving.leafs.arrivals
        if at_ms >= second * 1000.0
    ]
    there = sum(leaf.endswith(zone) for leaf in late)
    assert late
    assert there <= len(late) * percent / 100, (there, len(late))


@then("a leaf with a request of {old_ms:g} ms is passed over for one with 3 fresh ones")
def step_stuck(context, old_ms):
    stuck = LeafState(make_leaf("stuck", "shard0"), 0.0)
    busy = LeafState(make_leaf("busy", "shard0"), 0.0)
    stuck.sent(1000.0 - old_ms)
    for _ in range(3):
        busy.sent(999.0)
    choice = LeafChoice("zone-a", Random(1))
    assert choice.pick([stuck, busy], (), 20.0, 1000.0) is busy


@then("when lateness has used up its part, failures are still granted some")
def step_hedge_share(context):
    bound = ExtraSendBound(0.2, 56.0, 10_000.0)
    budget = ExtraSends(bound, bound.safe_slack, -10_000.0)
    for number in range(400):
        budget.request(number * 20.0)
    now_ms = 8000.0
    late = 0
    while budget.take(now_ms, HEDGE_BUDGET_SHARE):
        late += 1
    failed = 0
    while budget.take(now_ms):
        failed += 1
    assert late > failed > 0, (late, failed)


@then(
    "the share of legs without a second leaf is {few:g} at 20 shards and {many:g} at 90"
)
def step_quantiles(context, few, many):
    shares = [
        late_quantile(
            make_route("q", ToAllShards(tuple(map(str, range(count))), 5, 0.75))
        )
        for count in (20, 90)
    ]
    assert [round(share, 6) for share in shares] == [few, many], shares


@then("at most {most:d} lines were written in the first second")
def step_lines(context, most):
    context.ended = [x for x in context.serving.lines if x["event"] == "request_ended"]
    assert 0 < len(context.ended) - 1 <= most, len(context.ended)


@then("the lines and the counts of dropped ones make up {total:d}")
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
    "at most {percent:d} of 100 legs of shards {first:d} to {end:d} "
    "since second {second:d} went to {zone}"
)
def step_share_some(context, percent, first, end, second, zone):
    shards = {SHARDS[number] for number in range(first, end + 1)}
    late = [
        leaf
        for at_ms, leaf, _ in context.serving.leafs.arrivals
        if at_ms >= second * 1000.0 and leaf.partition("-")[0] in shards
    ]
    there = sum(leaf.endswith(zone) for leaf in late)
    assert late
    assert there <= len(late) * percent / 100, (there, len(late))


@when("the route's legs have been usual for {count:d} queries")
def step_usual_queries(context, count):
    step_queries(context, count, 100.0)


@then("the slowness of the leaf of shard {number:d} in {zone} is told")
def step_told(context, number, zone):
    leaf_id = f"{SHARDS[number]}-{zone}"
    assert context.serving.directory.known(leaf_id).take_slowness() > 0.0
