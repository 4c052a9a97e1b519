"""A request of an organisation, which is counted once when it ends."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from ..model.forwarding import RequestRefused
from .run import Run

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import RequestOutcome
    from ..model.query_stages import QueryStages
    from ..timers import TimerService
    from .request_log import Unanswered


class RequestCounter(ABC):
    """Counts requests by organisation; all times are monotonic."""

    @abstractmethod
    def opened(self, organisation: str, began_ms: Callable[[], float | None]) -> int:
        """Record a request that arrives now; return its number for `ended`.

        `began_ms` returns the time of the request's first attempt, or None while it is
        certain that no leaf has run it.
        """

    @abstractmethod
    def ended(self, number: int, began_ms: float | None) -> None:
        """Count a request that has ended; None if no leaf has run it."""


class CountedRun(Run):
    """Counts a request when its outcome is known or its caller has left.

    Parameters
    ----------
    counter : RequestCounter
        Counts the request.
    organisation : str
        Organisation that it belongs to.
    timers : TimerService
        Monotonic clock.
    done : Callable
        Called with the outcome.
    """

    def __init__(
        self,
        counter: RequestCounter,
        organisation: str,
        timers: TimerService,
        done: Callable[[RequestOutcome], None],
    ) -> None:
        self._counter = counter
        self._started_ms = timers.now_ms()
        self._done = done
        self._run: Run | None = None
        self._is_open = True
        self._number = counter.opened(organisation, self.began_ms)

    def follow(self, run: Run) -> Run:
        """Set the run that is counted; return the handle for the caller."""
        self._run = run
        return self

    def finish(self, outcome: RequestOutcome) -> None:
        """Count the request unless it was refused, and pass on the outcome."""
        if isinstance(outcome, RequestRefused):
            self._end(None)
        else:
            # Without a run, an error has ended the request after its first attempts.
            self._end(self._started_ms if self._run is None else self._run.began_ms())
        self._done(outcome)

    def cancel(self) -> None:
        """Count the request if a leaf may have run it, and cancel its attempts."""
        if self._run is not None:
            self._end(self._run.began_ms())
            self._run.cancel()

    def began_ms(self) -> float | None:
        """Return the time of the first attempt; None if no leaf has run it."""
        return None if self._run is None else self._run.began_ms()

    def unanswered(self) -> list[Unanswered]:
        """Return the services without an answer."""
        return [] if self._run is None else self._run.unanswered()

    def stages(self) -> QueryStages | None:
        """Return the stages of a query over all shards."""
        return None if self._run is None else self._run.stages()

    def delegations(self) -> str:
        """Return the coordinators that were asked."""
        return "" if self._run is None else self._run.delegations()

    def _end(self, began_ms: float | None) -> None:
        if self._is_open:
            self._is_open = False
            self._counter.ended(self._number, began_ms)


__all__ = ["CountedRun", "RequestCounter"]
