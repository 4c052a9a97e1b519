"""Log of requests that ended late or incomplete, with a bounded rate of lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import (
    Forwarded,
    Merged,
    RefusalReason,
    RequestFailed,
    RequestRefused,
    Unauthorized,
    UnknownRoute,
)

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from ..model.query_stages import QueryStages
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


@attrs.frozen
class EndedRequest:
    """A request that has ended, as the log and the metrics see it.

    Parameters
    ----------
    request : ForwardRequest
        Request of the caller.
    route : Route or None
        Its route, if one was found.
    version : int
        Version of the configuration under which it was served.
    outcome : RequestOutcome
        Its outcome.
    elapsed_ms : float
        Time from its arrival to its outcome.
    unanswered : tuple of Unanswered
        Services without an answer.
    stages : QueryStages or None
        Stages of a query over all shards that ran in this daemon.
    delegations : str
        Coordinators that were asked to run the query, with the results.
    received_by : str
        Daemon that delegated the query to this one; empty for a caller's request.
    """

    request: ForwardRequest
    route: Route | None
    version: int
    outcome: RequestOutcome
    elapsed_ms: float = 0.0
    unanswered: tuple[Unanswered, ...] = ()
    stages: QueryStages | None = None
    delegations: str = ""
    received_by: str = ""

    @property
    def is_late(self) -> bool:
        """Whether a query over all shards ended after its latency objective."""
        if self.route is None or (self.stages is None and not self.delegations):
            return False
        return self.elapsed_ms > self.route.latency_objective_ms


class RequestLog:
    """Counts all outcomes and logs those that are not complete, or late.

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

    def record(self, ended: EndedRequest, now_ms: float) -> None:
        """Count an outcome, and log it unless it is complete and on time.

        Parameters
        ----------
        ended : EndedRequest
            Request that has ended; the log names the first few unanswered services.
        now_ms : float
            Monotonic time, which refills the token bucket.
        """
        result = result_text(ended.outcome)
        name = "" if ended.route is None else ended.route.name
        if not ended.received_by:
            self._metrics.request(name, result.partition(":")[0], ended.elapsed_ms)
        if ended.stages is not None:
            self._metrics.query_stages(ended.stages)
        if (result == COMPLETE and not ended.is_late) or not self._may_write(now_ms):
            return
        named = ended.unanswered[:MAX_SERVICES_NAMED]
        self._logger.info(
            "request_ended",
            request=ended.request.request_id,
            route=name,
            result=result,
            configuration=ended.version,
            elapsed_ms=round(ended.elapsed_ms, 1),
            deadline_ms=ended.request.deadline_ms,
            unanswered=" ".join(f"{item.service}[{item.attempts}]" for item in named),
            **_stage_fields(ended.stages),
            **_delegation_fields(ended),
            **_quarantine_fields(ended),
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


def _stage_fields(stages: QueryStages | None) -> dict[str, object]:
    if stages is None:
        return {}
    parts_ms = (stages.first_part_ms, stages.median_part_ms, stages.last_part_ms)
    return {
        "sent_ms": round(stages.sent_ms, 1),
        "opened": stages.connections_opened,
        "connect_ms": round(stages.connect_ms, 1),
        "parts_ms": "/".join(f"{time_ms:.0f}" for time_ms in parts_ms),
        "bytes_read": stages.bytes_read,
        "loop_lag_ms": round(stages.loop_lag_ms, 1),
    }


def _delegation_fields(ended: EndedRequest) -> dict[str, object]:
    fields = {"delegated": ended.delegations, "received_by": ended.received_by}
    return {name: value for name, value in fields.items() if value}


def _quarantine_fields(ended: EndedRequest) -> dict[str, object]:
    """Return what the lines about the crashes have in common with this one."""
    match ended.outcome:
        case RequestRefused(RefusalReason.QUARANTINED):
            return {"fingerprint": ended.request.fingerprint}
    return {}


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
        case Unauthorized():
            return "unauthorized"


__all__ = ["EndedRequest", "RequestLog", "Unanswered", "result_text"]
