"""A request that waits until leafs have room for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .gather_run import GatherRun
from .run import Run

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.query_stages import QueryStages
    from .request_log import Unanswered


class WaitingRun(Run):
    """Stands for a request until it has started, then for its run.

    Parameters
    ----------
    leave : Callable
        Takes the request out of the queue, as its caller has left.
    """

    def __init__(self, leave: Callable[[], None]) -> None:
        self._leave = leave
        self._run: Run | None = None

    def follow(self, run: Run) -> None:
        """Set the run of the request, which has started."""
        self._run = run

    def cancel(self) -> None:
        """Leave the queue; nothing has been sent. Or cancel the attempts."""
        if self._run is None:
            self._leave()
        else:
            self._run.cancel()

    def grant_further_attempts(self, positions: tuple[int, ...]) -> None:
        """Allow further attempts of a delegated query."""
        if isinstance(self._run, GatherRun):
            self._run.grant_further_attempts(positions)

    def unanswered(self) -> list[Unanswered]:
        """Return the services without an answer."""
        return [] if self._run is None else self._run.unanswered()

    def stages(self) -> QueryStages | None:
        """Return the stages of a query over all shards."""
        return None if self._run is None else self._run.stages()

    def began_ms(self) -> float | None:
        """Return the time of the first attempt; None while the request waits."""
        return None if self._run is None else self._run.began_ms()

    def delegations(self) -> str:
        """Return the coordinators that were asked."""
        return "" if self._run is None else self._run.delegations()


__all__ = ["WaitingRun"]
