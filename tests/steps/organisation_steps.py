"""Steps on what callers and leafs see of organisations, without a network."""

from __future__ import annotations

import logging

import attrs
from behave import given, then, when
from caller_connection_steps import HalfClosableTransport
from hypothesis import given as for_any
from hypothesis import strategies as st
from serving_world import HOST, ServingWorld, make_configuration
from virtual_loop import VirtualLoopTimers, VirtualTimeLoop

from snipemount.model.forwarding import ForwardRequest
from snipemount.model.identity import Organisation
from snipemount.platform.caller_logger import CALLER_LOGGER
from snipemount.platform.caller_server import CallerServer
from snipemount.platform.headers import split_identity
from snipemount.platform.leaf_connection import encode_request
from snipemount.standins.scripted_leafs import ScriptedLeafs

WAIT_MS = 2000.0


class RecordingLeafs(ScriptedLeafs):
    """Records the bytes that each leaf would receive."""

    def __init__(self, timers):
        super().__init__(timers)
        self.received = []

    def send(self, leaf, request, time_left_ms, done):
        """Record the encoded request."""
        self.received.append(encode_request(leaf, request, time_left_ms).decode())
        return super().send(leaf, request, time_left_ms, done)


class ListHandler(logging.Handler):
    """Keeps the formatted records."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        """Keep a record."""
        self.texts.append(self.format(record))


@given("a caller interface without a configuration")
def step_interface(context):
    context.loop = VirtualTimeLoop()
    context.log = ListHandler()
    CALLER_LOGGER.addHandler(context.log)
    context.closers = [
        *getattr(context, "closers", []),
        context.loop.close,
        lambda: context.loop.run_until_complete(close_connection(context)),
        lambda: CALLER_LOGGER.removeHandler(context.log),
    ]

    async def open_connection():
        context.timers = VirtualLoopTimers(context.loop)
        leafs = RecordingLeafs(context.timers)
        context.serving = ServingWorld(timers=context.timers, leafs=leafs)
        context.server = CallerServer(context.serving.gateway)
        context.protocol = context.server()
        context.protocol.connection_made(HalfClosableTransport())

    context.loop.run_until_complete(open_connection())


async def close_connection(context):
    """End the connection and its task."""
    context.protocol.connection_lost(None)
    await context.timers.sleep(1.0)


@given("a caller interface over leafs that record what they receive")
def step_interface_leafs(context):
    step_interface(context)
    context.serving.start()


@given("a configuration of version {version:d} in which acme holds {keys} and {public}")
@when("a configuration of version {version:d} in which acme holds {keys} and {public}")
def step_configuration(context, version, keys, public):
    before = make_configuration(version)
    routes = tuple(attrs.evolve(r, public=r.name in public) for r in before.routes)
    organisations = (Organisation("acme", frozenset(keys.split(","))),)
    context.serving.gateway.put_in_force(
        attrs.evolve(before, routes=routes, organisations=organisations)
    )


@when('a "{route}" request with {fields} is read')
def step_request(context, route, fields):
    lines = fields.replace("%01", "\x01").replace("; ", "\r\n")
    head = f"GET /{route}/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: abc\r\n"
    transport = context.protocol.transport
    transport.written = b""
    context.serving.leafs.received.clear()

    async def serve():
        context.protocol.data_received(f"{head}{lines}\r\n\r\n".encode())
        await context.server.wait_until_idle(
            context.timers, context.timers.now_ms() + WAIT_MS
        )

    context.loop.run_until_complete(serve())
    context.answer = transport.written.decode("latin-1")


@then("it is answered {status:d}")
def step_status(context, status):
    assert context.answer[9:12] == str(status), context.answer[:200]


@then("leafs are told {told}")
def step_told(context, told):
    received = context.serving.leafs.received
    assert bool(received) == (told != "nothing"), received
    expected = [] if told == "nobody" else [f"X-Tenant: {told}"]
    for text in received:
        lines = [x for x in text.split("\r\n") if x.lower().startswith("x-tenant")]
        assert lines == expected, text


@then("no leaf or log line has a key")
def step_no_key(context):
    texts = [*context.serving.leafs.received, *context.log.texts]
    shown = f"{texts} {context.serving.lines} {context.serving.gateway.configuration}"
    assert "k-acme" not in shown and "k-wrong" not in shown, shown


@then("the answer names the request and the scheme")
def step_answer_headers(context):
    assert "X-Request-Id: abc\r\n" in context.answer, context.answer
    assert "WWW-Authenticate: Token\r\n" in context.answer, context.answer


@then('one line and one count say "{result}" for route "{route}"')
def step_line(context, result, route):
    (line,) = context.serving.lines
    assert (line["result"], line["route"]) == (result, route), line
    text = context.serving.metrics.render().decode()
    assert f'snipemount_requests_total{{result="{result}",route="{route}"}} 1.0' in text


@then('a leaf received "{lines}"')
def step_received(context, lines):
    (text,) = context.serving.leafs.received
    assert lines.replace("|", "\r\n") in text, text


@then("for any headers of a caller those that are forwarded keep their order")
def step_order(context):
    names = st.sampled_from(["A", "authorization", "X-Tenant", "X-TENANT", "B"])

    @for_any(st.lists(st.tuples(names, st.text(max_size=2)), max_size=6).map(tuple))
    def check(headers):
        rest, identity = split_identity(headers)
        request = ForwardRequest(
            "abc", "GET", "/", HOST, rest, b"", None, identity_headers=identity
        )
        assert request.forwarded_headers == headers

    check()
