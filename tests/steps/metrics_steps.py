"""Steps for statsd metrics and latency histograms."""

from __future__ import annotations

import socket

from behave import given, then, when

from snipemount.errors import ResultCode
from snipemount.histograms import MAX_SERIES, Histograms, Series
from snipemount.metrics import make_metrics
from snipemount.model.answer import Answer
from snipemount.model.request import Priority, Request
from snipemount.settings import StatsdSettings


@given("a statsd listener")
def step_listener(context):
    context.listener = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.listener.bind(("127.0.0.1", 0))
    context.listener.settimeout(5.0)
    context.closers = [context.listener.close]


@when("an answer of finder is counted")
def step_count(context):
    settings = StatsdSettings("127.0.0.1", context.listener.getsockname()[1])
    request = Request("r", "finder", "search", "1", priority=Priority.URGENT)
    answer = Answer("r", ResultCode.PARTIAL, elapsed_ms=12.5)
    make_metrics(settings).record_answer(request, answer)
    context.lines = [context.listener.recv(512).decode() for _ in range(2)]


@then('the listener received "{line}"')
def step_got(context, line):
    assert line in context.lines, context.lines


@when("700 callers send one request each and a busy one sends 100")
def step_many(context):
    context.histograms = Histograms()
    for number in range(700):
        context.histograms.record(Series("s", f"caller-{number}", "normal"), 5.0)
        if number % 7 == 0:
            context.histograms.record(Series("s", "busy", "normal"), 9.0)


@then("there are 500 series and the busy caller's series has 100 answers")
def step_series(context):
    rows = context.histograms.summaries()
    assert len(rows) == MAX_SERIES
    (busy,) = [row for row in rows if row.series.caller == "busy"]
    assert busy.count == 100 and 8.9 < busy.p50_ms < 9.1, busy
