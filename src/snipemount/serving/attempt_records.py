"""What became of the attempts of one call, for logs and stages."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.forwarding import LeafAnswer, NotRun, NoValidResponse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.forwarding import AttemptOutcome
    from ..ports.leaf import AttemptReport
    from .pending_attempt import PendingAttempt


@attrs.frozen
class EndedAttempt:
    """An attempt with an outcome.

    Parameters
    ----------
    leaf_id : str
        Leaf that was asked.
    result : str
        Status of its answer, or why there is none.
    took_ms : float
        Time until the outcome.
    """

    leaf_id: str
    result: str
    took_ms: float


@attrs.define
class AttemptRecords:
    """Attempts that have ended, and what they read and opened.

    Parameters
    ----------
    ended : list of EndedAttempt
        In the order of their ends.
    bytes_read : int
        Bytes read from leafs.
    connections_opened : int
        Number of attempts that opened a connection.
    connect_ms : float
        Longest time that an attempt waited for its connection.
    began_ms : float or None
        Monotonic time of the first attempt; None before it.
    """

    ended: list[EndedAttempt] = attrs.field(factory=list)
    bytes_read: int = 0
    connections_opened: int = 0
    connect_ms: float = 0.0
    began_ms: float | None = None

    def note_sent(self, now_ms: float) -> None:
        """Record the time of the first attempt."""
        if self.began_ms is None:
            self.began_ms = now_ms

    def add(
        self, attempt: PendingAttempt, report: AttemptReport, now_ms: float
    ) -> EndedAttempt:
        """Record and return an attempt that has ended."""
        ended = EndedAttempt(
            attempt.state.leaf.leaf_id,
            _result(report.outcome),
            now_ms - attempt.sent_ms,
        )
        self.ended.append(ended)
        self.bytes_read += report.bytes_read
        self.connections_opened += report.connect_ms > 0.0
        self.connect_ms = max(self.connect_ms, report.connect_ms)
        return ended

    def describe(self, pending: Iterable[PendingAttempt], now_ms: float) -> str:
        """Return each attempt as leaf, result and duration in ms, or `no_leaf`."""
        waiting = [
            EndedAttempt(a.state.leaf.leaf_id, "waiting", now_ms - a.sent_ms)
            for a in pending
        ]
        attempts = (
            f"{attempt.leaf_id}:{attempt.result}:{attempt.took_ms:.0f}ms"
            for attempt in self.ended + waiting
        )
        return ",".join(attempts) or "no_leaf"


def _result(outcome: AttemptOutcome) -> str:
    match outcome:
        case LeafAnswer(status=status):
            return str(status)
        case NotRun(reason):
            return reason.value
        case NoValidResponse(no_response):
            return no_response.value


__all__ = ["AttemptRecords", "EndedAttempt"]
