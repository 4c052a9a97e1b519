"""Stand-in for a backend server, served over HTTP."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from ..adapters.backend_http import (
    HEALTH_PATH,
    LEG_PATH,
    REFUSAL_REASON_HEADER,
    START_ID_HEADER,
    STATUS_CANCELLED,
)
from ..adapters.leg_codec import decode_exchange_document, encode_answer
from ..decisions.servers.owner_messages import Answered, Lost, Refused, Stopped
from ..errors import DecodeError
from ..model.exchange import Exchange, Reason
from ..model.request import Priority

if TYPE_CHECKING:
    from ..decisions.servers.owner_messages import BackendOutcome
    from .backend_model import BackendModel


class BackendStandin:
    """Serves one backend model over HTTP.

    Parameters
    ----------
    model : BackendModel
        Decides the outcome and the duration of each exchange.

    Attributes
    ----------
    truncate : bool
        Whether only the first half of each response body is sent before the
        connection is closed.
    """

    def __init__(self, model: BackendModel) -> None:
        self.model = model
        self.truncate = False
        self._transports: set[asyncio.BaseTransport] = set()
        model.on_crash = self._drop_connections

    def make_app(self) -> web.Application:
        """Return a web application that serves the model."""
        app = web.Application()
        app.router.add_get(HEALTH_PATH, self._health)
        app.router.add_post(LEG_PATH, self._run_exchange)
        app.router.add_delete(LEG_PATH + "/{request}/{exchange}", self._cancel)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        self._track_connection(request)
        return web.Response(text="alive\n")

    async def _run_exchange(self, request: web.Request) -> web.StreamResponse:
        self._track_connection(request)
        body = await request.read()
        try:
            exchange = self._decode(body)
        except (DecodeError, KeyError, TypeError, ValueError):
            return web.Response(status=400)
        pending_outcome: asyncio.Future[BackendOutcome] = (
            asyncio.get_running_loop().create_future()
        )

        def done(outcome: BackendOutcome) -> None:
            if not pending_outcome.done():
                pending_outcome.set_result(outcome)

        self.model.run(exchange, exchange.budget_ms, done)
        try:
            outcome = await pending_outcome
        except asyncio.CancelledError:
            self.model.cancel(exchange.request_id, exchange.exchange_id)
            raise
        return self._response(request, exchange, outcome)

    async def _cancel(self, request: web.Request) -> web.Response:
        self._track_connection(request)
        try:
            exchange_id = int(request.match_info["exchange"])
        except ValueError:
            return web.Response(status=400)
        self.model.cancel(request.match_info["request"], exchange_id)
        return web.Response(status=204)

    def _track_connection(self, request: web.Request) -> None:
        transport = request.transport
        if transport is None or transport in self._transports:
            return
        self._remove_closed_connections()
        if not self.model.connect():
            transport.close()
            raise web.HTTPServiceUnavailable
        self._transports.add(transport)

    def _remove_closed_connections(self) -> None:
        for transport in [t for t in self._transports if t.is_closing()]:
            self._transports.discard(transport)
            self.model.disconnect()

    def _drop_connections(self) -> None:
        transports, self._transports = self._transports, set()
        for transport in transports:
            transport.close()

    @staticmethod
    def _decode(body: bytes) -> Exchange:
        document = decode_exchange_document(body)
        return Exchange(
            exchange_id=int(document["exchange_id"]),
            request_id=str(document["request_id"]),
            service="",
            server="",
            snapshot=str(document["snapshot"]),
            shards=tuple(int(shard) for shard in document["shards"]),
            route=str(document["route"]),
            query=str(document["query"]),
            caller="",
            priority=Priority.NORMAL,
            budget_ms=float(document["deadline_ms"]),
            top_k=int(document["top_k"]),
            repeatable=True,
            fingerprint="",
        )

    @staticmethod
    def _send_truncated(request: web.Request, body: bytes) -> web.Response:
        """Send half of a body under a Content-Length of all of it, then close."""
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        if request.transport is not None:
            request.transport.write(head.encode() + body[: len(body) // 2])
            request.transport.close()
        return web.Response(status=500)

    def _response(
        self, request: web.Request, exchange: Exchange, outcome: BackendOutcome
    ) -> web.Response:
        match outcome:
            case Answered():
                body = encode_answer(exchange, outcome)
                if self.truncate:
                    return self._send_truncated(request, body)
                return web.Response(body=body, content_type="application/json")
            case Refused(reason, start_id):
                headers = {REFUSAL_REASON_HEADER: reason.name.lower()}
                headers[START_ID_HEADER] = start_id or ""
                return web.Response(status=503, headers=headers)
            case Stopped():
                return web.Response(status=STATUS_CANCELLED)
            case Lost(Reason.CONNECTION_LOST):
                if request.transport is not None:
                    request.transport.close()
                return web.Response(status=500)
        return web.Response(status=500)


__all__ = ["BackendStandin"]
