"""Steps on the soak and on its checks."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from snipemount.decisions.record_merge import greatest_records
from snipemount.soak.checks import check, check_times
from snipemount.soak.deployment import RECORDS, SHARDS, TOP_K
from snipemount.soak.records import Attempt, Disturbance, Ending, LeafRun, Records
from snipemount.soak.run import run_soak
from snipemount.standins.platform_leaf import records_for


def answered(route, receipts, body, status=200, missing=0):
    """Return an attempt that was answered."""
    return Attempt(
        "r1",
        route,
        "daemon-0",
        0.0,
        50.0,
        Ending.ANSWERED,
        status,
        receipts,
        missing,
        body,
    )


def query(records, missing=0, body=None):
    """Add a query whose legs ran at all shards."""
    for shard in SHARDS:
        records.runs.append(LeafRun("r1", f"i-{shard}", shard, 1.0))
    receipts = tuple(f"i-{shard}.r1" for shard in SHARDS)
    parts = (records_for("r1", shard, RECORDS) for shard in SHARDS)
    merged = greatest_records(parts, TOP_K)
    records.attempts.append(answered("find", receipts, body or merged, missing=missing))


@when("{count:d} daemons run under the faults of seed {seed:d} for {span_s:g} s")
def step_soak(context, count, seed, span_s):
    with tempfile.TemporaryDirectory() as name:
        work = run_soak(seed, span_s * 1000.0, count, Path(name))
        context.summary = asyncio.run(work)


@then("callers got answers")
def step_answers(context):
    assert context.summary.results.get("answered:200", 0) > 0, context.summary


@then("no promise was broken")
def step_no_violation(context):
    assert not context.summary.violations, context.summary


@given("a record in which a request that may run once ran twice")
def step_twice(context):
    run = LeafRun("r1", "i-1", "ledger", 1.0)
    attempt = Attempt("r1", "log", "daemon-0", 0.0, 50.0, Ending.CUT)
    context.records = Records([attempt], [run, run])


@given("a record in which a refused request that may run once has run")
def step_false_refusal(context):
    run = LeafRun("r1", "i-1", "ledger", 1.0)
    context.records = Records([answered("log", (), b"", 503)], [run])


@given("a record in which an answer names the receipt of another request")
def step_foreign(context):
    run = LeafRun("r1", "i-1", "ledger", 1.0)
    context.records = Records([answered("look", ("i-1.r2",), b"")], [run])


@given("a record in which an answer names fewer parts than it states")
def step_parts(context):
    context.records = Records()
    query(context.records, missing=1)


@given("a record in which an answer holds other records than its parts")
def step_other_records(context):
    context.records = Records()
    query(context.records, body=b"x" * 16 * TOP_K)


@given("a record in which a query ran at a service that is not its own")
def step_other_service(context):
    context.records = Records()
    query(context.records)
    context.records.runs.append(LeafRun("r1", "i-9", "ledger", 1.0))


@given("a record in which a leaf gets a request 4 s after it had left")
def step_late_arrival(context):
    run = LeafRun("r1", "i-1", "ledger", 14_000.0)
    attempt = Attempt("r1", "look", "daemon-0", 14_000.0, 14_050.0, Ending.LEFT)
    context.records = Records([attempt], [run], [run], [], {"i-1": 10_000.0})


@given("a record in which a request is cut while its daemon stops")
def step_cut(context):
    attempt = Attempt("r1", "look", "daemon-0", 10_050.0, 10_100.0, Ending.CUT)
    stop = Disturbance("daemon_stops", "daemon-0", 10_000.0, 13_000.0)
    context.records = Records([attempt], disturbances=[stop])


@then('the check finds "{finding}"')
def step_finds(context, finding):
    found = check(context.records)
    assert len(found) == 1, found
    assert finding in found[0], found


@then('the check of times finds "{finding}"')
def step_finds_times(context, finding):
    found = check_times(context.records, 15_000.0)
    assert len(found) == 1, found
    assert finding in found[0], found


@then("with the store away meanwhile it finds nothing")
def step_finds_nothing(context):
    away = Disturbance("store_down", "store", 10_000.0, 10_200.0)
    context.records.disturbances.append(away)
    assert not check_times(context.records, 15_000.0)
