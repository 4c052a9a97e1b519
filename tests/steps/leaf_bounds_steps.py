"""Steps on leafs that send too much on one connection."""

from __future__ import annotations

import asyncio

import attrs
from behave import given, then, when
from hypothesis import example
from hypothesis import given as for_any
from hypothesis import strategies as st
from leaf_connection_world import (
    CHUNKED_HEAD,
    HEAD,
    REQUEST,
    begin_request,
    deliver,
    make_response,
)
from serving_world import make_leaf

from snipemount.model.forwarding import (
    LeafAnswer,
)
from snipemount.platform.leaf_connection import (
    LeafConnectionState,
)
from snipemount.platform.pending_bytes import PendingBytes

# First bytes, and what follows them again and again.
ENDLESS = {
    "a header line": (HEAD + b"X-Long: ", b"a" * 65536),
    "header lines": (HEAD, b"".join(b"X-%d: 1\r\n" % n for n in range(6000))),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\nX-A: 1\r\n\r\n" * 2000),
    "a body without a length": (HEAD + b"\r\n", b"b" * 65536),
    "chunks": (CHUNKED_HEAD, (b"1000\r\n" + b"c" * 4096 + b"\r\n") * 16),
    "a chunk size": (CHUNKED_HEAD + b"1;", b"d" * 65536),
    "trailers": (CHUNKED_HEAD + b"0\r\n", b"X-T: 1\r\n" * 8000),
    "responses to other requests": (b"", make_response("other") * 500),
    "chunks of one byte": (CHUNKED_HEAD, b"1\r\nx\r\n" * 10_000),
    "a body that is too long": (
        HEAD + b"Content-Length: 8388609\r\n\r\n",
        b"b" * 65536,
    ),
}
MAX_SENT_BYTES = 64 * 2**20
LARGE_BODY = bytes(range(256)) * (6 * 2**12)


def send_without_end(connection, part):
    """Feed a connection until it is closed; return the bytes that it has read."""
    first, repeated = ENDLESS[part]
    connection.data_received(first or repeated)
    sent = len(first or repeated)
    while connection.state is not LeafConnectionState.CLOSED and sent < MAX_SENT_BYTES:
        deliver(connection, repeated)
        sent += len(repeated)
    return sent


@when("the leaf sends {part} without end")
def step_without_end(context, part):
    context.sent_bytes = send_without_end(context.connection, part)


@then("at most {limit_mib:d} MiB were read")
def step_read(context, limit_mib):
    assert context.sent_bytes <= limit_mib * 2**20 + 65536 * 2, context.sent_bytes


@given("{count:d} connections to leafs with a pending request each")
def step_many(context, count):
    loop = asyncio.new_event_loop()
    context.closers = [*getattr(context, "closers", []), loop.close]
    pending = PendingBytes()
    context.many = [begin_request(loop, pending) for _ in range(count)]
    context.pending = pending


@when("all but one leaf send a body without a length without end")
def step_many_endless(context):
    first, repeated = ENDLESS["a body without a length"]
    *endless, last = (connection for connection, _, _ in context.many)
    for connection in endless:
        connection.data_received(first)
    context.most_held = 0
    for _ in range(200):
        for connection in endless:
            deliver(connection, repeated)
            context.most_held = max(context.most_held, context.pending.held)
    last.data_received(make_response())


@then("their connections hold at most {limit_mib:d} MiB at any time")
def step_held(context, limit_mib):
    assert context.most_held <= limit_mib * 2**20, context.most_held
    assert context.pending.held == 0, context.pending.held


@then("the remaining leaf's response is accepted")
def step_remaining(context):
    (report,) = context.many[-1][1]
    assert isinstance(report.outcome, LeafAnswer), report


@then("at most {limit_kib:d} KiB were parsed")
def step_parsed(context, limit_kib):
    (report,) = context.reports
    assert report.bytes_read <= limit_kib * 2**10, report.bytes_read


def start_large(context, head):
    """Begin a response with a large body while the pace is used up."""
    connection = context.connection
    while connection._pace.allows(2**16, 2**30):
        pass
    connection.data_received(head)


def deliver_parts(connection, data):
    """Let a connection receive data in parts, as it reads."""
    for start in range(0, len(data), 2**18):
        deliver(connection, data[start : start + 2**18])


@when("the leaf sends 6 MiB in chunks while other answers use up the pace")
def step_large_chunks(context):
    start_large(context, CHUNKED_HEAD)
    for start in range(0, len(LARGE_BODY), 2**15):
        chunk = LARGE_BODY[start : start + 2**15]
        deliver(context.connection, b"8000\r\n" + chunk + b"\r\n")
    deliver(context.connection, b"0\r\n\r\n")
    timers = context.connection._transport.timers
    context.ended_ms = timers.now_ms()
    while not context.reports:
        timers.run_until(timers.now_ms() + 1.0)
        context.ended_ms = timers.now_ms()


@then("the whole body is accepted after more than {least_ms:g} ms")
def step_large_accepted(context, least_ms):
    (report,) = context.reports
    assert report.outcome.body == LARGE_BODY
    assert context.ended_ms > least_ms, context.ended_ms


@when("the leaf sends 6 MiB to its end while other answers use up the pace")
def step_large_end(context):
    start_large(context, HEAD + b"\r\n")
    deliver_parts(context.connection, LARGE_BODY)
    assert context.connection._transport.paused
    assert not context.reports
    context.connection.connection_lost(None)


@then("the whole body is accepted at once")
def step_large_at_once(context):
    (report,) = context.reports
    assert report.outcome.body == LARGE_BODY


@then("however data is split, what follows a response is no answer to the next request")
def step_nothing_follows(context):
    loop = asyncio.new_event_loop()
    context.closers = [*getattr(context, "closers", []), loop.close]
    following = make_response("def")
    next_request = attrs.evolve(REQUEST, request_id="def")

    # A response that ends with a slice of the data is to be told from what follows.
    ending = [
        size
        for size in range(9000)
        if len(make_response(body=b"z" * size)) % 2**11 == 0
    ]

    @for_any(
        st.integers(0, 9000) | st.sampled_from(ending),
        st.just(0) | st.integers(0, 9000),
        st.booleans(),
    )
    @example(ending[0], 0, False)
    def holds(body_bytes, split, chunked):
        body = b"z" * body_bytes
        first = make_response(body=body)
        if chunked:
            first = CHUNKED_HEAD + b"%x\r\n%s\r\n0\r\n\r\n" % (
                body_bytes or 1,
                body or b"z",
            )
        connection, reports, _ = begin_request(loop)
        later = []
        done = connection._done

        def send_next(report):
            done(report)
            if connection.state is LeafConnectionState.IDLE:
                connection.send(
                    make_leaf("i-1", "shard0"), next_request, 900.0, later.append
                )

        connection._done = send_next
        split = min(split, len(first))
        connection.data_received(first[:split]) if split else None
        assert not reports or split == len(first)
        if split < len(first):
            connection.data_received(first[split:] + following)
            assert not later, later
            assert connection.state is LeafConnectionState.CLOSED
        (report,) = reports
        assert isinstance(report.outcome, LeafAnswer), report

    holds()
