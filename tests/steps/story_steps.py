"""Steps on log lines: collecting those on one request, parsing their fields."""

from __future__ import annotations

import io

from behave import given, then, when

from snipemount.logfmt import parse_line
from snipemount.logs import make_logger
from snipemount.queries.story import RequestTimeline


@given("a log in which daemon-2 finds zone-b cut off and then refuses request abc123")
def step_log(context):
    stream = io.StringIO()
    first = make_logger("info", "daemon-1", stream)
    second = make_logger("info", "daemon-2", stream)
    first.warning("store_lost", reason="TimeoutError")
    second.warning("zone_cut_off", zone="zone-b")
    first.info("request_ended", request="ffff", result="partial:1")
    second.info("request_ended", request="abc123", result="refused:no_leaf")
    context.log = stream.getvalue()


@when("the log lines on request {request} are collected")
def step_collect(context, request):
    context.timeline = RequestTimeline(request)
    for line in context.log.splitlines():
        context.timeline.add_line("  12.5 vm-name " + line)


@then("they are the refusal and, before it, the zone that was cut off")
def step_refusal_and_context(context):
    before, refusal = context.timeline.lines
    assert "zone_cut_off" in before
    assert refusal.startswith("> ") and "refused:no_leaf" in refusal


@then("no line is from another daemon")
def step_no_other_daemon(context):
    assert not any("daemon-1" in line for line in context.timeline.lines)


@then("a field with spaces and brackets is parsed as it was logged")
def step_round_trip(context):
    stream = io.StringIO()
    logger = make_logger("info", "daemon-1", stream)
    logger.info("request_ended", unanswered="a[x:1ms,y:2ms] b[z]", deadline_ms=1.5)
    fields = parse_line(stream.getvalue())
    assert fields["unanswered"] == "a[x:1ms,y:2ms] b[z]"
    assert fields["deadline_ms"] == "1.5"


@given(
    "a log in which leafs state a limit, a rest and that they leave before request "
    "abc123 is refused"
)
def step_statements_log(context):
    stream = io.StringIO()
    logger = make_logger("info", "daemon-1", stream)
    logger.info("leaf_limit", leaf="leaf-1", service="shard0", per_s=2.0)
    logger.info("leaf_rests", leaf="leaf-2", service="shard0", rest_ms=900)
    logger.info("leaf_leaving", leaf="leaf-3", service="shard0")
    logger.info("request_ended", request="abc123", result="refused:leaf_limits")
    context.log = stream.getvalue()


@then("the limit, the rest and the leaving leaf precede the refusal")
def step_statements_precede(context):
    events = [parse_line(line).get("event") for line in context.timeline.lines]
    assert events == ["leaf_limit", "leaf_rests", "leaf_leaving", "request_ended"]
