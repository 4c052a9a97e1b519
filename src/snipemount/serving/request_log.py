"""One line for each request that was not answered in full, in bounded volume."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import Failed, Merged, Passed, Refused, UnknownRoute

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, Outcome
    from ..ports.measures import Measures

COMPLETE = "complete"
LINES_PER_S = 40.0
MOST_BURST = 200.0
MOST_SHARDS_NAMED = 8
MS_PER_S = 1000.0


@attrs.frozen
class Unanswered:
    """A service that gave no answer to a request.

    Parameters
    ----------
    service : str
        Service or shard.
    why : str
        Leafs asked and what came of each.
    """

    service: str
    why: str


class RequestLog:
    """Counts all outcomes and writes those that a caller may complain about.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Where the lines go.
    measures : Measures
        Where the counts go.
    """

    def __init__(self, logger: FilteringBoundLogger, measures: Measures) -> None:
        self._logger = logger
        self._measures = measures
        self._tokens = MOST_BURST
        self._filled_ms = 0.0
        self._dropped = 0

    def ended(
        self,
        request: ForwardRequest,
        route: Route | None,
        version: int,
        outcome: Outcome,
        unanswered: list[Unanswered],
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        """Count an outcome, and log it unless it is a full answer."""
        result = describe(outcome)
        name = "" if route is None else route.name
        self._measures.request(name, result.partition(":")[0], elapsed_ms)
        if result == COMPLETE or not self._may_write(now_ms):
            return
        named = unanswered[:MOST_SHARDS_NAMED]
        self._logger.info(
            "request_ended",
            request=request.request_id,
            route=name,
            result=result,
            configuration=version,
            elapsed_ms=round(elapsed_ms, 1),
            deadline_ms=request.deadline_ms,
            unanswered=" ".join(f"{item.service}[{item.why}]" for item in named),
        )

    def _may_write(self, now_ms: float) -> bool:
        earned = (now_ms - self._filled_ms) * LINES_PER_S / MS_PER_S
        self._tokens = min(MOST_BURST, self._tokens + earned)
        self._filled_ms = now_ms
        if self._tokens < 1.0:
            self._dropped += 1
            return False
        self._tokens -= 1.0
        if self._dropped:
            self._logger.warning("request_lines_dropped", count=self._dropped)
            self._dropped = 0
        return True


def describe(outcome: Outcome) -> str:
    """Return an outcome in a word, and its detail behind a colon."""
    match outcome:
        case Passed() | Merged(missing=0):
            return COMPLETE
        case Merged(missing=missing):
            return f"partial:{missing}"
        case Refused(reason):
            return f"refused:{reason.value}"
        case Failed(failure):
            return f"failed:{failure.value}"
        case UnknownRoute():
            return "unknown_route"


__all__ = ["RequestLog", "Unanswered", "describe"]
