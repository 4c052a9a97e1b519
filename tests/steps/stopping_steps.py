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
    """Records what is written."""

    def __init__(self):
        super().__init__()
        self.written = b""

    def write(self, data):
        """Record the bytes."""
        self.written += bytes(data)

    def writelines(self, parts):
        """Record the bytes of all parts."""
        self.written += b"".join(bytes(part) for part in parts)

    def is_closing(self):
        """Report the transport as open."""
        return False

    def close(self):
        """Do nothing: scenarios check only what was written."""


@given("a caller interface over scripted leafs in real time")
def step_interface(context):
    context.loop = asyncio.new_event_loop()
    context.closers = [*getattr(context, "closers", []), context.loop.close]
    context.transport = MemoryTransport()


async def serve(context, before_read, request=REQUEST):
    """Start a caller server, feed it a request and wait until it is idle."""
    timers = LoopTimers(asyncio.get_running_loop())
    context.serving = ServingWorld(timers=timers)
    context.serving.start()
    server = CallerServer(context.serving.gateway)
    protocol = server()
    protocol.connection_made(context.transport)
    await timers.sleep(5.0)
    await before_read(server, timers)
    protocol.data_received(request)
    await server.wait_until_idle(timers, timers.now_ms() + WAIT_MS)


@when("a request is read in the event loop iteration in which the final wait begins")
def step_same_turn(context):
    async def announce_closing(server, timers):
        server.closing = True

    context.loop.run_until_complete(serve(context, announce_closing))


@when("a request is read after the final wait")
def step_after(context):
    async def refuse(server, timers):
        server.closing = True
        server.start_refusing()

    context.loop.run_until_complete(serve(context, refuse))


@then("the request is answered {status:d} before the wait ends")
def step_answered(context, status):
    written = context.transport.written
    assert written.startswith(f"HTTP/1.1 {status}".encode()), written[:80]


@then("no leaf received the request")
def step_no_leaf(context):
    assert not context.serving.leafs.arrivals


@when("a query is read while zone-b, the only zone of half of the shards, is cut off")
def step_cut_off(context):
    async def cut_off(server, timers):
        serving_context = context.serving.serving_context
        now_ms = timers.now_ms()
        for number, shard in enumerate(SHARDS):
            zone = "zone-a" if number % 2 else "zone-b"
            serving_context.directory.remove(f"{shard}-{zone}", now_ms)
            serving_context.reachability.note_unresponsive("zone-b", shard, now_ms)

    query = f"GET /find/1 {HEAD}".encode()
    context.loop.run_until_complete(serve(context, cut_off, query))


@then("the response announces that the connection closes")
def step_announced(context):
    assert b"connection: close" in context.transport.written.lower()
