"""Steps on what one connection of a caller receives, in virtual time."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import attrs
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from stopping_steps import MemoryTransport
from virtual_loop import VirtualLoopTimers, VirtualTimeLoop

from snipemount.memory.byte_budget import ByteBudget
from snipemount.memory.unfinished_requests import (
    ProgressTimeouts,
    Stage,
    UnfinishedRequests,
)
from snipemount.model.configuration import CallerLimits
from snipemount.model.forwarding import Forwarded, LeafAnswer
from snipemount.platform.caller_bounds import CallerBounds
from snipemount.platform.caller_connections import CallerConnections
from snipemount.platform.caller_server import CallerServer
from snipemount.serving.run import EndedRun

LARGE_BYTES = 250_000
READ_BYTES = 4096
HEAD_LINES = "Host: a\r\nX-Request-Id: r\r\n"
SETTLE_MS = 1.0
MAX_EXAMPLES = 60


def post(*lines: str) -> bytes:
    """Return the head of a request with a body."""
    more = "".join(f"{line}\r\n" for line in lines)
    return f"POST /echo HTTP/1.1\r\n{HEAD_LINES}{more}\r\n".encode()


CHUNKED = post("Transfer-Encoding: chunked")
LARGE = post(f"Content-Length: {LARGE_BYTES}")
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
FORMS = {
    "a head that expects 100-continue": post(
        "Content-Length: 5", "Expect: 100-continue"
    ),
    "its body": b"hello",
    "a head over the limit": post(*(f"h{n}: {'v' * 1000}" for n in range(17))),
    "600 headers": post(*(f"h{n}: v" for n in range(600))),
    "empty lines over the limit": b"\r\n" * 9000,
    "a length over the limit": post("Content-Length: 262145"),
    "chunks over the limit": CHUNKED + CHUNK * 17,
    "an endless chunk extension": CHUNKED + b"1;" + b"x" * 20_000,
    "bytes that are no HTTP": b"\x16\x03\x01\x02\r\n\r\n",
    "a malformed chunk": CHUNKED + b"zz\r\n",
    "a request and an empty line": post("Content-Length: 2") + b"hi\r\n",
    "a body of 1500000 bytes": post("Content-Length: 1500000") + b"x" * 1_500_000,
    "5 KB of a body": post("Content-Length: 9000") + b"x" * 4000,
    "a body of 10000 bytes": post("Content-Length: 10000") + b"x" * 10_000,
    "49900 bytes of the next": b"x" * 49_900,
    "half a head": b"GET /echo HTTP/1.1\r\nHost:",
    "half a body": post("Content-Length: 10") + b"hello",
    "a large body": LARGE + b"x" * LARGE_BYTES,
    "a large body, all but the last byte": LARGE + b"x" * (LARGE_BYTES - 1),
}


class HalfClosableTransport(MemoryTransport):
    """Lets a connection linger, and counts nothing as unsent."""

    def can_write_eof(self):
        """Report that the transport can close one direction."""
        return True

    def write_eof(self):
        """Do nothing: scenarios check only what was written."""

    def resume_reading(self):
        """Do nothing: scenarios feed what the connection receives."""

    def pause_reading(self):
        """Do nothing: scenarios feed what the connection receives."""

    def abort(self):
        """Do nothing: scenarios check only what was written."""


class FullTransport(HalfClosableTransport):
    """Holds a response that its socket takes no part of, as the socket is full."""

    def __init__(self):
        super().__init__()
        self.socket, self.peer = socket.socketpair()
        self.socket.setblocking(False)
        self.aborted = False

    def write(self, data):
        """Fill the socket, and report that the transport's buffer is full."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.socket.send(bytes(READ_BYTES))
        self.protocol.pause_writing()

    def get_write_buffer_size(self):
        """Return a size that stays the same."""
        return LARGE_BYTES

    def get_extra_info(self, name, default=None):
        """Return the socket."""
        return self.socket if name == "socket" else default

    def abort(self):
        """Record that the caller was cut off."""
        self.aborted = True


class EchoGateway:
    """Answers each request with its method and its body."""

    def __init__(self):
        self.limits = CallerLimits()
        self.is_isolated = False
        self.answers = True
        self.ran = []

    def submit(self, request, give):
        """Answer at once, unless answers are withheld."""
        self.ran.append(request)
        if not self.answers:
            return EndedRun()
        body = b"<" + request.method.encode() + b" " + request.body + b">"
        give(Forwarded(LeafAnswer(200, (), body, "")))
        return EndedRun()


class CallersWorld:
    """A caller server in virtual time, and the transports of its connections."""

    def __init__(self, bounds: CallerBounds):
        self.loop = VirtualTimeLoop()
        self.gateway = EchoGateway()
        self.make_transport = HalfClosableTransport
        self.transports = []
        self.protocols = []
        self.loop.run_until_complete(self._start(bounds))

    async def _start(self, bounds):
        timers = VirtualLoopTimers(asyncio.get_running_loop())
        connections = CallerConnections(timers, bounds, lambda: self.gateway.limits)
        self.server = CallerServer(self.gateway, lambda: 0, connections)

    async def _feed(self, pieces, wait_ms, protocol=None):
        if protocol is None:
            protocol = self.server()
            self.transports.append(self.make_transport())
            self.transports[-1].protocol = protocol
            self.protocols.append(protocol)
            protocol.connection_made(self.transports[-1])
        for piece in pieces:
            protocol.data_received(piece)
            await asyncio.sleep(wait_ms / 1000.0)

    def feed(self, pieces, wait_ms=SETTLE_MS, protocol=None):
        """Send pieces on a new connection, or on one that is open."""
        self.loop.run_until_complete(self._feed(pieces, wait_ms, protocol))

    def wait(self, wait_ms):
        """Let virtual time pass."""
        self.loop.run_until_complete(asyncio.sleep(wait_ms / 1000.0))

    async def _end(self):
        for protocol in self.protocols:
            protocol.connection_lost(None)
        await asyncio.sleep(2.0)

    def end(self):
        """Close all connections and the loop."""
        self.loop.run_until_complete(self._end())
        self.loop.close()


def start(context, bounds):
    """Start a world that ends with the scenario."""
    context.callers = CallersWorld(bounds)
    context.closers = [*getattr(context, "closers", []), context.callers.end]


@given("callers with the default limits")
def step_default(context):
    start(context, CallerBounds())


@given("callers that may hold {count:d} bytes together")
def step_bounded(context, count):
    start(context, CallerBounds(unfinished_bytes=count))


@when('a caller sends "{form}"')
def step_send(context, form):
    context.callers.feed([FORMS[form]])


@given("callers that may have {count:d} connection")
def step_connections(context, count):
    start(context, CallerBounds(max_connections=count))


@given("callers that may hold {count:d} bytes together, and no answers")
def step_no_answers(context, count):
    start(context, CallerBounds(unfinished_bytes=count))
    context.callers.gateway.answers = False


@when("the limit on bodies is raised to {count:d} bytes")
def step_raise(context, count):
    gateway = context.callers.gateway
    gateway.limits = attrs.evolve(gateway.limits, max_body_bytes=count)


@when("a caller reads {size:d} KB of a large response each {period_ms:d} ms, 8 times")
def step_read(context, size, period_ms):
    world = context.callers
    world.make_transport = FullTransport
    world.feed([GET])
    transport = world.transports[-1]
    context.closers += [transport.socket.close, transport.peer.close]
    for _ in range(8):
        world.wait(period_ms)
        for _ in range(size * 1024 // READ_BYTES):
            transport.peer.recv(READ_BYTES)


@then("it is not cut off until it has read nothing for {wait_ms:d} ms")
def step_not_cut(context, wait_ms):
    transport = context.callers.transports[-1]
    assert not transport.aborted
    context.callers.wait(wait_ms)
    assert transport.aborted


@then("{count:d} bytes are counted")
def step_counted(context, count):
    assert context.callers.server.connections.held_bytes == count


@when('{count:d} callers send "{form}"')
def step_send_many(context, count, form):
    for _ in range(count):
        context.callers.feed([FORMS[form]])


@when('the same caller sends "{form}"')
def step_send_more(context, form):
    world = context.callers
    world.transports[-1].written = b""
    world.feed([FORMS[form]], protocol=world.protocols[-1])


@when("a caller waits for {wait_ms:d} ms")
def step_wait(context, wait_ms):
    if not context.callers.transports:
        context.callers.feed([])
    context.callers.wait(wait_ms)


@when(
    "the same caller sends a body of {size:d} bytes in pieces, one each {wait_ms:d} ms"
)
def step_slow(context, size, wait_ms):
    world = context.callers
    pieces = [post(f"Content-Length: {size}"), *[b"x"] * size]
    world.feed(pieces, wait_ms, world.protocols[-1])


@when("the server closes its connections")
def step_close(context):
    async def close():
        context.callers.server.close_idle()

    context.callers.loop.run_until_complete(close())


@then('it receives "{start_of_response}"')
def step_received(context, start_of_response):
    written = context.callers.transports[-1].written
    assert written.startswith(start_of_response.encode()), written[:200]


@then('the first of the others received "{first}" and "{second}"')
def step_shed(context, first, second):
    written = context.callers.transports[0].written
    assert written.startswith(first.encode()), written[:200]
    assert second.encode() in written, written[:200]


@then("no request ran")
def step_none_ran(context):
    assert not context.callers.gateway.ran


def encode(body: bytes, chunk_bytes: int) -> bytes:
    """Return a request with a body; in chunks unless their size is 0."""
    if not chunk_bytes:
        return post(f"Content-Length: {len(body)}") + body
    starts = range(0, len(body), chunk_bytes)
    chunks = [body[start : start + chunk_bytes] for start in starts]
    framed = [f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n" for chunk in chunks]
    return CHUNKED + b"".join(framed) + b"0\r\n\r\n"


GET = f"GET /echo HTTP/1.1\r\n{HEAD_LINES}\r\n".encode()
BODIES = st.one_of(
    st.binary(max_size=40),
    st.lists(st.sampled_from([b"\r", b"\n", b"0", b"a"]), max_size=30).map(b"".join),
    st.integers(0, 9000).map(lambda size: b"y" * size),
)
REQUESTS = st.lists(st.tuples(BODIES, st.integers(0, 50), st.booleans()), max_size=6)
CUTS = st.lists(st.integers(0, 20_000), max_size=30)


@then("any sequence of requests in any pieces gets the same answers in its order")
def step_pieces(context):
    world = context.callers

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, deadline=None, database=None)
    @for_any(REQUESTS, CUTS)
    def check(requests, cuts):
        sent = b"".join(
            encode(body, chunk) + (b"\r\n" + GET if then_get else b"")
            for body, chunk, then_get in requests
        )
        ends = sorted({cut % (len(sent) + 1) for cut in cuts} | {0, len(sent)})
        pieces = [sent[a:b] for a, b in zip(ends, ends[1:], strict=False)]
        world.feed(pieces)
        world.wait(200)
        expected = [
            part
            for body, _, then_get in requests
            for part in [b"<POST " + body + b">", *[b"<GET >"] * then_get]
        ]
        answers = world.transports[-1].written.split(b"HTTP/1.1 200 OK\r\n")[1:]
        assert [a.partition(b"\r\n\r\n")[2] for a in answers] == expected

    check()


@then("any sequence of reservations and releases keeps the sum within the limit")
def step_budget(context):
    owners = st.integers(0, 5)
    changes = st.lists(st.tuples(owners, st.integers(0, 400) | st.none()))

    @settings(derandomize=True, deadline=None, database=None)
    @for_any(changes)
    def check(steps):
        budget = ByteBudget(1000)
        held: dict[int, int] = {}
        for owner, count in steps:
            if count is None:
                assert budget.release(owner) == held.pop(owner, 0)
                continue
            others = sum(held.values()) - held.get(owner, 0)
            fits = others + count <= 1000
            assert budget.reserve(owner, count) is fits
            if fits:
                held[owner] = count
            assert budget.held == sum(held.values()) <= 1000

    check()


@then(
    "any unfinished requests are shed in the order of bytes times age until there "
    "is room"
)
def step_shed_order(context):
    ages = st.integers(0, 4000)
    records = st.lists(st.tuples(st.integers(1, 300), ages, st.sampled_from(Stage)))

    @settings(derandomize=True, deadline=None, database=None)
    @for_any(records, st.integers(1, 2000))
    def check(others, asked):
        budget = ByteBudget(1000)
        unfinished = UnfinishedRequests(budget, ProgressTimeouts())
        now_ms = 5000.0
        kept = {}
        for number, (held, age_ms, stage) in enumerate(others):
            if budget.held + held <= 1000:
                unfinished.note(number, stage, held, True, now_ms - age_ms)
                kept[number] = (stage, held, age_ms)
        if unfinished.note("asks", Stage.BODY, asked, True, now_ms):
            return
        chosen = unfinished.to_shed("asks", now_ms)
        assert not [o for o in chosen if o != "asks" and kept[o][0] is Stage.SERVED]
        costs = [kept[o][1] * (kept[o][2] + 1) for o in chosen if o != "asks"]
        assert costs == sorted(costs, reverse=True)
        for owner in chosen:
            unfinished.end(owner)
        assert "asks" in chosen or budget.held + asked <= 1000

    check()
