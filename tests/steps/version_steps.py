"""Steps on moves between versions."""

from __future__ import annotations

import attrs
from behave import then, when
from hypothesis import given as given_any
from hypothesis import strategies as st

from snipemount.decisions.moves.move_plan import CANARY_SHARE, MoveEvidence, MovePlan
from snipemount.model.move import MoveRecord, MoveState
from snipemount.ports.platform import Kind

FAULTS = {
    "fails 20 in 100 exchanges": {"failure_rate": 0.2},
    "fails all exchanges": {"failure_rate": 1.0},
    "is three times as slow": {"slow_factor": 3.0},
    "answers from another snapshot": {"wrong_snapshot": True},
}


@when("version v2 of finder starts and {fault}")
def step_start_bad(context, fault):
    context.world.add_version(
        "finder", "v2", lambda behaviour: attrs.evolve(behaviour, **FAULTS[fault])
    )


@when("version v2 of finder starts")
def step_start(context):
    context.world.add_version("finder", "v2")


@when("a move to v2 within {seconds:g} s begins at {rate:g} queries a second")
def step_move(context, seconds, rate):
    world = context.world
    world.start_load("finder", rate, seconds * 1000.0)
    world.start_move("finder", "v2", seconds * 1000.0)
    context.judged_ms = None

    def watch():
        bad = any(
            (evidence := daemon.node.mover.evidence("finder")) and evidence.bad
            for daemon in world.daemons.values()
        )
        if bad and context.judged_ms is None:
            context.judged_ms = world.now_ms

    world.timers.call_every(50.0, watch)


@when("v2 {fault} from now on")
def step_turn_bad(context, fault):
    for model in context.world.servers_of("finder"):
        if "-v2-" in model.server.name:
            model.behaviour = attrs.evolve(model.behaviour, **FAULTS[fault])


@when("the first daemon is killed as soon as the version is judged bad")
def step_kill(context):
    world = context.world
    first = sorted(world.daemons)[0]

    def watch():
        if context.judged_ms is not None and first in world.daemons:
            world.kill_daemon(first)

    world.timers.call_every(50.0, watch)


@when("{name} is cut off from all other daemons")
def step_cut(context, name):
    for other in context.world.daemons:
        if other != name:
            context.world.mesh.cut_off_pairs.add(frozenset((name, other)))


@then("the move is {state} and was reported once")
def step_state(context, state):
    world = context.world
    move = world.move_record("finder")
    assert move.state.name.lower().replace("_", " ") == state, move
    events = world.store.list_all(Kind.EVENT).objects
    assert len(events) == 1, [e.spec for e in events]
    assert events[0].spec["what"].endswith(state.replace(" ", "_"))


@then("v2 got at most {percent:g} in 100 of the queries")
def step_share(context, percent):
    answered = [s.answer for s in context.world.samples if s.answer is not None]
    on_new = [a for a in answered if a.snapshot and "/v2/" in a.snapshot]
    assert len(on_new) * 100.0 <= percent * len(answered), len(on_new)


@then("no query went to v2 more than 3 s after it was judged bad")
def step_none_after(context):
    assert context.judged_ms is not None
    late = [
        s
        for s in context.world.samples
        if s.answer is not None
        and s.sent_ms > context.judged_ms + 3000.0
        and "/v2/" in (s.answer.snapshot or "")
    ]
    assert not late


@then("the share of v2 at {name} is 0")
def step_no_share(context, name):
    shares = {
        daemon.node.own.name: daemon.node.mover.share("finder")
        for daemon in context.world.daemons.values()
    }
    assert shares[name] == 0.0, shares
    others = [share for other, share in shares.items() if other != name]
    assert max(others) > CANARY_SHARE, shares


@then("for any evidence the share never rises while cut off or judged bad")
def step_property(context):
    evidence = st.builds(
        MoveEvidence,
        seen=st.integers(0, 500),
        samples=st.integers(0, 500),
        clean=st.booleans(),
        bad=st.sampled_from([False, False, False, True]),
    )
    steps = st.lists(
        st.tuples(evidence, st.booleans(), st.floats(0.0, 5000.0)), max_size=40
    )

    @given_any(steps)
    def check(steps):
        record = MoveRecord("s", "m", "v1", "v2", 0.0, 60_000.0)
        plan = MovePlan(record)
        now_ms, judged = 0.0, False
        for seen, confirmed, wait_ms in steps:
            now_ms += wait_ms
            before = plan.share
            share = plan.update(seen, confirmed, now_ms, now_ms)
            judged = judged or seen.bad
            assert 0.0 <= share <= 1.0
            if judged:
                assert share == 0.0
            elif not confirmed or not seen.clean:
                assert share <= before
            if now_ms < 18_000.0:
                assert share <= CANARY_SHARE
        plan.record = attrs.evolve(record, state=MoveState.TAKEN_BACK)
        taken_back = plan.update(
            MoveEvidence(500, 500, True, False), True, now_ms, now_ms
        )
        assert taken_back == 0.0

    check()
