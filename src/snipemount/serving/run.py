"""A request under way."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route
    from ..model.forwarding import FailureReason, Outcome
    from .request_log import Unanswered
    from .surroundings import Surroundings

RETRY_AFTER_MS = 50.0


class Run(ABC):
    """A request under way, until its outcome is told."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop all work: the caller has left."""

    @abstractmethod
    def unanswered(self) -> list[Unanswered]:
        """Return the services that gave no answer, for the log."""


class NoRun(Run):
    """A request whose outcome was known at once."""

    def cancel(self) -> None:
        """Do nothing."""

    def unanswered(self) -> list[Unanswered]:
        """Return nothing: no service was asked."""
        return []


class RoutedRun(Run):
    """A request on a route: tells its outcome once, and then stops all work.

    Parameters
    ----------
    surroundings : Surroundings
        Shared state.
    route : Route
        Route of the request.
    deadline_at_ms : float
        Time by which the caller must have an answer.
    done : Callable
        Gets the outcome, once.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        route: Route,
        deadline_at_ms: float,
        done: Callable[[Outcome], None],
    ) -> None:
        self._around = surroundings
        self._route = route
        self._started_ms = surroundings.timers.now_ms()
        self._deadline_at_ms = deadline_at_ms
        self._done: Callable[[Outcome], None] | None = done

    @abstractmethod
    def start(self) -> None:
        """Begin to ask leafs."""

    def cancel(self) -> None:
        """Stop all work: the caller has left."""
        self._done = None
        self._stop_calls()

    @property
    def _ended(self) -> bool:
        return self._done is None

    def _schedule_end(self) -> None:
        """Set the timer of the request's deadline."""
        left_ms = self._deadline_at_ms - self._started_ms
        self._around.timers.call_later(left_ms, self._time_is_up)

    def _finish(self, outcome: Outcome) -> None:
        """Tell the outcome; the calls still stand, so that the log can name them."""
        done = self._done
        self._done = None
        if done is not None:
            done(outcome)
        self._stop_calls()

    @abstractmethod
    def _time_is_up(self) -> None:
        """End the request with what there is, unless it has ended."""

    @abstractmethod
    def _stop_calls(self) -> None:
        """Stop the calls that have not settled."""

    @abstractmethod
    def _outcome(self, otherwise: FailureReason) -> Outcome:
        """Return the outcome as of now."""


__all__ = ["RETRY_AFTER_MS", "NoRun", "RoutedRun", "Run"]
