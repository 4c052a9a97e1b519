"""Steps on the HTTP client that sends usage reports."""

from __future__ import annotations

import asyncio

from aiohttp import web
from behave import then

from snipemount.platform.node_file import Endpoint
from snipemount.platform.usage_client import UsageClient
from snipemount.ports.usage import ReportAccepted, ReportRejected, ReportUnanswered
from snipemount.standins.harness import free_port
from snipemount.timers import VirtualTimers

HOST = "127.0.0.1"


class PostedReports:
    """Takes reports over HTTP, with a response for each."""

    def __init__(self, responses) -> None:
        self.responses = list(responses)
        self.requests: list = []
        self.peers: list = []
        self.port = free_port()

    async def respond(self, request):
        """Record a request and respond; None does not respond."""
        self.requests.append((request.path, request.headers, await request.json()))
        self.peers.append(request.transport.get_extra_info("peername"))
        response = self.responses.pop(0)
        if response is None:
            await asyncio.sleep(1.0)
            return web.Response()
        status, headers = response
        return web.Response(status=status, headers=headers)


def post(server, count, timers=None, use=None):
    """Send reports one after the other; return the results."""
    results = []

    async def work():
        runner = web.ServerRunner(web.Server(server.respond), shutdown_timeout=0.0)
        await runner.setup()
        await web.TCPSite(runner, HOST, server.port).start()
        client = UsageClient(Endpoint(HOST, server.port), timers or VirtualTimers())
        for number in range(count):
            call = client.send("edge-1", 41, 70, {"a": 5}, 200.0, results.append)
            if use is not None:
                use(call)
            expected = number + 1
            for _ in range(60):
                if len(results) >= expected:
                    break
                await asyncio.sleep(0.01)
        await client.close()
        await runner.cleanup()

    asyncio.run(work())
    return results


@then("a report is posted with its headers and body over a connection of its own")
def step_posted(context):
    server = PostedReports([(200, {})] * 2)
    assert post(server, 2) == [ReportAccepted()] * 2
    path, headers, body = server.requests[0]
    assert path == "/usage"
    assert headers["X-Duty-Holder"] == "edge-1"
    assert headers["X-Fencing-Token"] == "41"
    assert body == {"window": 70, "counts": {"a": 5}}
    assert len(set(server.peers)) == 2


@then("responses 200, 429 with Retry-After, 500 and none at all are told apart")
def step_results(context):
    responses = [
        (200, {}),
        (429, {"Retry-After": "0.25"}),
        (500, {"Retry-After": "soon"}),
        None,
    ]
    results = post(PostedReports(responses), 4)
    assert results[:3] == [
        ReportAccepted(),
        ReportRejected(429, 250.0),
        ReportRejected(500),
    ]
    assert isinstance(results[3], ReportUnanswered)


@then("a call that was cancelled, or connects after its time has passed, sends nothing")
def step_nothing_sent(context):
    server = PostedReports([(200, {})] * 2)
    assert post(server, 1, use=lambda call: call.cancel()) == []

    class Suspended(VirtualTimers):
        """Boot time that passes by 10 s before one of the looks at it."""

        def __init__(self, look) -> None:
            super().__init__()
            self.looks_left = look

        def boot_ms(self):
            """Return the time, from one look on a later one."""
            if self.looks_left == 0:
                self.suspend(10_000.0)
            self.looks_left -= 1
            return super().boot_ms()

    for look in (1, 2):  # when the call begins to run, and when it is connected
        (result,) = post(server, 1, Suspended(look))
        assert isinstance(result, ReportUnanswered), look
        assert not server.requests, look
    # Between the check of the lease and the first turn of the task.
    timers = VirtualTimers()
    (result,) = post(server, 1, timers, lambda call: timers.suspend(10_000.0))
    assert isinstance(result, ReportUnanswered)
    assert not server.requests
