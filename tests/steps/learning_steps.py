"""Steps for what a daemon learns of one leaf, and shares with others."""

from __future__ import annotations

import math
from random import Random
from types import SimpleNamespace

import cbor2
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st
from serving_world import make_leaf

from snipemount.adapters.relay_codec import decode_relay, encode_relay
from snipemount.capacity.leaf_capacity import LeafCapacity
from snipemount.decisions.leafs.leaf_choice import OTHER_ZONE_COST, LeafChoice
from snipemount.decisions.leafs.leaf_directory import LeafDirectory
from snipemount.decisions.leafs.leaf_state import LeafState
from snipemount.errors import DecodeError
from snipemount.finite import finite_number
from snipemount.model.forwarding import LoadReport
from snipemount.model.relay import LeafEstimate, RelayEvidence, SlowLeaf
from snipemount.serving.capacity_watch import CapacityWatch
from snipemount.serving.leaf_evidence import LeafEvidence

TYPICAL_MS = 20.0
RATIOS = st.floats(1e-6, 1e6)
LOADS = st.builds(
    LoadReport,
    st.integers(0, 100_000),
    st.integers(0, 100_000),
    st.integers(0, 100_000),
    st.none() | st.floats(0.01, 1000.0),
)


def answer(state, now_ms, ratio=1.0, running=1, work=1.0):
    """Let an attempt at a leaf end with an answer at this time."""
    number = state.sent(now_ms - ratio * TYPICAL_MS)
    state.load_reported(LoadReport(running, 0, state.leaf.slots, work), now_ms)
    state.answered(number, TYPICAL_MS, now_ms)


def make_state(name="leaf-0", zone="zone-a", slots=2, **answered):
    state = LeafState(make_leaf(name, "service", zone, slots=slots), 0.0)
    if answered:
        answer(state, **answered)
    return state


@given("a leaf that has stated its work and answered 8 times too late")
def step_slow_leaf(context):
    context.directory = LeafDirectory()
    context.directory.put(make_leaf("leaf-0", "service"), 0.0)
    for number in range(8):
        answer(context.directory.find("leaf-0"), 1000.0 + 200.0 * number, ratio=8.0)
    assert context.directory.find("leaf-0").capacity.service_ratio(2400.0) > 2.0


@when("its entry has a later start")
def step_restart(context):
    leaf = make_leaf("leaf-0", "service", started_wall_ms=2.0)
    context.directory.put(leaf, 2500.0)


@then("nothing is learnt of it, and it counts as fast")
def step_forgotten(context):
    state = context.directory.find("leaf-0")
    assert state.capacity is None and state.slowness(2500.0) == 1.0


@then("after one report without a work figure still nothing is learnt of it")
def step_no_figure(context):
    state = context.directory.find("leaf-0")
    answer(state, 2600.0, work=None)
    assert state.capacity is None


@then("{seconds:d} s later it counts as less than {ratio:g} times as slow as usual")
def step_slowness_forgotten(context, seconds, ratio):
    capacity = context.directory.find("leaf-0").capacity
    assert capacity.service_ratio(2400.0 + 1000.0 * seconds) < ratio


@given("a leaf that answers each 400 ms")
def step_answers(context):
    context.state, context.now_ms = make_state(now_ms=0.0), 0.0


def count_shared(context, seconds, ratio):
    shared = 0
    for _ in range(int(seconds * 2.5)):
        context.now_ms += 400.0
        answer(context.state, context.now_ms, ratio)
        shared += context.state.capacity.take_changed(context.now_ms) is not None
    return shared


@then(
    "while it is {ratio:g} times slower for {seconds:d} s, its estimate is shared "
    "{least:d} to {most:d} times"
)
def step_shared_again(context, ratio, seconds, least, most):
    shared = count_shared(context, seconds, ratio)
    assert least <= shared <= most, shared


@then(
    "while it is as fast as usual for {seconds:d} s, its estimate is shared "
    "at most {most:d} times"
)
def step_not_shared(context, seconds, most):
    shared = count_shared(context, seconds, 1.0)
    assert shared <= most, shared


@then("after any reports, answers and shared estimates the limit is 1 to its slots")
def step_any_events(context):
    steps = st.tuples(
        st.floats(0.0, 20_000.0), st.sampled_from("asc"), RATIOS, RATIOS, LOADS
    )

    @for_any(st.integers(0, 8), st.lists(steps, max_size=30))
    def check(slots, steps):
        capacity = LeafCapacity(slots, 0.0)
        now_ms = 0.0
        for gap_ms, kind, ratio, limit, load in steps:
            now_ms += gap_ms
            capacity.sent()
            if kind == "a":
                capacity.load_reported(load, now_ms)
                capacity.answered(ratio, now_ms - ratio, now_ms)
            elif kind == "s":
                capacity.estimate_reported(ratio, limit, now_ms)
            else:
                capacity.cancelled(ratio, now_ms - ratio, now_ms)
            assert 1.0 <= capacity.limit(now_ms) <= max(1, slots)
            finish = capacity.finish_ratio(3, now_ms)
            assert 0.0 < finish < 1e5, finish

    check()


@then("the expected finish time is positive and bounded")
def step_bounded(context):
    """Say what the step before has checked after each event."""


def compare_shared(own_age_ms, age_ms):
    """Return the largest factor by which any shared estimate changes another."""
    largest = [1.0]

    @for_any(RATIOS, RATIOS)
    def check(ratio, limit):
        for value in ("service_ratio", "limit"):
            capacity = make_state(now_ms=1000.0, ratio=1.4).capacity
            before = getattr(capacity, value)(1000.0 + own_age_ms + age_ms)
            capacity.estimate_reported(ratio, limit, 1000.0 + own_age_ms)
            after = getattr(capacity, value)(1000.0 + own_age_ms + age_ms)
            largest.append(max(after / before, before / after))

    check()
    return max(largest)


@then("any shared estimate changes another daemon's by at most a factor of 2")
def step_at_most_double(context):
    assert 1.9 < compare_shared(600.0, 0.0) <= 2.0 + 1e-9


@then("2000 ms later by nothing")
def step_decayed(context):
    assert compare_shared(600.0, 2000.0) == 1.0


@then("within 500 ms of an own answer by nothing")
def step_own_first(context):
    assert compare_shared(400.0, 99.0) == 1.0


def earlier_cost(state, tie_break, now_ms):
    """Return the cost of a leaf as the choice without capacity computes it."""
    cost = state.slowness(now_ms) * (1.0 + state.load(now_ms) / state.leaf.slots)
    if state.is_cold(now_ms):
        cost *= 1.6
    stall = state.oldest_ms(now_ms) / TYPICAL_MS
    cost += stall if stall > 2.5 else 0.0
    cost += 8.0 * state.failure_rate(now_ms)
    cost += 4.0 * state.refusal_rate(now_ms)
    cost += 4.0 * min(state.consecutive_losses, 3)
    cost += 100.0 if state.is_paused(now_ms) else 0.0
    return cost + (OTHER_ZONE_COST * (state.leaf.zone != "zone-a") + tie_break)


@then("any choice among leafs without capacity is the lowest of the earlier costs")
def step_as_before(context):
    steps = st.tuples(
        st.integers(0, 2), st.sampled_from("salfr"), st.floats(0.0, 300.0)
    )

    @for_any(st.lists(steps, max_size=40), st.integers())
    def check(steps, seed):
        states = [make_state(f"leaf-{n}", f"zone-{'abc'[n]}") for n in range(3)]
        now_ms = 0.0
        for index, kind, gap_ms in steps:
            now_ms += gap_ms
            state = states[index]
            number = state.sent(now_ms - gap_ms)
            match kind:
                case "a":
                    state.load_reported(LoadReport(2, index, 2), now_ms)
                    state.answered(number, TYPICAL_MS, now_ms)
                case "l":
                    state.lost(number, False, now_ms)
                case "f":
                    state.failed(number, now_ms)
                case "r":
                    state.refused(number, now_ms)
        choice = LeafChoice("zone-a", Random(seed))
        picked = choice.pick(states, (), TYPICAL_MS, now_ms)
        random = Random(seed)
        costs = [earlier_cost(s, random.random() * 0.05, now_ms) for s in states]
        assert picked is states[costs.index(min(costs))], costs

    check()


@given("a leaf of the own zone with a learnt capacity and two others without")
def step_mix(context):
    context.states = [
        make_state(now_ms=900.0),
        make_state("leaf-1", "zone-b"),
        make_state("leaf-2", "zone-c"),
    ]


@then("of {picks:d} picks {least:d} to {most:d} go to each of the others")
def step_mixed_picks(context, picks, least, most):
    choice = LeafChoice("zone-a", Random(1))
    picked = [choice.pick(context.states, (), TYPICAL_MS, 1000.0) for _ in range(picks)]
    counts = [sum(p is state for p in picked) for state in context.states]
    assert all(least <= count <= most for count in counts[1:]), counts


@given("a leaf with 4 slots that answers 5 times a second")
def step_four_slots(context):
    context.state = make_state(slots=4)
    context.now_ms = 0.0
    for _ in range(10):
        answer_next(context, 1, 1.0)


def answer_next(context, running, ratio):
    context.now_ms += 200.0
    answer(context.state, context.now_ms, ratio, running)


@when(
    "its answers take 1, 2, 3 and 4 times as long at 1 to 4 requests for {time_ms:g} ms"
)
def step_slows(context, time_ms):
    for number in range(int(time_ms / 200.0)):
        running = 1 + (3 * number) % 4
        answer_next(context, running, float(running))


@when("its answers take as long as usual for {time_ms:g} ms")
def step_usual(context, time_ms):
    for number in range(int(time_ms / 200.0)):
        answer_next(context, 1 + number % 4, 1.0)


@then("its limit is at most {limit:g}")
def step_low_limit(context, limit):
    assert context.state.capacity.limit(context.now_ms) <= limit, (
        context.state.capacity.limit(context.now_ms)
    )


@then("its limit is at least {limit:g}")
def step_high_limit(context, limit):
    assert context.state.capacity.limit(context.now_ms) >= limit, (
        context.state.capacity.limit(context.now_ms)
    )


def make_daemon(context, leafs, slots=2):
    context.directory = LeafDirectory()
    for number in range(leafs):
        leaf = make_leaf(f"leaf-{number}", f"service{number}", slots=slots)
        context.directory.put(leaf, 0.0)
    context.clock = SimpleNamespace(now_ms=lambda: context.now_ms)


@given("a daemon of which {leafs:d} leafs have become slow")
def step_many_slow(context, leafs):
    make_daemon(context, leafs)
    context.now_ms = 1000.0
    for state in context.directory.all_states():
        answer(state, 1000.0, ratio=6.0)
    daemon = SimpleNamespace(timers=context.clock, directory=context.directory)
    context.evidence = LeafEvidence(daemon)


@then(
    "{count:d} messages 100 ms apart have at most {most:d} estimates each "
    "and {total:d} together"
)
def step_messages(context, count, most, total):
    context.sent = []
    for _ in range(count):
        evidence = context.evidence.take_unreported()
        estimates = () if evidence is None else evidence.estimates
        assert len(estimates) <= most, len(estimates)
        context.sent += [estimate.leaf_id for estimate in estimates]
        context.now_ms += 100.0
    assert 0 < len(context.sent) <= total, len(context.sent)


@then(
    "what 20 followers report of {count:d} leafs is forwarded within {wait_ms:d} ms, "
    "beside its own"
)
def step_forward(context, count, wait_ms):
    context.evidence.take_unreported()
    reported_ms: dict[str, float] = {}
    own = 0
    for turn in range(100):
        for number in range(20):
            leaf_id = f"leaf-{250 + (20 * turn + number) % count}"
            if leaf_id not in context.evidence._forwarded_estimates:
                reported_ms[leaf_id] = context.now_ms
            estimate = LeafEstimate(leaf_id, 4.0, 1.0)
            context.evidence.forward(RelayEvidence((), (estimate,)))
        evidence = context.evidence.take_unreported()
        for estimate in evidence.estimates:
            is_own = estimate.service_ratio != 4.0
            own += is_own
            age_ms = context.now_ms - reported_ms.get(estimate.leaf_id, context.now_ms)
            assert is_own or age_ms <= wait_ms, age_ms
        context.now_ms += 100.0
    assert own > 100, own


@then("no estimate is sent twice")
def step_once(context):
    assert len(context.sent) == len(set(context.sent)), context.sent


@given("evidence of one slow leaf and one estimate")
def step_evidence(context):
    slow, estimate = SlowLeaf("leaf-1", 5.0), LeafEstimate("leaf-2", 1.37, 1.5)
    context.message = RelayEvidence((slow,), (estimate,))


@then("it is decoded as it was sent")
def step_round_trip(context):
    assert decode_relay(encode_relay(context.message)) == context.message
    without = RelayEvidence(context.message.leafs)
    assert encode_relay(without) == cbor2.dumps([6, [["leaf-1", 5.0]]])


@then("a daemon that knows only slow leafs reads that leaf and an unknown one")
def step_earlier_build(context):
    kind, leafs = cbor2.loads(encode_relay(context.message))
    read = {str(leaf_id): finite_number(x) for leaf_id, x in leafs}
    assert kind == 6 and read == {"leaf-1": 5.0, "['leaf-2', 137, 15]": 0.0}, read


@then("an estimate out of range is malformed")
def step_malformed(context):
    for ratio, limit in ((0, 10), (-5, 10), (1e9, 10), (100, 9), (math.nan, 10)):
        frame = cbor2.dumps([6, [[["leaf-1", ratio, limit], 0]]])
        try:
            message = decode_relay(frame)
        except DecodeError:
            continue
        raise AssertionError(message)


@given("a daemon of which {leafs:d} leafs have a limit near half of their slots")
def step_low_leafs(context, leafs):
    make_daemon(context, leafs, slots=4)
    for state in context.directory.all_states():
        for number in range(30):
            answer(state, 200.0 * number, 2.5, running=4)
    context.now_ms = 5900.0
    context.lines = []
    logger = SimpleNamespace(info=lambda event, **fields: context.lines.append(event))
    context.watch = CapacityWatch(context.directory, context.clock, logger)


@when("the watch checks {count:d} times")
def step_checks(context, count):
    context.per_check = []
    for _ in range(count):
        before = len(context.lines)
        context.watch.check()
        context.per_check.append(len(context.lines) - before)


@when("the leafs have recovered and the watch checks {count:d} times")
def step_recovered(context, count):
    context.now_ms += 60_000.0
    step_checks(context, count)


@then("{count:d} {kind} leafs are logged, at most {most:d} at each check")
def step_logged(context, count, kind, most):
    assert context.lines.count(f"leaf_capacity_{kind}") == count, context.lines
    assert max(context.per_check) <= most, context.per_check


@then("{count:d} recovered leafs are logged")
def step_recovered_logged(context, count):
    step_logged(context, count, "recovered", 10)


@then("{count:d} leafs are below their slots")
def step_below(context, count):
    assert context.watch.limited_count == count, context.watch.limited_count
