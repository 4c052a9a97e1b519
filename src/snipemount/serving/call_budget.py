"""Budget of extra attempts as one call uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .context import ServingContext


class CallBudget:
    """Takes from the service's budget of extra attempts, and returns what is unused.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    service : str
        Name of the service that is asked.
    free_attempts : int
        Attempts that need no budget.
    """

    def __init__(
        self, context: ServingContext, service: str, free_attempts: int
    ) -> None:
        self._context = context
        self._service = service
        self._free_attempts = free_attempts
        self._taken = 0

    def take(self, cause: str, arrivals: int, share: float) -> bool:
        """Return whether a further attempt may be made.

        Parameters
        ----------
        cause : str
            Why it is wanted, for the metrics.
        arrivals : int
            Attempts so far that may have reached a leaf.
        share : float
            Share of the budget that this cause may use.
        """
        if arrivals < self._free_attempts:
            return True
        budget = self._context.budget(self._service)
        granted = budget.try_spend(self._context.timers.now_ms(), share)
        self._taken += granted
        self._context.metrics.extra_attempt(cause, granted)
        return granted

    def return_unused(self, arrivals: int) -> None:
        """Return the budget of extra attempts that were never sent."""
        unused = self._taken - max(0, arrivals - self._free_attempts)
        if unused > 0:
            self._context.budget(self._service).refund(unused)
            self._taken -= unused


__all__ = ["CallBudget"]
