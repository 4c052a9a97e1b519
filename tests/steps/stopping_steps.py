"""Steps on the caller interface of a daemon that stops, without a network."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from serving_world import HOST, SHARDS, ServingWorld
from virtual_loop import VirtualLoopTimers, VirtualTimeLoop

from snipemount.platform.caller_server import IDLE_CHECK_PERIOD_MS, CallerServer
from snipemount.platform.graceful_stop import StopTimes, stop_serving
from snipemount.standins.scripted_leafs import ScriptedAttempt, ScriptedLeafs

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


@given("a caller interface over scripted leafs")
def step_interface(context):
    context.loop = VirtualTimeLoop()
    context.closers = [*getattr(context, "closers", []), context.loop.close]
    context.transport = MemoryTransport()


async def serve(context, before_read, request=REQUEST):
    """Start a caller server, feed it a request and wait until it is idle."""
    timers = VirtualLoopTimers(asyncio.get_running_loop())
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


@given("leafs that take {work_ms:g} ms")
def step_work(context, work_ms):
    context.work_ms = work_ms


@when("it stops within {end_ms:g} ms while a request arrives each {period_ms:g} ms")
def step_stop(context, end_ms, period_ms):
    """Stop with requests that come on connections of their own until the end."""
    context.transports = []
    protocols = []

    async def stop():
        timers = VirtualLoopTimers(asyncio.get_running_loop())
        context.serving = ServingWorld(timers=timers)
        context.serving.start()
        for number in range(4):
            script = context.serving.leafs.scripts[f"ledger-{number}"]
            script.work_ms = context.work_ms
        server = CallerServer(context.serving.gateway)
        context.started_ms = timers.now_ms()

        def arrive():
            number = len(context.transports)
            protocol = server()
            transport = MemoryTransport()
            protocol.connection_made(transport)
            protocols.append(protocol)
            context.transports.append((timers.now_ms(), transport))
            protocol.data_received(
                f"POST /log/{number} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Request-Id: {number}\r\nContent-Length: 0\r\n\r\n".encode()
            )

        arrivals = timers.call_every(period_ms, arrive)
        times = StopTimes(250.0, 300.0, end_ms)
        logger = context.serving.serving_context.logger
        # No request arrives any more once nothing listens.
        await stop_serving(server, arrivals.cancel, timers, times, logger)
        for protocol in protocols:
            protocol.connection_lost(None)
        await timers.sleep(5.0)

    context.loop.run_until_complete(stop())


def status_of(transport):
    """Return the status of the response written to a transport; 0 for none."""
    return int(transport.written[9:12] or 0)


@then("no request was forwarded that came after {refuse_ms:g} ms")
def step_none_forwarded(context, refuse_ms):
    latest_ms = context.started_ms + refuse_ms + IDLE_CHECK_PERIOD_MS + 10.0
    forwarded_ms = [time_ms for time_ms, _, _ in context.serving.leafs.arrivals]
    assert forwarded_ms and max(forwarded_ms) <= latest_ms, forwarded_ms[-1]
    context.late = [t for at_ms, t in context.transports if at_ms > latest_ms]
    assert context.late


@then("each of these got status {status:d}")
def step_late_status(context, status):
    assert {status_of(transport) for transport in context.late} == {status}


@then("each request got an answer")
def step_all_answered(context):
    unanswered = [at_ms for at_ms, t in context.transports if not status_of(t)]
    assert not unanswered, (len(unanswered), len(context.transports))


@then("those that were forwarded got status {status:d}")
def step_forwarded_status(context, status):
    forwarded = {int(name) for _, _, name in context.serving.leafs.arrivals}
    assert forwarded
    found = {status_of(context.transports[number][1]) for number in forwarded}
    assert found == {status}, found


@then(
    "in a stop with a grace of {grace_ms:g} ms requests are refused after "
    "{refuse_ms:g} ms and ended at {end_ms:g} ms"
)
def step_times(context, grace_ms, refuse_ms, end_ms):
    times = StopTimes.for_grace(grace_ms)
    assert (times.refuse_ms, times.end_ms) == (refuse_ms, end_ms), times
    assert times.removal_ms <= times.refuse_ms


class HeldLeafs(ScriptedLeafs):
    """Leafs whose answers a scenario gives out itself."""

    def __init__(self, timers):
        super().__init__(timers)
        self.held = []

    def send(self, leaf, request, time_left_ms, done):
        """Keep the callback of the attempt."""
        self.held.append((leaf, done))
        return ScriptedAttempt(None, lambda: None)

    def answer(self, leaf, done):
        """Give out the answer of a leaf."""
        done(self._report(leaf, self.scripts[leaf.leaf_id]))


@when("the caller of a query leaves just before its last leg is answered")
def step_leaves(context):
    async def leave():
        timers = VirtualLoopTimers(asyncio.get_running_loop())
        leafs = HeldLeafs(timers)
        context.serving = ServingWorld(timers=timers, leafs=leafs)
        context.serving.start()
        server = CallerServer(context.serving.gateway)
        protocol = server()
        protocol.connection_made(context.transport)
        protocol.data_received(f"GET /find/1 {HEAD}".encode())
        while len(leafs.held) < len(SHARDS):
            await timers.sleep(1.0)
        *others, last = leafs.held
        for leaf, done in others:
            leafs.answer(leaf, done)
        protocol.connection_lost(None)
        leafs.answer(*last)
        await timers.sleep(20.0)

    errors = context.errors = []
    context.loop.set_exception_handler(lambda _, error: errors.append(error))
    context.loop.run_until_complete(leave())


@then("no error is raised and no leg runs any more")
def step_nothing_left(context):
    assert not context.errors, context.errors
    assert context.serving.serving_context.running_legs == 0
