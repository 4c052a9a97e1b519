"""HTTP server for callers; requests are forwarded byte for byte."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from aiohttp.web_request import BaseRequest
from aiohttp.web_response import Response
from aiohttp.web_server import Server
from multidict import CIMultiDict

from ..model.forwarding import (
    FailureReason,
    Forwarded,
    ForwardRequest,
    Merged,
    RefusalReason,
    RequestFailed,
    RequestRefused,
    Unauthorized,
    UnknownRoute,
)
from ..timers import LoopTimers
from . import headers as names
from .caller_bounds import CallerBounds
from .caller_connection import CallerConnection
from .caller_connections import CallerConnections
from .caller_logger import CALLER_LOGGER

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler
    from aiohttp.web_response import StreamResponse

    from ..model.forwarding import RequestOutcome
    from ..serving.gateway import Gateway

DISABLED_LOGGER = logging.Logger("unused", logging.CRITICAL)
MAX_RECEIPTS_PER_HEADER = 30
MS_PER_S = 1000.0
STOPPING_RETRY_AFTER_MS = 20.0  # short: another daemon can take the request now
IDLE_CHECK_PERIOD_MS = 10.0
REQUIRED_IDLE_CHECKS = 2
STATUS_BY_FAILURE = {
    FailureReason.LEAF_LOST: 502,
    FailureReason.TOO_FEW_SHARDS: 502,
    FailureReason.TIMEOUT: 504,
    FailureReason.STOPPING: 502,
}
ENDED_BY_STOP = RequestFailed(FailureReason.STOPPING)


def _none() -> int:
    return 0


class CallerServer:
    """HTTP/1.1 server for callers, with persistent connections.

    While `closing` is set, each response asks its caller to close the connection;
    `in_flight` counts the requests being served.

    Parameters
    ----------
    gateway : Gateway
        Routes the requests and states the limits on callers.
    delegated_in_flight : Callable
        Returns the number of queries in flight that other daemons delegate; they have
        to end too before the daemon is idle.
    connections : CallerConnections or None
        Bounds on what callers use; None for the default bounds.
    """

    def __init__(
        self,
        gateway: Gateway,
        delegated_in_flight: Callable[[], int] = _none,
        connections: CallerConnections | None = None,
    ) -> None:
        self._gateway = gateway
        self._delegated_in_flight = delegated_in_flight
        self._server = Server(
            self._handle, request_factory=self._make_request, handler_cancellation=True
        )
        self.connections = connections or CallerConnections(
            LoopTimers(asyncio.get_running_loop()),
            CallerBounds(),
            lambda: gateway.limits,
        )
        self.closing = False
        self._refusing = False
        self._pending: set[asyncio.Future[RequestOutcome]] = set()
        self.in_flight = 0

    def __call__(self) -> CallerConnection:
        """Return the protocol for a new connection, with the current limits."""
        return CallerConnection(
            self._server,
            self.connections,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            access_log=DISABLED_LOGGER,
            logger=CALLER_LOGGER,
        )

    async def wait_until_idle(self, timers: LoopTimers, end_ms: float) -> bool:
        """Wait until no request is in flight, until `end_ms` at the latest.

        A request whose bytes have been read counts as in flight only from the next
        iteration of the event loop, so two consecutive checks must find none.

        Returns
        -------
        bool
            Whether no request is in flight.
        """
        idle_checks = 0
        while idle_checks < REQUIRED_IDLE_CHECKS and timers.now_ms() < end_ms:
            await timers.sleep(IDLE_CHECK_PERIOD_MS)
            in_flight = self.in_flight + self._delegated_in_flight()
            in_flight += self.connections.unfinished_bodies
            idle_checks = 0 if in_flight else idle_checks + 1
        return idle_checks >= REQUIRED_IDLE_CHECKS

    def close_idle(self) -> None:
        """Close each connection as soon as it has no request in flight."""
        self._server.pre_shutdown()

    def start_refusing(self) -> None:
        """Refuse every request read from now on, as it might not end in time."""
        self._refusing = True

    def fail_pending(self) -> int:
        """End the requests in flight, which may have run; return how many."""
        pending = [future for future in self._pending if not future.done()]
        for future in pending:
            future.set_result(ENDED_BY_STOP)
        return len(pending)

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> BaseRequest:
        return BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            asyncio.get_running_loop(),
            client_max_size=self._gateway.limits.max_body_bytes,
        )

    async def _handle(self, request: BaseRequest) -> StreamResponse:
        self.in_flight += 1
        try:
            response = await self._respond(request)
        finally:
            self.in_flight -= 1
        if self.closing or self._gateway.is_isolated:
            # The caller reconnects, and the balancer picks another daemon.
            response.force_close()
        return response

    async def _respond(self, request: BaseRequest) -> StreamResponse:
        body = await request.read()
        forward = parse_request(request, body)
        if forward is None:
            return Response(status=400)
        if self._refusing:
            return make_response(
                forward, RequestRefused(RefusalReason.STOPPING, STOPPING_RETRY_AFTER_MS)
            )
        future: asyncio.Future[RequestOutcome] = (
            asyncio.get_running_loop().create_future()
        )

        def give(outcome: RequestOutcome) -> None:
            if not future.done():  # the caller may have left in this very moment
                future.set_result(outcome)

        run = self._gateway.submit(forward, give)
        self._pending.add(future)
        try:
            outcome = await future
        except asyncio.CancelledError:
            run.cancel()
            raise
        finally:
            self._pending.discard(future)
        if outcome is ENDED_BY_STOP:
            run.cancel()
        return make_response(forward, outcome)


def parse_request(request: BaseRequest, body: bytes) -> ForwardRequest | None:
    """Return the request to forward, or None when it has no request id."""
    request_id = request.headers.get(names.REQUEST_ID, "")
    if not request_id:
        return None
    connection = request.headers.get("Connection", "")
    headers, identity_headers = names.split_identity(
        names.end_to_end(request.headers.items(), connection, names.SET_BY_DAEMON)
    )
    return ForwardRequest(
        request_id=request_id,
        method=request.method,
        target=request.raw_path,
        host=request.headers.get("Host", ""),
        headers=headers,
        body=body,
        deadline_ms=_parse_deadline_ms(request.headers.get(names.DEADLINE_MS, "")),
        api_key=names.parse_api_key(request.headers.getall(names.AUTHORIZATION, ())),
        identity_headers=identity_headers,
    )


def _parse_deadline_ms(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0.0 <= value < float("inf") else None


def make_response(request: ForwardRequest, outcome: RequestOutcome) -> Response:
    """Return the HTTP response for the outcome of a request."""
    match outcome:
        case Forwarded(answer):
            headers = CIMultiDict(answer.headers)
            return Response(status=answer.status, headers=headers, body=answer.body)
        case Merged():
            return _make_merged_response(request, outcome)
        case RequestRefused(reason, retry_after_ms):
            seconds = f"{retry_after_ms / MS_PER_S:.3f}"
            headers = CIMultiDict({names.RETRY_AFTER: seconds})
            headers[names.REQUEST_ID] = request.request_id
            return Response(status=503, headers=headers, text=reason.value)
        case RequestFailed(failure):
            headers = CIMultiDict({names.REQUEST_ID: request.request_id})
            status = STATUS_BY_FAILURE[failure]
            return Response(status=status, headers=headers, text=failure.value)
        case UnknownRoute():
            return Response(status=404)
        case Unauthorized():
            headers = CIMultiDict({names.REQUEST_ID: request.request_id})
            headers[names.AUTHENTICATE] = names.KEY_SCHEME
            return Response(status=401, headers=headers)


def _make_merged_response(request: ForwardRequest, merged: Merged) -> Response:
    headers: CIMultiDict[str] = CIMultiDict()
    headers[names.REQUEST_ID] = request.request_id
    headers["Content-Type"] = "application/octet-stream"
    for start in range(0, len(merged.receipts), MAX_RECEIPTS_PER_HEADER):
        receipts = merged.receipts[start : start + MAX_RECEIPTS_PER_HEADER]
        headers.add(names.RECEIPTS, ", ".join(receipts))
    headers[names.MISSING_SHARDS] = str(merged.missing)
    return Response(status=200, headers=headers, body=merged.body)


__all__ = ["CallerServer", "make_response", "parse_request"]
