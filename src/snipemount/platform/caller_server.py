"""Interface to callers: requests are passed on byte for byte."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp import web
from multidict import CIMultiDict

from ..model.forwarding import (
    FailureReason,
    ForwardRequest,
    Merged,
    Passed,
    RefusalReason,
    RequestFailed,
    RequestRefused,
    UnknownRoute,
)
from . import headers as names

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

    from ..model.forwarding import Outcome
    from ..serving.gateway import Gateway
    from ..timers import LoopTimers

QUIET = logging.Logger("unused", logging.CRITICAL)
RECEIPTS_A_HEADER = 30
MS_PER_S = 1000.0
AT_ONCE_MS = 20.0  # another daemon can be asked at once
LOOK_PERIOD_MS = 10.0
QUIET_LOOKS = 2
IDLE_SLACK_S = 1.0
FAILURE_STATUS = {
    FailureReason.LEAF_LOST: 502,
    FailureReason.TOO_FEW_SHARDS: 502,
    FailureReason.TIMEOUT: 504,
}


class CallerServer:
    """Serves callers on kept connections until it is told to close them.

    Parameters
    ----------
    gateway : Gateway
        Serves the requests.
    """

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self._server = web.Server(
            self._handle, request_factory=self._make_request, handler_cancellation=True
        )
        self.closing = False
        self._refusing = False
        self.in_flight = 0

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection, under the limits in force."""
        limits = self._gateway.limits
        return web.RequestHandler(
            self._server,
            loop=asyncio.get_running_loop(),
            keepalive_timeout=limits.idle_timeout_ms / MS_PER_S + IDLE_SLACK_S,
            max_field_size=limits.max_header_bytes,
            max_line_size=limits.max_header_bytes,
            auto_decompress=False,
            access_log=QUIET,
        )

    async def finish(self, timers: LoopTimers, end_ms: float) -> None:
        """Wait until no request runs, `end_ms` at the latest.

        A request that has been read counts as running only in the loop's next
        turn, so that nothing may run in two looks in a row.
        """
        quiet = 0
        while quiet < QUIET_LOOKS and timers.now_ms() < end_ms:
            await timers.sleep(LOOK_PERIOD_MS)
            quiet = 0 if self.in_flight else quiet + 1

    def close_idle(self) -> None:
        """Close each connection as soon as no request runs on it."""
        self._server.pre_shutdown()

    def refuse(self) -> None:
        """Refuse whatever is still read: the process ends."""
        self._refusing = True

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._gateway.limits.max_body_bytes,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.in_flight += 1
        try:
            response = await self._respond(request)
        finally:
            self.in_flight -= 1
        if self.closing or self._gateway.is_isolated:
            # The balancer gives the caller's next connection to another daemon.
            response.force_close()
        return response

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        body = await request.read()
        forward = parse_request(request, body)
        if forward is None:
            return web.Response(status=400)
        if self._refusing:
            return make_response(
                forward, RequestRefused(RefusalReason.STOPPING, AT_ONCE_MS)
            )
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        run = self._gateway.submit(forward, future.set_result)
        try:
            outcome = await future
        except asyncio.CancelledError:
            run.cancel()
            raise
        return make_response(forward, outcome)


def parse_request(request: web.BaseRequest, body: bytes) -> ForwardRequest | None:
    """Return the request to pass on, or None when it has no id."""
    request_id = request.headers.get(names.REQUEST_ID, "")
    if not request_id:
        return None
    connection = request.headers.get("Connection", "")
    return ForwardRequest(
        request_id=request_id,
        method=request.method,
        target=request.raw_path,
        host=request.headers.get("Host", ""),
        headers=names.end_to_end(request.headers.items(), connection, names.SET_BY_US),
        body=body,
        deadline_ms=_deadline_ms(request.headers.get(names.DEADLINE_MS, "")),
    )


def _deadline_ms(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < float("inf") else None


def make_response(request: ForwardRequest, outcome: Outcome) -> web.Response:
    """Return the answer in the platform's dialect."""
    match outcome:
        case Passed(answer):
            headers = CIMultiDict(answer.headers)
            return web.Response(status=answer.status, headers=headers, body=answer.body)
        case Merged():
            return _merged(request, outcome)
        case RequestRefused(reason, retry_after_ms):
            seconds = f"{retry_after_ms / MS_PER_S:.3f}"
            headers = CIMultiDict({names.RETRY_AFTER: seconds})
            headers[names.REQUEST_ID] = request.request_id
            return web.Response(status=503, headers=headers, text=reason.value)
        case RequestFailed(failure):
            headers = CIMultiDict({names.REQUEST_ID: request.request_id})
            status = FAILURE_STATUS[failure]
            return web.Response(status=status, headers=headers, text=failure.value)
        case UnknownRoute():
            return web.Response(status=404)


def _merged(request: ForwardRequest, merged: Merged) -> web.Response:
    headers: CIMultiDict[str] = CIMultiDict()
    headers[names.REQUEST_ID] = request.request_id
    headers["Content-Type"] = "application/octet-stream"
    for at in range(0, len(merged.receipts), RECEIPTS_A_HEADER):
        some = merged.receipts[at : at + RECEIPTS_A_HEADER]
        headers.add(names.RECEIPTS, ", ".join(some))
    headers[names.MISSING_SHARDS] = str(merged.missing)
    return web.Response(status=200, headers=headers, body=merged.body)


__all__ = ["CallerServer", "make_response", "parse_request"]
