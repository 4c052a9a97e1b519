"""HTTP runner whose refusals carry result codes, also below the handlers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..errors import ResultCode
from ..model.answer import Answer
from ..node.answer_store import answer_document

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

DUPLICATE_MARK = "Duplicate"


def refusal(
    request_id: str, code: ResultCode, detail: str, status: int | None = None
) -> web.Response:
    """Return the response to a request that has not run."""
    answer = Answer(request_id, code, not_run=True, detail=detail)
    return web.json_response(answer_document(answer), status=status or code.http_status)


class CodedHandler(RequestHandler):
    """Request handler that answers malformed HTTP with a result code."""

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a coded refusal; the connection is closed after it."""
        detail = (message or "a fault of the daemon").strip().splitlines()[-1].strip()
        code = ResultCode.INTERNAL
        if status < 500:
            duplicate = DUPLICATE_MARK in detail
            code = (
                ResultCode.DUPLICATE_HEADER if duplicate else ResultCode.MALFORMED_BODY
            )
        else:
            self.log_exception("unexpected error", exc_info=exc)
        response = refusal("none", code, detail, status)
        if code is ResultCode.INTERNAL:
            response = web.json_response(
                answer_document(Answer("none", code, detail=detail)), status=status
            )
        response.force_close()
        return response


class CodedServer(web.Server):
    """Server that makes `CodedHandler` protocols."""

    def __call__(self) -> RequestHandler:
        """Return the protocol of one connection."""
        return CodedHandler(self, loop=self._loop, **self._kwargs)


class CodedRunner(web.AppRunner):
    """Application runner that serves with `CodedServer`."""

    async def _make_server(self) -> web.Server:
        made = await super()._make_server()
        return CodedServer(
            made.request_handler,
            request_factory=made.request_factory,
            handler_cancellation=made.handler_cancellation,
            **made._kwargs,
        )


__all__ = ["CodedRunner", "refusal"]
