"""HTTP client for backend servers, with one client session per connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import attrs

from ..checked_connector import CheckedConnector
from ..decisions.servers.owner_messages import Lost, NotConnected, Refused, Stopped
from ..errors import DecodeError
from ..model.exchange import Reason
from ..ports.backend import BackendPort
from .leg_codec import decode_answer, encode_exchange

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ..decisions.servers.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer

LEG_PATH = "/v1/legs"
HEALTH_PATH = "/healthz"
REFUSAL_REASON_HEADER = "X-Refused"
START_ID_HEADER = "X-Start-Id"
MAX_RESPONSE_BYTES = 4_000_000
JSON_HEADERS = {"Content-Type": "application/json"}
STATUS_CANCELLED = 499


@attrs.define(eq=False)
class HttpConnection:
    """A client session that is limited to one TCP connection.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose connector keeps at most one connection.
    base_url : str
        URL of the server, without a path.
    task : asyncio.Task or None
        Task that runs the latest request; cancelled when the connection is closed.
    """

    session: aiohttp.ClientSession
    base_url: str
    task: asyncio.Task[None] | None = None


class HttpBackend(BackendPort):
    """Sends exchanges to backend servers as JSON over HTTP.

    Cancellations are sent on a separate connection per server, which does not count
    towards the server's connection limit.
    """

    def __init__(self) -> None:
        self._connections: dict[tuple[str, int], HttpConnection] = {}
        self._cancel_sessions: dict[str, aiohttp.ClientSession] = {}
        self._base_urls: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(
        self, server: BackendServer, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Open a connection by requesting the server's health path."""
        base_url = f"http://{server.host}:{server.port}"
        self._base_urls[server.name] = base_url
        connection = HttpConnection(self._make_session(), base_url)
        self._connections[server.name, connection_id] = connection
        self._start_task(connection, self._check_health(connection, done))

    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Request the server's health path on an open connection."""
        connection = self._connections.get((server, connection_id))
        if connection is None:
            asyncio.get_running_loop().call_soon(done, False)
            return
        self._start_task(connection, self._check_health(connection, done))

    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Send an exchange on an idle connection."""
        connection = self._connections.get((server, connection_id))
        if connection is None:
            asyncio.get_running_loop().call_soon(done, NotConnected())
            return
        self._start_task(
            connection, self._send_exchange(connection, exchange, budget_ms, done)
        )

    def cancel(self, server: str, exchange: Exchange) -> None:
        """Request on the server's cancellation connection that it stops an exchange."""
        base_url = self._base_urls.get(server)
        if base_url is None:
            return
        session = self._cancel_sessions.get(server)
        if session is None:
            session = self._cancel_sessions[server] = self._make_session()
        url = f"{base_url}{LEG_PATH}/{exchange.request_id}/{exchange.exchange_id}"
        self._start_task(None, self._send_cancellation(session, url))

    def close(self, server: str, connection_id: int) -> None:
        """Close a connection; `done` of its exchange is not called any more."""
        connection = self._connections.pop((server, connection_id), None)
        if connection is None:
            return
        if connection.task is not None:
            connection.task.cancel()
        self._start_task(None, connection.session.close())

    async def close_all(self) -> None:
        """Close all connections and wait for the running tasks."""
        for server, connection_id in list(self._connections):
            self.close(server, connection_id)
        for session in self._cancel_sessions.values():
            await session.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @staticmethod
    def _make_session() -> aiohttp.ClientSession:
        connector = CheckedConnector(limit=1, keepalive_timeout=3600)
        return aiohttp.ClientSession(
            connector=connector,
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def _start_task(
        self, connection: HttpConnection | None, coroutine: Coroutine[None, None, None]
    ) -> None:
        task: asyncio.Task[None] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if connection is not None:
            connection.task = task

    @staticmethod
    async def _check_health(
        connection: HttpConnection, done: Callable[[bool], None]
    ) -> None:
        try:
            async with connection.session.get(
                connection.base_url + HEALTH_PATH
            ) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            done(False)
            return
        done(True)

    async def _send_exchange(
        self,
        connection: HttpConnection,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        body = encode_exchange(exchange, budget_ms)
        try:
            async with connection.session.post(
                connection.base_url + LEG_PATH, data=body, headers=JSON_HEADERS
            ) as response:
                outcome = await self._read_outcome(response, exchange)
        except aiohttp.ClientConnectorError:
            outcome = NotConnected()
        except (aiohttp.ClientPayloadError, aiohttp.ClientResponseError):
            outcome = Lost(Reason.MALFORMED)
        except (aiohttp.ClientError, OSError):
            outcome = Lost(Reason.CONNECTION_LOST)
        done(outcome)

    @staticmethod
    async def _read_outcome(
        response: aiohttp.ClientResponse, exchange: Exchange
    ) -> BackendOutcome:
        length = response.content_length
        if length is None or length > MAX_RESPONSE_BYTES:
            response.close()
            return Lost(Reason.MALFORMED)
        body = await response.read()
        if response.status == STATUS_CANCELLED:
            return Stopped()
        reason = response.headers.get(REFUSAL_REASON_HEADER, "")
        if response.status == 503 and reason.upper() in Reason.__members__:
            start_id = response.headers.get(START_ID_HEADER)
            return Refused(Reason[reason.upper()], start_id)
        if response.status != 200:
            return Lost(Reason.BACKEND_ERROR)
        try:
            return decode_answer(body, exchange)
        except DecodeError:
            return Lost(Reason.MALFORMED)

    @staticmethod
    async def _send_cancellation(
        session: aiohttp.ClientSession, cancel_url: str
    ) -> None:
        try:
            async with session.delete(cancel_url) as response:
                await response.read()
        except (aiohttp.ClientError, OSError):
            return


__all__ = [
    "HEALTH_PATH",
    "LEG_PATH",
    "REFUSAL_REASON_HEADER",
    "START_ID_HEADER",
    "STATUS_CANCELLED",
    "HttpBackend",
]
