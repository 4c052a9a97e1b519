"""HTTP server of the caller interface."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from aiohttp import web

from ..errors import RequestError, ResultCode
from ..model.answer import Answer
from ..node.answer_store import answer_document
from .caller_codec import decode_request
from .result_code_runner import refusal_response

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..metrics import AnswerMetrics
    from ..model.request import Request
    from ..node.node import Node
    from ..settings import CallerSettings

QUERY_PATH = "/v1/query"
HISTOGRAM_PATH = "/v1/histograms"
JSON_TYPE = "application/json"
UNIQUE_HEADERS = ("Content-Type", "Content-Length", "Authorization")


class CallerInterface:
    """Serves callers over HTTP: queries, histograms and health checks.

    Parameters
    ----------
    node : Node
        Node of this daemon, which executes the requests.
    settings : CallerSettings
        Limits on the size and nesting depth of a body.
    metrics : AnswerMetrics
        Receives the answer to each valid request.
    logger : FilteringBoundLogger
        Logs answers with an internal error.

    Attributes
    ----------
    ready : bool
        False while the daemon is stopping; the readiness check then fails.
    """

    def __init__(
        self,
        node: Node,
        settings: CallerSettings,
        metrics: AnswerMetrics,
        logger: FilteringBoundLogger,
    ) -> None:
        self._node = node
        self._settings = settings
        self._metrics = metrics
        self._logger = logger
        self._request_ids = count(1)
        self.ready = True

    def make_app(self) -> web.Application:
        """Create the aiohttp application of the interface."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._error_middleware],
        )
        app.router.add_post(QUERY_PATH, self._handle_query)
        app.router.add_get(HISTOGRAM_PATH, self._handle_histograms)
        app.router.add_get("/healthz", self._handle_health)
        app.router.add_get("/readyz", self._handle_readiness)
        return app

    @web.middleware
    async def _error_middleware(
        self,
        request: web.Request,
        handler: web.Handler,  # type: ignore[name-defined]
    ) -> web.StreamResponse:
        """Assign a request id and convert errors to answers with a result code."""
        request_id = self._new_request_id()
        request["request_id"] = request_id
        try:
            response: web.StreamResponse = await handler(request)
        except RequestError as error:
            return refusal_response(request_id, error.code, error.detail)
        except web.HTTPRequestEntityTooLarge:
            detail = f"at most {self._settings.max_body_bytes} bytes"
            return refusal_response(request_id, ResultCode.BODY_TOO_LARGE, detail)
        except web.HTTPMethodNotAllowed as error:
            code = ResultCode.UNSUPPORTED_METHOD
            return refusal_response(request_id, code, f"use {error.headers['Allow']}")
        except web.HTTPNotFound:
            return refusal_response(request_id, ResultCode.NOT_FOUND, "no such path")
        return response

    async def _handle_query(self, request: web.Request) -> web.StreamResponse:
        self._check_headers(request)
        body = await request.read()
        if len(body) > self._settings.max_body_bytes:
            detail = f"at most {self._settings.max_body_bytes} bytes"
            raise RequestError(ResultCode.BODY_TOO_LARGE, detail)
        query = decode_request(
            body, request["request_id"], self._settings, self._node.catalogue
        )
        answer = await self._execute(query)
        self._metrics.record_answer(query, answer)
        if answer.code is ResultCode.INTERNAL:
            self._logger.error("query_failed", request_id=query.request_id)
        return self._answer_response(answer)

    async def _execute(self, request: Request) -> Answer:
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def finish(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        self._node.submit(request, finish)
        try:
            return await answered
        except asyncio.CancelledError:
            self._node.entry.abandon(request.request_id)
            raise

    async def _handle_histograms(self, request: web.Request) -> web.Response:
        lines = [
            f"{'service':24} {'caller':16} {'class':8} {'count':>8} "
            f"{'p50_ms':>9} {'p99_ms':>9} {'p999_ms':>9}"
        ]
        for row in self._node.entry.histograms.summaries():
            series = row.series
            lines.append(
                f"{series.service:24} {series.caller:16} {series.priority:8} "
                f"{row.count:8d} {row.p50_ms:9.2f} {row.p99_ms:9.2f} "
                f"{row.p999_ms:9.2f}"
            )
        return web.Response(text="\n".join(lines) + "\n")

    async def _handle_health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _handle_readiness(self, request: web.Request) -> web.Response:
        if self.ready and self._node.ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    def _check_headers(self, request: web.Request) -> None:
        for name in UNIQUE_HEADERS:
            if len(request.headers.getall(name, [])) > 1:
                raise RequestError(ResultCode.DUPLICATE_HEADER, f"{name} stands twice")
        if request.content_type != JSON_TYPE:
            raise RequestError(
                ResultCode.UNSUPPORTED_MEDIA_TYPE, f"send Content-Type: {JSON_TYPE}"
            )

    def _new_request_id(self) -> str:
        return f"{self._node.own.name}.{self._node.start_id}.{next(self._request_ids)}"

    @staticmethod
    def _answer_response(answer: Answer) -> web.Response:
        return web.json_response(
            answer_document(answer), status=answer.code.http_status
        )


__all__ = ["HISTOGRAM_PATH", "QUERY_PATH", "CallerInterface"]
