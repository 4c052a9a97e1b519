"""Steps on the caller interface of a daemon that stops, without a network."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from serving_world import HOST, SHARDS, ServingWorld

from snipemount.platform.caller_server import CallerServer
from snipemount.timers import LoopTimers

HEAD = f"HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: abc\r\nX-Deadline-Ms: 900\r\n\r\n"
REQUEST = (
    f"GET /look/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: abc\r\n"
    "X-Deadline-Ms: 900\r\n\r\n"
).encode()
WAIT_MS = 2000.0


class MemoryTransport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""

    def write(self, data):
        """Keep the bytes."""
        self.written += bytes(data)

    def writelines(self, parts):
        """Keep the bytes of all parts."""
        self.written += b"".join(bytes(part) for part in parts)

    def is_closing(self):
        """Return that it is open."""
        return False

    def close(self):
        """Stay open: what was written counts."""


@given("a caller interface over scripted leafs in real time")
def step_interface(context):
    context.loop = asyncio.new_event_loop()
    context.closers = [*getattr(context, "closers", []), context.loop.close]
    context.transport = MemoryTransport()


async def serve(context, before_read, request=REQUEST):
    """Make the interface, read a request, and wait."""
    timers = LoopTimers(asyncio.get_running_loop())
    context.serving = ServingWorld(timers=timers)
    context.serving.start()
    server = CallerServer(context.serving.gateway)
    protocol = server()
    protocol.connection_made(context.transport)
    await timers.sleep(5.0)
    await before_read(server, timers)
    protocol.data_received(request)
    await server.finish(timers, timers.now_ms() + WAIT_MS)


@when("a request is read and the last wait begins in the same turn")
def step_same_turn(context):
    async def nothing(server, timers):
        server.closing = True

    context.loop.run_until_complete(serve(context, nothing))


@when("the last wait is over and a request is read")
def step_after(context):
    async def refuse(server, timers):
        server.closing = True
        server.refuse()

    context.loop.run_until_complete(serve(context, refuse))


@then("the request is answered {status:d} before the wait is over")
def step_answered(context, status):
    written = context.transport.written
    assert written.startswith(f"HTTP/1.1 {status}".encode()), written[:80]


@then("no leaf got it")
def step_no_leaf(context):
    assert not context.serving.leafs.arrivals


@when("a query is read while zone-b is cut off and half of the shards are there")
def step_cut_off(context):
    async def cut_off(server, timers):
        around = context.serving.around
        now_ms = timers.now_ms()
        for number, shard in enumerate(SHARDS):
            zone = "zone-a" if number % 2 else "zone-b"
            around.directory.remove(f"{shard}-{zone}", now_ms)
            around.reach.silent("zone-b", shard, now_ms)

    query = f"GET /find/1 {HEAD}".encode()
    context.loop.run_until_complete(serve(context, cut_off, query))


@then("the connection is announced to close")
def step_announced(context):
    assert b"connection: close" in context.transport.written.lower()
