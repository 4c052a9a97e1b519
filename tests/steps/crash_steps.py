"""Steps on requests that crash leafs, in virtual time."""

from __future__ import annotations

from behave import given, then, when
from crash_world import POISON, SHARDS, CrashWorld, is_refused

from snipemount.model.forwarding import Forwarded, Merged

MAX_REFUSAL_MS = 1.0


@given("a service of seven leafs, which a poisonous request crashes")
def step_world(context):
    context.crash = CrashWorld()
    context.crash.start()


@given("only {service} is crashed by it")
def step_only(context, service):
    context.crash.leafs.poisoned_services = frozenset([service])


@given("it crashes a leaf {after_ms:g} ms after it has begun")
def step_crashes_after(context, after_ms):
    context.crash.leafs.crash_after_ms = after_ms


@given("others post {kind} requests on route {route}, each {period_ms:g} ms")
def step_others(context, kind, route, period_ms):
    def body_of(number: int) -> bytes:
        return b"popular" if kind == "equal" else b"n%d" % number

    context.crash.keep_posting(route, body_of, period_ms)


@when("the poison is posted {times:d} times on route {route}, {period_s:g} s apart")
def step_post(context, times, route, period_s):
    context.crash.post_poison(route, times, period_s)


@when("{span_s:g} s passes there")
@when("{span_s:g} s pass there")
def step_pass(context, span_s):
    context.crash.run_for(span_s * 1000.0)


@when("the first leaf of each of {count:d} shards crashes")
def step_crash_shards(context, count):
    world = context.crash
    for shard in SHARDS[:count]:
        states = world.directory.service_states(shard)
        scripts = world.leafs.scripts
        alive = [s for s in states if not scripts[s.leaf.leaf_id].refuses_connections]
        if alive:
            world.leafs.crash(alive[0].leaf)


@when("{count:d} leafs that run the popular request crash at once")
def step_crash_popular(context, count):
    world = context.crash
    states = world.directory.service_states("ledger")
    running = [state for state in states if state.in_flight]
    assert len(running) >= count
    for state in running[:count]:
        world.leafs.crash(state.leaf)


@when(
    "a query is posted, and the first leaf of each of {count:d} shards crashes"
    " {delay_ms:g} ms later"
)
def step_first_query(context, count, delay_ms):
    world = context.crash
    world.post("find", b"first")
    world.run_for(delay_ms)
    step_crash_shards(context, count)


@when("a query is posted")
def step_query(context):
    context.crash.post("find", b"first")
    context.crash.run_for(1000.0)


@then("the last query was answered by all shards")
def step_last_query(context):
    outcome = context.crash.samples[-1].outcome
    assert isinstance(outcome, Merged) and outcome.missing == 0, outcome


@when("{what} ends the connections of a request {times:d} times")
def step_end_connections(context, what, times):
    world = context.crash
    for number in range(times):
        world.post("log", b"innocent")
        world.run_for(5.0)
        state = next(s for s in world.directory.all_states() if s.in_flight)
        if what == "a planned end":
            state.statements.leaving = True
            world.leafs.scripts[state.leaf.leaf_id].refuses_connections = True
        world.leafs.reset(state.leaf)
        world.run_for(1000.0)
        if what == "a planned end":
            state.statements.leaving = False
            world.leafs.scripts[state.leaf.leaf_id].refuses_connections = False
        assert not is_refused(world.samples[number], "quarantined")


@then("a further request like it is sent to a leaf")
def step_sent(context):
    world = context.crash
    sample = world.post("log", b"innocent")
    world.run_for(500.0)
    assert isinstance(sample.outcome, Forwarded), sample


@when("the leafs of the ledger are replaced by version {version:w}")
def step_replace(context, version):
    replace_ledger(context.crash, version)


@when(
    "the leafs of the ledger are replaced by version {version:w}, which is not crashed"
    " by it"
)
def step_replace_harmless(context, version):
    context.crash.leafs.harmless_versions = frozenset([version])
    replace_ledger(context.crash, version)


def replace_ledger(world, version):
    """Replace all leafs of the ledger by such of another version."""
    world.run_for(5000.0)
    world.version = version
    for state in world.directory.service_states("ledger"):
        world._restart(state.leaf)
    world.run_for(4000.0)


@then("at most {most:d} leafs have crashed")
def step_most_crashed(context, most):
    assert len(context.crash.leafs.crashed) <= most, context.crash.leafs.crashed


@then("{count:d} leafs have crashed")
def step_crashed(context, count):
    assert len(context.crash.leafs.crashed) == count, context.crash.leafs.crashed


@then(
    "at most {most:d} requests with the poison reached leafs later than {contact_s:g} s"
    " after the third crash"
)
def step_late(context, most, contact_s):
    late = context.crash.late_retries(contact_s * 1000.0)
    assert len(late) <= most, late


@then("each later request with the poison was refused at once as quarantined")
def step_refused(context):
    world = context.crash
    reached = {request for _, _, request in world.leafs.poison_arrivals}
    refused = [s for s in world.posted(True) if s.request_id not in reached]
    assert len(refused) >= 4, refused
    for sample in refused:
        assert is_refused(sample, "quarantined"), sample
        assert sample.elapsed_ms <= MAX_REFUSAL_MS, sample
        assert sample.outcome.retry_after_ms > 1000.0, sample


@then("the poison reached leafs once, and once more {after_s:g} s later")
def step_reached_twice(context, after_s):
    times_ms = {}
    for at_ms, _, request in context.crash.leafs.poison_arrivals:
        times_ms.setdefault(request, at_ms)
    first_ms, second_ms = times_ms.values()
    assert second_ms - first_ms >= after_s * 1000.0, times_ms


@then("the log names the leafs that it has crashed")
def step_log(context):
    lines = context.crash.lines
    refusals = [line for line in lines if line.get("result") == "refused:quarantined"]
    fingerprints = {line["fingerprint"] for line in refusals}
    held = [line for line in lines if line["event"] == "request_quarantined"]
    assert len(fingerprints) == 1 and held, lines
    named = {leaf for line in held for leaf in line["leafs"].split(",")}
    assert {line["fingerprint"] for line in held} == fingerprints, held
    assert named == {leaf for _, leaf in context.crash.leafs.crashed}, held


@then("each request with the poison was answered with at least {least:d} shards")
def step_answered(context, least):
    for sample in context.crash.posted(True):
        assert isinstance(sample.outcome, Merged), sample
        assert len(sample.outcome.receipts) >= least, sample


@then("no other request was refused")
def step_none_refused(context):
    refused = [s for s in context.crash.posted(False) if is_refused(s, "quarantined")]
    assert not refused, refused[:5]


@then("at most {most:d} other requests got no answer")
def step_lost(context, most):
    ended = [s for s in context.crash.posted(False) if s.outcome is not None]
    lost = [s for s in ended if not isinstance(s.outcome, Forwarded)]
    assert len(ended) > 90 and len(lost) <= most, (len(ended), lost)


@then("each other query was answered by all shards that have a leaf")
def step_all_shards(context):
    ended = [s for s in context.crash.posted(False) if s.outcome is not None]
    assert ended
    for sample in ended:
        assert isinstance(sample.outcome, Merged), sample
        assert sample.outcome.missing == 0, sample


@then("the last {count:d} requests with the poison were answered")
def step_last_answered(context, count):
    for sample in context.crash.posted(True)[-count:]:
        assert isinstance(sample.outcome, Forwarded), (sample, POISON)
