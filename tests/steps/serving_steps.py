"""Steps for the serving path with scripted leafs."""

from __future__ import annotations

from itertools import count as count_up

from behave import given, then, when
from serving_world import (
    ROUTES,
    SHARDS,
    ServingWorld,
    make_configuration,
    make_leaf,
    record,
)

from snipemount.model.forwarding import (
    Forwarded,
    Merged,
    RequestFailed,
    RequestRefused,
    UnknownRoute,
)

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


def drop_ledger_packets(context, dropped):
    """Set whether packets to the ledger's leafs are dropped."""
    for number in range(4):
        context.serving.leafs.scripts[f"ledger-{number}"].drops_packets = dropped


@when("packets to the ledger's leafs are dropped")
def step_ledger_dark(context):
    drop_ledger_packets(context, True)


@when("packets to the ledger's leafs are not dropped any more")
def step_ledger_back(context):
    drop_ledger_packets(context, False)


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


@when("the choice of a leaf raises from the {nth:d}th time on")
def step_choice_raises(context, nth):
    choice = context.serving.serving_context.choice
    pick = choice.pick
    picks = count_up(1)

    def raising(*args):
        if next(picks) >= nth:
            raise OverflowError("int too large to convert to float")
        return pick(*args)

    choice.pick = raising


@then("one log line names the request that raised")
def step_raised_line(context):
    lines = [x for x in context.serving.lines if x["event"] == "request_raised"]
    (line,) = lines
    assert line["request"] == context.serving.samples[-1].request_id, lines


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
