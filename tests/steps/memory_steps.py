"""Steps on what stays in memory."""

from __future__ import annotations

import gc

from behave import given, then

from snipemount.serving.service_call import ServiceCall


@given("the garbage collector is off")
def step_off(context):
    gc.collect()
    gc.disable()
    context.closers = [*getattr(context, "closers", []), gc.enable]


@then("{count:d} calls of queries are in memory")
def step_calls(context, count):
    calls = [item for item in gc.get_objects() if isinstance(item, ServiceCall)]
    assert len(calls) == count, len(calls)
