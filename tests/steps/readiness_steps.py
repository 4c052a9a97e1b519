"""Steps on the balancer's readiness checks."""

from __future__ import annotations

from behave import given, then

from snipemount.decisions.fleet.readiness_checks import CHECK_PERIOD_MS, ReadinessChecks

CHECKS = 5


@given("readiness checks each second, the last {failed:d} of them failed")
def step_checks(context, failed):
    context.checks = ReadinessChecks()
    for number in range(CHECKS):
        context.last_ms = number * CHECK_PERIOD_MS
        context.checks.note(number < CHECKS - failed, context.last_ms)


@given("no readiness checks")
def step_none(context):
    context.checks = ReadinessChecks()
    context.last_ms = 0.0


@then("{since_ms:g} ms after the last one callers are moved in {left_ms:g} ms")
def step_left(context, since_ms, left_ms):
    found_ms = context.checks.ms_until_moved(context.last_ms + since_ms)
    assert found_ms == left_ms, found_ms
