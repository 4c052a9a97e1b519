"""HTTP interface for callers."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from aiohttp import web

from ..errors import RequestError, ResultCode
from ..model.answer import Answer
from ..node.answer_store import answer_document
from .caller_codec import decode_request
from .coded_runner import refusal

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..metrics import AnswerMetrics
    from ..model.request import Request
    from ..node.node import Node
    from ..settings import CallerSettings

QUERY_PATH = "/v1/query"
HISTOGRAM_PATH = "/v1/histograms"
JSON_TYPE = "application/json"
SINGLE_HEADERS = ("Content-Type", "Content-Length", "Authorization")


class CallerInterface:
    """Answers callers over HTTP.

    Parameters
    ----------
    node : Node
        Engine of the daemon.
    settings : CallerSettings
        Limits.
    metrics : AnswerMetrics
        Sink of figures.
    logger : FilteringBoundLogger
        Log.
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
        """Return the application with its routes."""
        app = web.Application(
            client_max_size=self._settings.max_body_bytes,
            middlewares=[self._coded_errors],
        )
        app.router.add_post(QUERY_PATH, self._query)
        app.router.add_get(HISTOGRAM_PATH, self._histograms)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._readiness)
        return app

    @web.middleware
    async def _coded_errors(
        self,
        request: web.Request,
        handler: web.Handler,  # type: ignore[name-defined]
    ) -> web.StreamResponse:
        """Turn every error into an answer with a numbered code."""
        request_id = self._new_request_id()
        request["request_id"] = request_id
        try:
            response: web.StreamResponse = await handler(request)
        except RequestError as error:
            return refusal(request_id, error.code, error.detail)
        except web.HTTPRequestEntityTooLarge:
            detail = f"at most {self._settings.max_body_bytes} bytes"
            return refusal(request_id, ResultCode.BODY_TOO_LARGE, detail)
        except web.HTTPMethodNotAllowed as error:
            code = ResultCode.UNSUPPORTED_METHOD
            return refusal(request_id, code, f"use {error.headers['Allow']}")
        except web.HTTPNotFound:
            return refusal(request_id, ResultCode.NOT_FOUND, "no such path")
        return response

    async def _query(self, request: web.Request) -> web.StreamResponse:
        self._check_headers(request)
        body = await request.read()
        if len(body) > self._settings.max_body_bytes:
            detail = f"at most {self._settings.max_body_bytes} bytes"
            raise RequestError(ResultCode.BODY_TOO_LARGE, detail)
        checked = decode_request(
            body, request["request_id"], self._settings, self._node.catalogue
        )
        answer = await self._run(checked)
        self._metrics.record_answer(checked, answer)
        if answer.code is ResultCode.INTERNAL:
            self._logger.error("query_failed", request_id=checked.request_id)
        return self._response(answer)

    async def _run(self, request: Request) -> Answer:
        done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def finish(answer: Answer) -> None:
            if not done.done():
                done.set_result(answer)

        self._node.submit(request, finish)
        try:
            return await done
        except asyncio.CancelledError:
            self._node.entry.abandon(request.request_id)
            raise

    async def _histograms(self, request: web.Request) -> web.Response:
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

    async def _health(self, request: web.Request) -> web.Response:
        return web.Response(text="alive\n")

    async def _readiness(self, request: web.Request) -> web.Response:
        if self.ready and self._node.ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    def _check_headers(self, request: web.Request) -> None:
        for name in SINGLE_HEADERS:
            if len(request.headers.getall(name, [])) > 1:
                raise RequestError(ResultCode.DUPLICATE_HEADER, f"{name} stands twice")
        if request.content_type != JSON_TYPE:
            raise RequestError(
                ResultCode.UNSUPPORTED_MEDIA_TYPE, f"send Content-Type: {JSON_TYPE}"
            )

    def _new_request_id(self) -> str:
        return f"{self._node.own.name}.{self._node.start_id}.{next(self._request_ids)}"

    @staticmethod
    def _response(answer: Answer) -> web.Response:
        return web.json_response(
            answer_document(answer), status=answer.code.http_status
        )


__all__ = ["HISTOGRAM_PATH", "QUERY_PATH", "CallerInterface"]
