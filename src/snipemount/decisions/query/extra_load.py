"""Budget of one entry daemon for the extra attempts of a service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...model.profile import ExtraLoadLimits

FAULT_PERIOD_MS = 3000.0
INITIAL_TOKENS = 2.0


class ExtraLoadBudget:
    """Token bucket that first attempts fill and extra attempts empty.

    Parameters
    ----------
    limits : ExtraLoadLimits
        Tokens per first attempt, ordinarily and after a fault, and capacity.

    Attributes
    ----------
    first_attempts : int
        Number of first attempts so far.
    extra_attempts : int
        Number of extra attempts granted so far.
    """

    def __init__(self, limits: ExtraLoadLimits) -> None:
        self._limits = limits
        self._tokens = min(INITIAL_TOKENS, limits.burst)
        self._faulty_until_ms = -1.0
        self.first_attempts = 0
        self.extra_attempts = 0

    def add_first_attempts(self, exchanges: int, now_ms: float) -> None:
        """Count first attempts, each of which adds a fraction of a token."""
        self.first_attempts += exchanges
        faulty = now_ms < self._faulty_until_ms
        fraction = self._limits.faulty if faulty else self._limits.ordinary
        self._tokens = min(self._limits.burst, self._tokens + exchanges * fraction)

    def note_fault(self, now_ms: float) -> None:
        """Use the higher fraction for a while because a server has failed."""
        self._faulty_until_ms = now_ms + FAULT_PERIOD_MS

    def take(self, exchanges: int = 1) -> bool:
        """Spend a token per extra attempt; return False if there are too few."""
        if self._tokens < exchanges:
            return False
        self._tokens -= exchanges
        self.extra_attempts += exchanges
        return True


__all__ = ["ExtraLoadBudget"]
