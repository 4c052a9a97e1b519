"""Steps for placement by learnt capacity, played in the queue model."""

from __future__ import annotations

import math

from behave import given, then, when
from capacity_model import DAEMONS_PER_ZONE, MAX_QUEUE, ZONES, ModelLeaf, QueueModel

RUNS = 6  # with seeds from 1 on
RUN_MS = 60_000.0
START_MS = 5000.0
NOISE = (0.6, 1.0, 1.4, 2.2, 0.9)
NOISE_MS = 20.0


def usual(now_ms: float, running: int) -> float:
    return 1.0


def states_usual(now_ms: float) -> float:
    return 100


def set_leafs(context, slowdowns, slots=2, stated=None, paused_ms=0.0):
    """Set how leafs are made anew for each run; `stated` is by number of the leaf."""
    stated = stated or {}
    context.make_leafs = lambda: [
        ModelLeaf(
            f"leaf-{number}",
            ZONES[number % len(ZONES)],
            slots,
            slowdown,
            stated.get(number, states_usual),
            paused_ms,
        )
        for number, slowdown in enumerate(slowdowns)
    ]


@given("3 leafs with 2 slots")
def step_equal(context):
    set_leafs(context, [usual] * 3)


@given("{leafs:d} leafs with 2 slots whose work takes {a:g}, {b:g} and {c:g} of usual")
def step_speeds(context, leafs, a, b, c):
    speeds = [(a, b, c)[(number + number // 3) % 3] for number in range(leafs)]
    set_leafs(context, [lambda now_ms, running, s=s: s for s in speeds])


@given("3 leafs with 2 slots that pause for {paused_ms:g} ms")
def step_pauses(context, paused_ms):
    set_leafs(context, [usual] * 3, paused_ms=paused_ms)


@given(
    "3 leafs with 2 slots, one of which is {factor:g} times slower "
    "from second {start:d} to {end:d}"
)
def step_slow(context, factor, start, end):
    def slow(now_ms, running):
        return factor if start * 1000.0 <= now_ms < end * 1000.0 else 1.0

    set_leafs(context, [slow, usual, usual])


@given("3 leafs with 2 slots whose work and work figure change every 20 ms")
def step_noisy(context):
    def noise(now_ms, number):
        return NOISE[int((now_ms + 37.0 * number) // NOISE_MS) % len(NOISE)]

    set_leafs(
        context,
        [lambda now_ms, running, n=n: noise(now_ms, n) for n in range(3)],
        stated={n: lambda now_ms, n=n: 100 * noise(now_ms, n) for n in range(3)},
    )


@given("3 leafs with 4 slots, one of which slows down from half of its slots on")
def step_half(context):
    def slows_down(now_ms, running):
        return (1.0, 1.0, 1.5, 2.3, 3.2)[running]

    set_leafs(context, [slows_down, usual, usual], slots=4)


@given(
    "3 leafs with 2 slots, one of which takes {factor:g} times as long "
    "and states {percent:d} %"
)
def step_faulty(context, factor, percent):
    slow = [lambda now_ms, running: factor, usual, usual]
    set_leafs(context, slow, stated={0: lambda now_ms: percent})


def play(context, legs_per_s, runs=RUNS, daemons_per_zone=DAEMONS_PER_ZONE):
    context.runs = {
        learns: [
            QueueModel(learns, context.make_leafs(), seed, daemons_per_zone).run(
                RUN_MS, legs_per_s
            )
            for seed in range(1, runs + 1)
        ]
        for learns in (False, True)
    }


@when("{per_s:g} legs a second and zone are sent with each choice")
def step_even_demand(context, per_s):
    play(context, lambda zone, now_ms: per_s)


@when("{per_s:g} legs a second and zone are sent with each choice in {runs:d} runs")
def step_runs(context, per_s, runs):
    play(context, lambda zone, now_ms: per_s, runs)


@when(
    "{per_s:g} legs a second and zone are sent by {daemons:d} daemons in each zone "
    "with each choice in {runs:d} runs"
)
def step_few_daemons(context, per_s, daemons, runs):
    play(context, lambda zone, now_ms: per_s, runs, daemons)


@when(
    "{a:g}, {b:g} and {c:g} legs a second, falling to half within 13 s, "
    "are sent with each choice"
)
def step_uneven_demand(context, a, b, c):
    most = dict(zip(ZONES, (a, b, c), strict=True))

    def legs_per_s(zone, now_ms):
        return most[zone] * (0.75 + 0.25 * math.cos(math.pi * now_ms / 13_000.0))

    play(context, legs_per_s)


def mean_of(runs, value) -> float:
    return sum(value(run) for run in runs) / len(runs)


@then("at most {percent:d} % as many legs are late with learnt capacity")
def step_late(context, percent):
    before, learnt = (
        mean_of(context.runs[learns], lambda run: run.late_share(START_MS))
        for learns in (False, True)
    )
    print(f"late legs: {before:.2%} before, {learnt:.2%} with learnt capacity")
    assert learnt <= before * percent / 100.0, (learnt, before)


@then("the largest queue is not longer with learnt capacity")
def step_queue(context):
    before, learnt = (
        max(run.largest_queue for run in context.runs[learns])
        for learns in (False, True)
    )
    print(f"largest queue: {before} before, {learnt} with learnt capacity")
    assert learnt <= before <= MAX_QUEUE, (learnt, before)


@then("no leg is refused with learnt capacity")
def step_not_refused(context):
    refused = sum(run.refused for run in context.runs[True])
    assert refused == 0, refused


def slow_leaf_share(context, start, end) -> float:
    return mean_of(
        context.runs[True],
        lambda run: run.share_of("leaf-0", start * 1000.0, end * 1000.0),
    )


@then(
    "the slow leaf gets at most {percent:d} % of the legs "
    "from second {start:d} to {end:d}"
)
def step_left(context, percent, start, end):
    share = slow_leaf_share(context, start, end)
    assert share <= percent / 100.0, share


@then("it gets at least {percent:d} % of the legs from second {start:d} to {end:d}")
def step_used_again(context, percent, start, end):
    share = slow_leaf_share(context, start, end)
    assert share >= percent / 100.0, share


@then("not more legs are sent to other zones with learnt capacity")
def step_zones(context):
    before, learnt = (
        mean_of(context.runs[learns], lambda run: run.other_zone / len(run.legs))
        for learns in (False, True)
    )
    assert learnt <= before, (learnt, before)
