"""Steps on what a leaf states in the headers of a response."""

from __future__ import annotations

import asyncio

from behave import then, when
from hypothesis import example, settings
from hypothesis import given as for_any
from hypothesis import strategies as st
from leaf_connection_world import (
    begin_request,
)
from serving_world import ServingWorld

from snipemount.model.forwarding import (
    Forwarded,
    LeafAnswer,
    Merged,
    NotRun,
)
from snipemount.model.leaf_notice import NoLimit, RequestLimit, UnreadableLimit
from snipemount.platform.leaf_connection import (
    MAX_IDLE_LIMIT_MS,
)


def make_stating(status, fields, request_id="abc"):
    """Return a response with header fields in which a leaf states something."""
    lines = [f"HTTP/1.1 {status} Any", f"X-Request-Id: {request_id}"]
    lines += ["X-Server-Stamp: r.1", *fields]
    if status == 503:
        lines.append("X-Not-Executed: 1")
    lines.append("Content-Length: 0")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


@when("the leaf responds with status {status:d} and the limit {limit}")
def step_states_limit(context, status, limit):
    fields = [] if limit == "absent" else [f"Server-Limit: {limit}"]
    context.connection.data_received(make_stating(status, fields))


@when("the leaf responds to another request with the limit {limit} and closes")
def step_other_states_limit(context, limit):
    fields = [f"Server-Limit: {limit}"]
    context.connection.data_received(make_stating(200, fields, "other"))
    context.connection.connection_lost(None)


@when("the leaf responds with status {status:d} and the field {field}")
def step_states_field(context, status, field):
    context.connection.data_received(make_stating(status, [field]))


@then("the load read is {read}")
def step_load_read(context, read):
    (report,) = context.reports
    assert isinstance(report.outcome, LeafAnswer), report
    load = report.load
    text = "none" if load is None else f"{load.running},{load.waiting},{load.slots}"
    if load is not None and load.work_ratio is not None:
        text += f",{load.work_ratio:g}"
    assert text == read, report


@then("after any load, limit, rest and time to keep a connection other leafs serve")
def step_any_statement(context):
    digits = st.integers(1, 400).map(lambda count: "9" * count)
    odd_numbers = st.sampled_from(
        [
            "",
            "-1",
            "nan",
            "inf",
            "-inf",
            "1e308",
            "1.7e308",
            "1e-320",
            "0",
            "\xb2",
            "1_0",
        ]
    )
    numbers = digits | odd_numbers | st.integers().map(str)
    loads = st.lists(numbers, max_size=5).map(",".join)
    loop = asyncio.new_event_loop()

    @settings(deadline=None, max_examples=150)
    @for_any(loads, numbers, numbers, numbers, st.sampled_from([200, 503]))
    @example("9" * 400 + ",0,1", "1", "1", "9" * 400, 200)
    @example("9,9,9,1", "1", "1", "1", 200)
    @example("0,0,1", "1.7e308", "1e308", "\xb2", 503)
    def check(load, limit, rest, keep, status):
        fields = [
            f"X-Server-Load: {load}",
            f"Server-Limit: {limit}",
            f"Retry-After: {rest}",
            f"Keep-Alive: timeout={keep}",
        ]
        connection, reports, _ = begin_request(loop)
        connection.data_received(make_stating(status, fields))
        (report,) = reports
        assert isinstance(report.outcome, LeafAnswer | NotRun), report
        assert 0.0 <= connection.idle_limit_ms <= MAX_IDLE_LIMIT_MS
        check_others_serve(report)

    check()
    loop.close()


def check_others_serve(report):
    """Check that queries and requests are served after a leaf has reported this."""
    world = ServingWorld()
    world.start()
    for leaf_id in ("ledger-0", "shard0-zone-a"):
        script = world.leafs.scripts[leaf_id]
        script.load, script.notice = report.load, report.notice
    for route in ("look", "find") * 8:
        sample = world.ask(route)
        world.run_for(200.0)
        assert isinstance(sample.outcome, Forwarded | Merged), (sample, world.lines)


@then("the leaf wants nothing for {rest_ms:g} ms")
def step_rest_read(context, rest_ms):
    (report,) = context.reports
    assert report.notice.rest_ms == rest_ms, report


@then("the leaf is {read}")
def step_leaving_read(context, read):
    (report,) = context.reports
    assert report.notice.leaving == (read == "leaving"), report


@then("the limit read is {limit}")
def step_limit_read(context, limit):
    (report,) = context.reports
    expected = {"none": NoLimit(), "unreadable": UnreadableLimit()}.get(limit)
    assert report.notice.limit == (expected or RequestLimit(float(limit))), report


@then("no limit is read")
def step_no_limit_read(context):
    (report,) = context.reports
    assert report.notice is None, report
