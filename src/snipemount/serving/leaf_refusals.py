"""What an attempt that has not run tells of its leaf."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.forwarding import NotRunReason

if TYPE_CHECKING:
    from .context import ServingContext
    from .pending_attempt import PendingAttempt


def note_not_run(
    context: ServingContext,
    attempt: PendingAttempt,
    reason: NotRunReason,
    request_id: str,
    now_ms: float,
) -> None:
    """Record why a leaf has not run an attempt.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    attempt : PendingAttempt
        The attempt, which has ended.
    reason : NotRunReason
        Why it is certain that the leaf has not run it.
    request_id : str
        Id of the request, for the log.
    now_ms : float
        Current time.
    """
    state = attempt.state
    match reason:
        case NotRunReason.UNREACHABLE:
            state.lost(attempt.number, True, now_ms)
            context.note_unresponsive(state.leaf)
        case NotRunReason.CONNECTION_REFUSED:
            state.lost(attempt.number, True, now_ms)
            context.note_refused_connection(state.leaf)
        case NotRunReason.NO_CONNECTION | NotRunReason.REFUSED:
            state.refused(attempt.number, now_ms)
        case NotRunReason.OTHER_LEAF:
            state.lost(attempt.number, True, now_ms)
            context.directory.mark_address_reused(state.leaf.leaf_id, now_ms)
            context.leafs.close_idle(state.leaf)
            context.logger.info(
                "leaf_elsewhere",
                leaf=state.leaf.leaf_id,
                service=state.leaf.service,
                request=request_id,
            )


__all__ = ["note_not_run"]
