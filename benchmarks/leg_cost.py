"""Client-side CPU time for one leg, by transport.

The servers run on a separate thread; only the CPU time of the client thread is
measured. All rows come from one run, so their ratios are more reliable than the
absolute values.
"""

from __future__ import annotations

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random

import aiohttp
import attrs
import cbor2
import uvloop
from aiohttp import web
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from snipemount.adapters.backend_http import LEG_PATH, HttpBackend
from snipemount.adapters.leg_codec import decode_exchange_document
from snipemount.adapters.mesh_codec import FrameEncoder, decode_frame
from snipemount.decisions.query.query_run import QueryRun
from snipemount.decisions.query.run_actions import SendExchange
from snipemount.decisions.query.service_state import ServiceState
from snipemount.decisions.servers.owner_messages import Answered, BackendOutcome
from snipemount.model.exchange import Exchange, ExchangeReply, Fate, Partial
from snipemount.model.fleet import BackendServer, ServerLeaf, ShardMap, Snapshot
from snipemount.model.profile import Profile
from snipemount.model.request import Priority, Request
from snipemount.ports.peer import ReportExchange, SubmitExchange
from snipemount.standins.backend_model import leaf_hits
from snipemount.standins.harness import free_port

HOST = "127.0.0.1"
MEASURED_CALLS = 2000
WARM_UP_CALLS = 200
REQUEST_BYTES = 200
REPLY_BODY = b"x" * 300
LEGS_PER_QUERY = 58
US_PER_S = 1e6


@attrs.frozen
class LegCostRow:
    """Measured CPU time of one way to carry legs.

    Parameters
    ----------
    label : str
        Transport, encoding and legs per message, as printed in the table.
    us_per_leg : float
        CPU time of the client thread for one leg, in microseconds.
    """

    label: str
    us_per_leg: float


def make_exchange(number: int, shards: tuple[int, ...] = (0, 1)) -> Exchange:
    """Return an exchange that takes about 200 bytes when encoded."""
    return Exchange(
        exchange_id=number,
        request_id=f"daemon.1.{number // LEGS_PER_QUERY}",
        service="finder",
        server=f"finder-{number % LEGS_PER_QUERY}",
        snapshot="finder/v1/i1/1",
        shards=shards,
        route="search",
        query='{"text":"' + "q" * 60 + '"}',
        caller="bench",
        priority=Priority.NORMAL,
        budget_ms=370.0,
        top_k=10,
        repeatable=True,
        fingerprint="0" * 24,
    )


def make_reply(exchange: Exchange) -> ExchangeReply:
    """Return a reply with three hits for each shard."""
    partials = tuple(
        Partial(shard, exchange.snapshot, leaf_hits("s", shard, "q", 3))
        for shard in exchange.shards
    )
    return ExchangeReply(
        exchange.exchange_id,
        exchange.request_id,
        exchange.server,
        Fate.ANSWERED,
        partials=partials,
    )


class Servers:
    """An HTTP and a websocket server that share a separate thread."""

    def __init__(self) -> None:
        self.http_port = free_port()
        self.ws_port = free_port()
        self._ready = threading.Event()
        self._loop = uvloop.new_event_loop()
        self._stop = asyncio.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def stop(self) -> None:
        """Stop the servers and wait for the thread to end."""
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    def _run(self) -> None:
        self._loop.run_until_complete(self._serve())

    async def _serve(self) -> None:
        app = web.Application()
        app.router.add_post("/bare", self._bare)
        app.router.add_post(LEG_PATH, self._leg)
        app.router.add_get("/healthz", self._health)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, HOST, self.http_port).start()
        async with serve(self._echo, HOST, self.ws_port, compression=None):
            self._ready.set()
            await self._stop.wait()
        await runner.cleanup()

    @staticmethod
    async def _bare(request: web.Request) -> web.Response:
        await request.read()
        return web.Response(body=REPLY_BODY)

    @staticmethod
    async def _health(request: web.Request) -> web.Response:
        return web.Response(text="alive")

    @staticmethod
    async def _leg(request: web.Request) -> web.Response:
        document = decode_exchange_document(await request.read())
        hits = [[f"{n}-1", 0.5] for n in range(3)]
        partials = [
            {
                "shard": shard,
                "snapshot": document["snapshot"],
                "complete": True,
                "hits": hits,
            }
            for shard in document["shards"]
        ]
        return web.json_response(
            {
                "request_id": document["request_id"],
                "exchange_id": document["exchange_id"],
                "start_id": "s",
                "draining": False,
                "partials": partials,
            }
        )

    @staticmethod
    async def _echo(connection: ServerConnection) -> None:
        async for frame in connection:
            await connection.send(frame)


async def measure(
    label: str, legs: int, call: Callable[[], Awaitable[None]], rounds: int
) -> LegCostRow:
    """Measure the CPU time that this thread takes for one leg.

    Parameters
    ----------
    label : str
        Label of the row.
    legs : int
        Legs that one call carries.
    call : Callable
        Sends the legs and awaits their replies.
    rounds : int
        Number of measured calls, after the warm-up.
    """
    for _ in range(WARM_UP_CALLS):
        await call()
    started_s = time.thread_time()
    for _ in range(rounds):
        await call()
    cpu_s = time.thread_time() - started_s
    return LegCostRow(label, cpu_s * US_PER_S / (rounds * legs))


async def http_rows(servers: Servers) -> list[LegCostRow]:
    """Measure exchanges over HTTP with plain aiohttp and with the backend adapter."""
    body = b"q" * REQUEST_BYTES
    url = f"http://{HOST}:{servers.http_port}/bare"
    rows = []
    async with aiohttp.ClientSession() as session:

        async def bare() -> None:
            async with session.post(url, data=body) as response:
                await response.read()

        rows.append(
            await measure("HTTP exchange, bare aiohttp", 1, bare, MEASURED_CALLS)
        )
    backend = HttpBackend()
    server = BackendServer("s", "z", HOST, servers.http_port, (ServerLeaf(0, 2),), 25)
    opened: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
    backend.open(server, 1, opened.set_result)
    assert await opened
    ids = count(1)

    async def ours() -> None:
        done: asyncio.Future[BackendOutcome] = (
            asyncio.get_running_loop().create_future()
        )
        backend.send("s", 1, make_exchange(next(ids)), 370.0, done.set_result)
        assert isinstance(await done, Answered)

    rows.append(await measure("HTTP exchange, ours, 2 legs", 2, ours, MEASURED_CALLS))
    await backend.close_all()
    return rows


async def mesh_rows(servers: Servers) -> list[LegCostRow]:
    """Measure websocket messages of three sizes, plain and with the mesh codec."""
    rows = []
    url = f"ws://{HOST}:{servers.ws_port}/"
    async with connect(url, compression=None, proxy=None) as connection:
        for legs in (1, 8, 58):
            raw_legs = [["q" * REQUEST_BYTES, number] for number in range(legs)]
            rounds = max(100, MEASURED_CALLS // legs)

            async def bare(raw_legs: list[list[object]] = raw_legs) -> None:
                await connection.send(cbor2.dumps(raw_legs))
                cbor2.loads(await connection.recv())

            label = f"websocket + CBOR, bare, {legs} a message"
            rows.append(await measure(label, legs, bare, rounds))
            exchanges = [make_exchange(number) for number in range(legs)]
            replies = [make_reply(exchange) for exchange in exchanges]

            async def ours(
                exchanges: list[Exchange] = exchanges,
                replies: list[ExchangeReply] = replies,
            ) -> None:
                encoder = FrameEncoder()
                for exchange in exchanges:
                    encoder.add(SubmitExchange(exchange))
                await connection.send(encoder.take())
                await connection.recv()
                for reply in replies:
                    encoder.add(ReportExchange(reply))
                decode_frame(encoder.take())

            label = f"websocket + CBOR, ours, {legs} exchanges of 2 legs a message"
            rows.append(await measure(label, 2 * legs, ours, rounds))
    return rows


async def decision_rows() -> list[LegCostRow]:
    """Measure the decisions on a query of 58 legs on 29 servers, without transport."""
    servers = tuple(
        BackendServer(
            f"s{n}", "z", HOST, 1, (ServerLeaf(2 * n, 2), ServerLeaf(2 * n + 1, 2)), 25
        )
        for n in range(LEGS_PER_QUERY // 2)
    )
    shard_map = ShardMap(Snapshot("finder", "v1", "i1", 1), LEGS_PER_QUERY, servers)
    state = ServiceState(Profile("p"), "z", count(1), Random(1))
    sequence = count(1)

    async def query() -> None:
        request = Request(f"r{next(sequence)}", "finder", "search", '{"q":1}')
        shards = tuple(range(LEGS_PER_QUERY))
        run = QueryRun(request, shard_map, shards, state, 0, 0.0)
        for action in run.start(0.0):
            if isinstance(action, SendExchange):
                run.on_reply(make_reply(action.exchange), 1.0)
        assert run.finished

    label = "decisions of a query, 58 legs in 29 exchanges"
    return [await measure(label, LEGS_PER_QUERY, query, 200)]


async def main() -> None:
    """Print the CPU time of each row and its ratio to plain HTTP."""
    servers = Servers()
    rows = await http_rows(servers)
    rows += await mesh_rows(servers)
    rows += await decision_rows()
    servers.stop()
    base_us = rows[0].us_per_leg
    print(f"{'way':58} {'us/leg':>8} {'ratio':>7}")
    for row in rows:
        print(f"{row.label:58} {row.us_per_leg:8.1f} {row.us_per_leg / base_us:7.3f}")


if __name__ == "__main__":
    uvloop.run(main())
