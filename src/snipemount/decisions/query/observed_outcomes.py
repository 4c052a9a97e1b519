"""What the ended exchanges of a query have shown."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ...errors import ResultCode
from ...model.exchange import Reason

if TYPE_CHECKING:
    from ...model.exchange import Fate
    from .merge import Merge

OVERLOAD_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.SHED, Reason.CANCELLED}
)


@attrs.define
class ObservedOutcomes:
    """Outcomes of the exchanges of one query.

    Parameters
    ----------
    none_ran : bool
        Whether no exchange may have run.
    overloaded : bool
        Whether a server had no room.
    connection_lost : bool
        Whether a connection was lost, as when a server crashes.
    snapshot_gone : bool
        Whether a server no longer had the pinned snapshot.
    """

    none_ran: bool = True
    overloaded: bool = False
    connection_lost: bool = False
    snapshot_gone: bool = False

    def note_fate(self, fate: Fate) -> None:
        """Record whether an exchange may have run."""
        if not fate.not_run:
            self.none_ran = False

    def note_failure(self, reason: Reason) -> None:
        """Record why an exchange ended without an answer."""
        self.overloaded = self.overloaded or reason in OVERLOAD_REASONS
        self.connection_lost = self.connection_lost or reason is Reason.CONNECTION_LOST
        self.snapshot_gone = self.snapshot_gone or reason is Reason.SNAPSHOT_GONE

    def result_code(self, merge: Merge, pending: bool, repeatable: bool) -> ResultCode:
        """Return the result code of the query.

        Parameters
        ----------
        merge : Merge
            Answers of the shards.
        pending : bool
            Whether exchanges have not ended yet.
        repeatable : bool
            Whether the request is idempotent.
        """
        if merge.complete:
            return ResultCode.OK
        if merge.answered_any:
            return ResultCode.PARTIAL
        if self.none_ran and not pending:
            return ResultCode.OVERLOADED if self.overloaded else ResultCode.NO_BACKEND
        if not repeatable:
            return ResultCode.OUTCOME_UNKNOWN
        if self.snapshot_gone:
            return ResultCode.SNAPSHOT_GONE
        if pending:
            return ResultCode.DEADLINE_EXCEEDED
        return ResultCode.BACKEND_FAILED


__all__ = ["ObservedOutcomes"]
