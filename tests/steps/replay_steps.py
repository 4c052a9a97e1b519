"""Steps for traces and their replay."""

from __future__ import annotations

import json

from behave import given, then
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import strategies as st
from small_world import make_world, warm_up

from snipemount.errors import DecodeError
from snipemount.node.recorder import replay


@given("a small deployment under load with long traces")
def step_long(context):
    context.world = make_world(ring_length=100_000)
    warm_up(context.world)


def trace_of(context):
    """Return the trace of the first daemon that has dispatched an exchange."""
    for daemon in context.world.daemons.values():
        text = daemon.node.recorder.to_lines()
        if '"Dispatch"' in text:
            return text
    raise AssertionError("no daemon has dispatched anything")


@then("the trace of each daemon replays without a difference")
def step_replays(context):
    events = 0
    for daemon in context.world.daemons.values():
        result = replay(daemon.node.recorder.to_lines())
        assert result.differences == (), result.differences[:1]
        assert result.skipped == 0
        events += result.events
    assert events > 1000, events


@then("a trace with a changed action replays with a difference")
def step_changed(context):
    lines = trace_of(context).splitlines()
    for number, line in enumerate(lines):
        document = json.loads(line)
        if document.get("actions"):
            document["actions"] = []
            lines[number] = json.dumps(document)
            break
    assert len(replay("\n".join(lines)).differences) == 1


@then("for any text the replay returns a result or raises a decode error")
def step_any(context):
    head = '{"trace": 1}\n'
    kinds = st.sampled_from(["Submitted", "Ended", "Ticked", "TakenUp", "X"])
    values = st.none() | st.integers() | st.text(max_size=3) | st.just({})
    lines = st.builds(
        lambda kind, value, now: json.dumps(
            {"number": 1, "server": "s", "now_ms": now, "event": [kind, value]}
        ),
        kinds,
        values,
        values,
    )

    @given_any(st.text(max_size=50) | st.lists(lines, max_size=3).map("\n".join))
    @example("[" * 100_000)
    def check(text):
        for candidate in (text, head + text):
            try:
                assert replay(candidate).events >= 0
            except DecodeError as error:
                assert error.detail

    check()
