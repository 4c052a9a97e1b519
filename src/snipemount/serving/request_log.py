"""Log of requests that were not answered in full, with a bounded rate of lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import (
    Forwarded,
    Merged,
    RequestFailed,
    RequestRefused,
    UnknownRoute,
)

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from ..ports.serving_metrics import ServingMetrics

COMPLETE = "complete"
MAX_LINES_PER_S = 40.0
MAX_BURST_LINES = 200.0
MAX_SERVICES_NAMED = 8
MS_PER_S = 1000.0


@attrs.frozen
class Unanswered:
    """A service that did not answer a request.

    Parameters
    ----------
    service : str
        Name of the service or shard.
    attempts : str
        Leafs that were asked, with the result and duration of each attempt.
    """

    service: str
    attempts: str


class RequestLog:
    """Counts all outcomes and logs those that are not complete.

    A token bucket bounds the rate of lines; dropped lines are counted and logged.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Receives the lines.
    metrics : ServingMetrics
        Receives the counts and durations.
    """

    def __init__(self, logger: FilteringBoundLogger, metrics: ServingMetrics) -> None:
        self._logger = logger
        self._metrics = metrics
        self._tokens = MAX_BURST_LINES
        self._refilled_ms = 0.0
        self._dropped = 0

    def record_outcome(
        self,
        request: ForwardRequest,
        route: Route | None,
        version: int,
        outcome: RequestOutcome,
        unanswered: list[Unanswered],
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Count an outcome, and log it unless it is complete or the rate is exceeded.

        Parameters
        ----------
        request : ForwardRequest
            Request that has ended.
        route : Route or None
            Its route, if one was found.
        version : int
            Version of the configuration under which it was served.
        outcome : RequestOutcome
            Its outcome.
        unanswered : list of Unanswered
            Services without an answer; the log names the first few.
        elapsed_ms : float
            Duration of the request.
        now_ms : float
            Monotonic time, which refills the token bucket.
        """
        result = result_text(outcome)
        name = "" if route is None else route.name
        self._metrics.request(name, result.partition(":")[0], elapsed_ms)
        if result == COMPLETE or not self._may_write(now_ms):
            return
        named = unanswered[:MAX_SERVICES_NAMED]
        self._logger.info(
            "request_ended",
            request=request.request_id,
            route=name,
            result=result,
            configuration=version,
            elapsed_ms=round(elapsed_ms, 1),
            deadline_ms=request.deadline_ms,
            unanswered=" ".join(f"{item.service}[{item.attempts}]" for item in named),
        )

    def _may_write(self, now_ms: float) -> bool:
        added = (now_ms - self._refilled_ms) * MAX_LINES_PER_S / MS_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + added)
        self._refilled_ms = now_ms
        if self._tokens < 1.0:
            self._dropped += 1
            return False
        self._tokens -= 1.0
        if self._dropped:
            self._logger.warning("request_lines_dropped", count=self._dropped)
            self._dropped = 0
        return True


def result_text(outcome: RequestOutcome) -> str:
    """Return the outcome's name, with its detail after a colon if it has one."""
    match outcome:
        case Forwarded() | Merged(missing=0):
            return COMPLETE
        case Merged(missing=missing):
            return f"partial:{missing}"
        case RequestRefused(reason):
            return f"refused:{reason.value}"
        case RequestFailed(failure):
            return f"failed:{failure.value}"
        case UnknownRoute():
            return "unknown_route"


__all__ = ["RequestLog", "Unanswered", "result_text"]
