"""Steps on refusals, overload and requests that crash servers."""

from __future__ import annotations

from behave import given, then, when
from small_world import finished_samples

from snipemount.errors import ResultCode
from snipemount.model.request import Priority


@given("servers crash on a query that contains poison")
def step_poison(context):
    for model in context.world.models.values():
        model.behaviour.poison = "poison"


@when("the samples so far are discarded")
def step_discard(context):
    context.world.samples.clear()


@when("a query that contains poison is sent {count:d} times, {gap:g} ms apart")
def step_send_poison(context, count, gap):
    world = context.world
    for number in range(count):
        world.timers.call_later(
            number * gap, lambda: world.send(world.new_request("finder", "poison"))
        )


@when("the caller {caller} sends {rate:g} queries a second for {seconds:g} s")
def step_caller(context, caller, rate, seconds):
    world = context.world
    world.start_load(
        "finder",
        rate,
        seconds * 1000.0,
        lambda: world.new_request("finder", caller=caller),
    )


@when("{bulk:g} bulk and {urgent:g} urgent queries a second arrive for {seconds:g} s")
def step_classes(context, bulk, urgent, seconds):
    world = context.world
    for rate, priority in ((bulk, Priority.BULK), (urgent, Priority.URGENT)):
        world.start_load(
            "finder",
            rate,
            seconds * 1000.0,
            lambda priority=priority: world.new_request("finder", priority=priority),
        )


@then("some requests were refused as not run")
def step_some(context):
    refused = [s for s in finished_samples(context.world) if s.answer.not_run]
    assert refused
    assert all(s.answer.code is ResultCode.OVERLOADED for s in refused)


@then("at most {count:d} servers crashed")
def step_lost(context, count):
    crashes = sum(m.stats.poison_crashes for m in context.world.models.values())
    assert 1 <= crashes <= count, crashes


@then("the last query that contains poison was refused with QUARANTINED")
def step_quarantined(context):
    sent = [s for s in finished_samples(context.world) if "poison" in s.request.query]
    assert sent[-1].answer.code is ResultCode.QUARANTINED


@then("at least {percent:g} in 100 answers to {group} are complete")
def step_group(context, percent, group):
    samples = [
        s
        for s in finished_samples(context.world)
        if s.request.caller == group
        or (group == "urgent queries" and s.request.priority is Priority.URGENT)
    ]
    complete = sum(sample.complete for sample in samples)
    assert samples and complete * 100.0 >= percent * len(samples), (
        complete,
        len(samples),
    )
