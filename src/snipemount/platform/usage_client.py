"""HTTP client that sends usage reports to the platform."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import aiohttp

from ..checked_connector import CheckedConnector
from ..ports.usage import (
    ReportAccepted,
    ReportRejected,
    ReportUnanswered,
    UsageCall,
    UsagePort,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from types import SimpleNamespace

    from ..ports.usage import ReportResult
    from ..timers import TimerService
    from .node_file import Endpoint

USAGE_PATH = "/usage"
HOLDER_HEADER = "X-Duty-Holder"
FENCE_HEADER = "X-Fencing-Token"
RETRY_AFTER_HEADER = "Retry-After"
MS_PER_S = 1000.0
CALL_ERRORS = (aiohttp.ClientError, OSError, TimeoutError, ValueError)


class PendingReport(UsageCall):
    """A call whose task can be aborted."""

    def __init__(self, task: asyncio.Task[None]) -> None:
        self._task = task

    def cancel(self) -> None:
        """Abort the call and close its connection."""
        self._task.cancel()


class UsageClient(UsagePort):
    """Sends each report over its own connection, so that a late one cannot be read.

    Parameters
    ----------
    address : Endpoint
        Where reports are taken.
    timers : TimerService
        Boot-time clock: a VM that is suspended while it connects must not send
        afterwards.
    """

    def __init__(self, address: Endpoint, timers: TimerService) -> None:
        self._url = f"http://{address.host}:{address.port}{USAGE_PATH}"
        self._timers = timers
        self._session: aiohttp.ClientSession | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self,
        holder: str,
        fence: int,
        window: int,
        counts: Mapping[str, int],
        timeout_ms: float,
        done: Callable[[ReportResult], None],
    ) -> UsageCall:
        """Send the report of a window; `done` gets the result."""
        headers = {HOLDER_HEADER: holder, FENCE_HEADER: str(fence)}
        body = {"window": window, "counts": dict(counts)}
        # The caller has checked its lease now, not when the task begins to run.
        end_ms = self._timers.boot_ms() + timeout_ms
        task = asyncio.ensure_future(self._run(headers, body, end_ms, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return PendingReport(task)

    async def close(self) -> None:
        """Abort all calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    async def _run(
        self,
        headers: dict[str, str],
        body: dict[str, object],
        end_ms: float,
        done: Callable[[ReportResult], None],
    ) -> None:
        try:
            result = await self._post(headers, body, end_ms)
        except CALL_ERRORS as error:
            result = ReportUnanswered(type(error).__name__)
        except Exception as error:
            # A fault of the program: the duty must not wait for a result for ever.
            result = ReportUnanswered(f"{error!r}"[:200])
        done(result)

    async def _post(
        self, headers: dict[str, str], body: dict[str, object], end_ms: float
    ) -> ReportResult:
        left_ms = end_ms - self._timers.boot_ms()
        if left_ms <= 0.0:
            raise TimeoutError("the time of the call passed before it began")
        async with self._client().post(
            self._url,
            json=body,
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=left_ms / MS_PER_S),
            allow_redirects=False,
            trace_request_ctx=end_ms,
        ) as response:
            if response.status == 200:
                return ReportAccepted()
            stated = response.headers.get(RETRY_AFTER_HEADER, "")
            return ReportRejected(response.status, _retry_after_ms(stated))

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            trace = aiohttp.TraceConfig()
            trace.on_connection_create_end.append(self._on_connected)
            self._session = aiohttp.ClientSession(
                connector=CheckedConnector(force_close=True),
                trace_configs=[trace],
            )
        return self._session

    async def _on_connected(
        self,
        session: aiohttp.ClientSession,
        context: SimpleNamespace,
        parameters: aiohttp.TraceConnectionCreateEndParams,
    ) -> None:
        """Abort a call whose time has passed before anything was sent."""
        if self._timers.boot_ms() >= context.trace_request_ctx:
            raise TimeoutError("the connection was opened too late")


def _retry_after_ms(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds * MS_PER_S if math.isfinite(seconds) and seconds > 0.0 else 0.0


__all__ = ["UsageClient"]
