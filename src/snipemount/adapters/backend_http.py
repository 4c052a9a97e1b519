"""Backend servers over HTTP, one session for each counted connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import attrs

from ..decisions.owner_messages import Lost, NotConnected, Refused, Stopped
from ..errors import DecodeError
from ..model.exchange import Reason
from ..ports.backend import BackendPort
from .leg_codec import decode_answer, encode_exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ..decisions.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer

LEG_PATH = "/v1/legs"
HEALTH_PATH = "/healthz"
REASON_HEADER = "X-Refused"
START_HEADER = "X-Start-Id"
MAX_ANSWER_BYTES = 4_000_000
JSON_HEADERS = {"Content-Type": "application/json"}
STATUS_STOPPED = 499


@attrs.define(eq=False)
class HttpConnection:
    """A session that holds one TCP connection."""

    session: aiohttp.ClientSession
    url: str
    task: asyncio.Task[None] | None = None


class HttpBackend(BackendPort):
    """Port to backend servers that speak HTTP and JSON."""

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], HttpConnection] = {}
        self._cancels: dict[str, aiohttp.ClientSession] = {}
        self._urls: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(
        self, server: BackendServer, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Open a connection by asking for the server's health."""
        url = f"http://{server.host}:{server.port}"
        self._urls[server.name] = url
        connection = HttpConnection(self._session(), url)
        self._connections[server.name, connection_id] = connection
        self._spawn(connection, self._ping(connection, done))

    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Ask for the server's health on an open connection."""
        connection = self._connections.get((server, connection_id))
        if connection is None:
            asyncio.get_running_loop().call_soon(done, False)
            return
        self._spawn(connection, self._ping(connection, done))

    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Run an exchange on an idle connection."""
        connection = self._connections.get((server, connection_id))
        if connection is None:
            asyncio.get_running_loop().call_soon(done, NotConnected())
            return
        self._spawn(connection, self._send(connection, exchange, budget_ms, done))

    def cancel(self, server: str, exchange: Exchange) -> None:
        """Tell the server, on a connection of its own, to stop an exchange."""
        url = self._urls.get(server)
        if url is None:
            return
        session = self._cancels.get(server)
        if session is None:
            session = self._cancels[server] = self._session()
        path = f"{url}{LEG_PATH}/{exchange.request_id}/{exchange.exchange_id}"
        self._spawn(None, self._delete(session, path))

    def close(self, server: str, connection_id: int) -> None:
        """Close a connection; its exchange gets no outcome any more."""
        connection = self._connections.pop((server, connection_id), None)
        if connection is None:
            return
        if connection.task is not None:
            connection.task.cancel()
        self._spawn(None, connection.session.close())

    async def close_all(self) -> None:
        """Close every connection."""
        for server, connection_id in list(self._connections):
            self.close(server, connection_id)
        for session in self._cancels.values():
            await session.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @staticmethod
    def _session() -> aiohttp.ClientSession:
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=3600)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def _spawn(
        self, connection: HttpConnection | None, work: Coroutine[None, None, None]
    ) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if connection is not None:
            connection.task = task

    @staticmethod
    async def _ping(connection: HttpConnection, done: Callable[[bool], None]) -> None:
        try:
            async with connection.session.get(connection.url + HEALTH_PATH) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            done(False)
            return
        done(True)

    async def _send(
        self,
        connection: HttpConnection,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        body = encode_exchange(exchange, budget_ms)
        try:
            async with connection.session.post(
                connection.url + LEG_PATH, data=body, headers=JSON_HEADERS
            ) as response:
                outcome = await self._outcome(response, exchange)
        except aiohttp.ClientConnectorError:
            outcome = NotConnected()
        except aiohttp.ClientPayloadError:
            outcome = Lost(Reason.MALFORMED)
        except (aiohttp.ClientError, OSError):
            outcome = Lost(Reason.CONNECTION_LOST)
        done(outcome)

    @staticmethod
    async def _outcome(
        response: aiohttp.ClientResponse, exchange: Exchange
    ) -> BackendOutcome:
        length = response.content_length
        if length is None or length > MAX_ANSWER_BYTES:
            response.close()
            return Lost(Reason.MALFORMED)
        body = await response.read()
        if response.status == STATUS_STOPPED:
            return Stopped()
        reason = response.headers.get(REASON_HEADER, "")
        if response.status == 503 and reason.upper() in Reason.__members__:
            start_id = response.headers.get(START_HEADER)
            return Refused(Reason[reason.upper()], start_id)
        if response.status != 200:
            return Lost(Reason.BACKEND_ERROR)
        try:
            return decode_answer(body, exchange)
        except DecodeError:
            return Lost(Reason.MALFORMED)

    @staticmethod
    async def _delete(session: aiohttp.ClientSession, path: str) -> None:
        try:
            async with session.delete(path) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            return


__all__ = [
    "HEALTH_PATH",
    "LEG_PATH",
    "REASON_HEADER",
    "START_HEADER",
    "STATUS_STOPPED",
    "HttpBackend",
]
