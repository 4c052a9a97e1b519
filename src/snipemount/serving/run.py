"""Base classes of requests in progress."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route
    from ..model.forwarding import FailureReason, RequestOutcome
    from ..model.query_stages import QueryStages
    from .context import ServingContext
    from .request_log import Unanswered


@attrs.frozen
class RunTerms:
    """Terms under which a query over all shards is run.

    Parameters
    ----------
    deadline_at_ms : float
        Monotonic time at which the query ends with the answers at hand.
    answer_within_ms : float
        Time from its start after which an answer without all parts is due.
    earlier_attempts : tuple of int
        Attempts that other daemons may have made at each shard, in the target's order
        of shards; empty if the query has not run before.
    request_further : Callable or None
        Asks for the permission to make a further attempt at each of the shards at
        some positions; None if none is needed.
    """

    deadline_at_ms: float
    answer_within_ms: float
    earlier_attempts: tuple[int, ...] = ()
    request_further: Callable[[tuple[int, ...]], None] | None = None


class Run(ABC):
    """A request in progress, until its outcome has been passed to its callback."""

    @abstractmethod
    def cancel(self) -> None:
        """Cancel all attempts, as the caller has left; no outcome is reported."""

    @abstractmethod
    def unanswered(self) -> list[Unanswered]:
        """Return the services without an answer and their attempts, for the log."""

    def stages(self) -> QueryStages | None:
        """Return the stages of a query over all shards; None for other requests."""
        return None

    def began_ms(self) -> float | None:
        """Return the monotonic time of the first attempt.

        None while it is certain that no leaf has run the request. Not known any more
        once the run has ended or was cancelled.
        """
        return None

    def delegations(self) -> str:
        """Return the coordinators that were asked, for the log; empty if none was."""
        return ""


class EndedRun(Run):
    """A request that ended without asking any leaf."""

    def cancel(self) -> None:
        """Do nothing: no attempt was made."""

    def unanswered(self) -> list[Unanswered]:
        """Return an empty list: no service was asked."""
        return []


class RoutedRun(Run):
    """A request on a route: passes on its outcome once, then cancels its calls.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    route : Route
        Sets idempotence, number of attempts and latency objective.
    deadline_at_ms : float
        Monotonic time at which the request ends with the answers at hand.
    done : Callable
        Called once with the outcome, unless the request is cancelled.
    """

    def __init__(
        self,
        context: ServingContext,
        route: Route,
        deadline_at_ms: float,
        done: Callable[[RequestOutcome], None],
    ) -> None:
        self._context = context
        self._route = route
        self._started_ms = context.timers.now_ms()
        self._deadline_at_ms = deadline_at_ms
        self._done: Callable[[RequestOutcome], None] | None = done

    @abstractmethod
    def start(self) -> None:
        """Send the first attempts."""

    def cancel(self) -> None:
        """Cancel all attempts, as the caller has left; no outcome is reported."""
        self._done = None
        self._cancel_calls()

    @property
    def _ended(self) -> bool:
        return self._done is None

    def _schedule_deadline(self) -> None:
        """Start the timer of the request's deadline."""
        left_ms = self._deadline_at_ms - self._started_ms
        self._context.timers.call_later(left_ms, self._on_deadline)

    def _finish(self, outcome: RequestOutcome) -> None:
        """Pass on the outcome, then cancel the calls.

        The calls are cancelled last, so that the log can name the pending attempts.
        """
        done = self._done
        self._done = None
        if done is not None:
            done(outcome)
        self._cancel_calls()

    @abstractmethod
    def _on_deadline(self) -> None:
        """End the request with the answers at hand, unless it has ended."""

    @abstractmethod
    def _cancel_calls(self) -> None:
        """Cancel the calls that have not settled."""

    @abstractmethod
    def _outcome(self, failure: FailureReason) -> RequestOutcome:
        """Return the outcome so far.

        Parameters
        ----------
        failure : FailureReason
            Reason stated if there is no sufficient answer, but a leaf may have run the
            request.
        """


__all__ = ["EndedRun", "RoutedRun", "Run", "RunTerms"]
