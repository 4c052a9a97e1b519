"""aiohttp runner that refuses malformed HTTP requests with a result code.

aiohttp rejects such requests in its parser, before any middleware runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from ..errors import ResultCode
from ..model.answer import Answer
from ..node.answer_store import answer_document

if TYPE_CHECKING:
    from aiohttp.web_request import BaseRequest

DUPLICATE_HEADER_TEXT = "Duplicate"  # in the error message of aiohttp's parser


def refusal_response(
    request_id: str, code: ResultCode, detail: str, status: int | None = None
) -> web.Response:
    """Create the response to a request that has not been executed.

    Parameters
    ----------
    request_id : str
        Id of the request.
    code : ResultCode
        Why it was refused.
    detail : str
        One-line explanation for people.
    status : int or None
        HTTP status; None uses that of the code.
    """
    answer = Answer(request_id, code, not_run=True, detail=detail)
    return web.json_response(answer_document(answer), status=status or code.http_status)


class ResultCodeHandler(RequestHandler):
    """Protocol handler that reports HTTP errors with a result code."""

    def handle_error(
        self,
        request: BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Create the error response; the connection is closed after it.

        A status below 500 means that the request was malformed and has not been
        executed.
        """
        detail = (message or "a fault of the daemon").strip().splitlines()[-1].strip()
        code = ResultCode.INTERNAL
        if status < 500:
            is_duplicate = DUPLICATE_HEADER_TEXT in detail
            code = (
                ResultCode.DUPLICATE_HEADER
                if is_duplicate
                else ResultCode.MALFORMED_BODY
            )
        else:
            self.log_exception("unexpected error", exc_info=exc)
        response = refusal_response("none", code, detail, status)
        if code is ResultCode.INTERNAL:
            response = web.json_response(
                answer_document(Answer("none", code, detail=detail)), status=status
            )
        response.force_close()
        return response


class ResultCodeServer(web.Server):
    """aiohttp server that creates a `ResultCodeHandler` for each connection."""

    def __call__(self) -> RequestHandler:
        """Create the protocol handler of a connection."""
        return ResultCodeHandler(self, loop=self._loop, **self._kwargs)


class ResultCodeRunner(web.AppRunner):
    """Application runner that serves with `ResultCodeServer`."""

    async def _make_server(self) -> web.Server:
        server = await super()._make_server()
        return ResultCodeServer(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


__all__ = ["ResultCodeRunner", "refusal_response"]
