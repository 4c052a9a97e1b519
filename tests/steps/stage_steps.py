"""Steps on the stages of a query in logs and metrics."""

from __future__ import annotations

from behave import then, when
from serving_world import ROUTES

from snipemount.model.forwarding import ForwardRequest, Merged
from snipemount.serving.request_log import EndedRequest, RequestLog


def lines_of_last(context):
    """Return the `request_ended` lines of the last request."""
    world = context.serving
    request_id = world.samples[-1].request_id
    lines = [line for line in world.lines if line["event"] == "request_ended"]
    return [line for line in lines if line["request"] == request_id]


@when("each leaf needs {connect_ms:g} ms for a connection")
def step_connect(context, connect_ms):
    for leaf in context.serving.directory.all_states():
        context.serving.leafs.scripts[leaf.leaf.leaf_id].connect_ms = connect_ms


@when("a query ends complete, {late_ms:g} ms after its latency objective")
def step_late(context, late_ms):
    world = context.serving
    sample = world.ask("find")
    stages = sample.run.stages()
    sample.run.cancel()
    request = ForwardRequest(sample.request_id, "GET", "/", "", (), b"", None)
    elapsed_ms = ROUTES[0].latency_objective_ms + late_ms
    ended = EndedRequest(
        request, ROUTES[0], 1, Merged((), 0, b""), elapsed_ms, (), stages
    )
    RequestLog(world.serving_context.logger, world.metrics).record(ended, 0.0)


@then(
    "its log line has {opened:d} opened connections, {connect_ms:g} ms to connect"
    " and parts after {parts_ms} ms"
)
def step_stages(context, opened, connect_ms, parts_ms):
    (line,) = lines_of_last(context)
    assert line["opened"] == opened, line
    assert line["connect_ms"] == connect_ms, line
    assert line["parts_ms"] == parts_ms, line


@then("its log line has {count:d} bytes read")
def step_bytes(context, count):
    (line,) = lines_of_last(context)
    assert line["bytes_read"] == count, line


@then("its log line has result {result}")
def step_result(context, result):
    (line,) = lines_of_last(context)
    assert line["result"] == result, line


@then("no log line names the request")
def step_no_line(context):
    assert not lines_of_last(context)


@then(
    "the metrics have {queries:d} query with its last part within {limit_ms:g} ms"
    " and {count:d} bytes read"
)
def step_metrics(context, queries, limit_ms, count):
    text = context.serving.metrics.render().decode()
    name = "snipemount_query_stage_seconds_bucket"
    label = f'{name}{{le="{limit_ms / 1000.0}",stage="last_part"}}'
    values = dict(
        line.rsplit(" ", 1) for line in text.splitlines() if not line.startswith("#")
    )
    assert float(values[label]) == queries, values
    assert float(values["snipemount_query_bytes_read_total"]) == count
