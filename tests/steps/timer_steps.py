"""Steps on the timer service."""

from __future__ import annotations

from behave import given, then, when

from snipemount.timers import VirtualTimers


@given("a call every {period_ms:d} ms that raises an error the first time")
def step_periodic(context, period_ms):
    context.timers = VirtualTimers()
    context.calls = 0

    def call():
        context.calls += 1
        if context.calls == 1:
            raise LookupError("unexpected")

    context.timers.call_every(period_ms, call)


@when("{span_ms:d} ms of virtual time pass")
def step_pass(context, span_ms):
    context.errors = 0
    end_ms = context.timers.now_ms() + span_ms
    while context.timers.now_ms() < end_ms:
        try:
            context.timers.run_until(end_ms)
        except LookupError:
            context.errors += 1


@then("it was called {calls:d} times and raised {errors:d} error")
def step_called(context, calls, errors):
    assert (context.calls, context.errors) == (calls, errors)
