"""Steps on the relay over real sockets."""

from __future__ import annotations

import asyncio

import structlog
from behave import given, then, when

from snipemount.adapters.relay_websocket import WebsocketRelay
from snipemount.model.relay import RelayChange, RelayEvidence, RelayListing, SlowLeaf
from snipemount.ports.platform import Kind, StoredObject
from snipemount.ports.relay import DaemonAddress
from snipemount.standins.harness import free_port

HOST = "127.0.0.1"
TURNS = 200
TURN_S = 0.01


def drop(logger, method, event):
    """Write nothing."""
    raise structlog.DropEvent


def drop_message(message):
    """Take nothing."""


def run(context, work):
    """Run `work` on the scenario's loop."""
    return context.loop.run_until_complete(work)


async def until(condition):
    """Wait for a condition, but not for ever."""
    for _ in range(TURNS):
        if condition():
            return
        await asyncio.sleep(TURN_S)


@given("a relay on loopback with a snapshot of {count:d} listings")
def step_relay(context, count):
    context.loop = asyncio.new_event_loop()
    context.closers = [*getattr(context, "closers", []), context.loop.close]
    logger = structlog.wrap_logger(None, processors=[drop])
    kinds = (Kind.CONFIGURATION, Kind.LEAF, Kind.ZONE_ORDER)
    listings = [RelayListing(kind, 5, ()) for kind in kinds[:count]]
    port = free_port()
    context.told = []
    context.relay = WebsocketRelay(
        HOST, port, lambda: list(listings), context.told.append, logger
    )
    context.follower = WebsocketRelay(HOST, free_port(), list, drop_message, logger)
    context.address = DaemonAddress("leader", "zone-a", HOST, port)
    context.heard = []
    context.ended = []
    context.published = 0
    run(context, context.relay.listen())

    def close():
        run(context, context.follower.close())
        run(context, context.relay.close())
        run(context, asyncio.sleep(TURN_S))

    context.closers.append(close)


@when("a daemon follows it")
def step_follow(context):
    async def follow():
        context.follower.follow(
            context.address, context.heard.append, lambda: context.ended.append(True)
        )
        await until(lambda: len(context.heard) == 3 or context.ended)

    run(context, follow())


@when("a daemon follows it and leaves at the first message")
def step_follow_leave(context):
    def heard(message):
        context.heard.append(message)
        context.follower.unfollow()

    async def follow():
        context.follower.follow(
            context.address, heard, lambda: context.ended.append(True)
        )
        await until(lambda: context.heard)
        await asyncio.sleep(TURN_S)

    run(context, follow())


@when("a change is published")
def step_publish(context):
    async def publish():
        before = len(context.heard)
        context.relay.publish(RelayChange(StoredObject(Kind.LEAF, "leaf-1", 6, {})))
        left = before == 1
        await until(lambda: left or len(context.heard) > before)
        await asyncio.sleep(TURN_S)

    run(context, publish())


@then("the follower hears {listings:d} listings and {changes:d} change")
def step_heard(context, listings, changes):
    kinds = [type(message) for message in context.heard]
    assert kinds == [RelayListing] * listings + [RelayChange] * changes, kinds


@then("the end is not reported")
def step_no_end(context):
    assert not context.ended


@then("the end is reported")
def step_end(context):
    assert context.ended == [True]


@when("the follower tells of a slow leaf")
def step_tell(context):
    async def tell():
        context.follower.tell(RelayEvidence((SlowLeaf("leaf-1", 5.0),)))
        await until(lambda: context.told)

    run(context, tell())


@then("the daemon that is followed has heard it")
def step_told(context):
    assert context.told == [RelayEvidence((SlowLeaf("leaf-1", 5.0),))]
