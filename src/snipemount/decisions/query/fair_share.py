"""Share of each caller in the recent admissions."""

from __future__ import annotations

import math

import attrs

DECAY_MS = 1000.0
MIN_COUNT = 0.05
MAX_CALLERS_UNPRUNED = 256


@attrs.define(eq=False)
class DecayingCount:
    """Number of admissions, decaying exponentially.

    Parameters
    ----------
    value : float
        Count as of `at_ms`.
    at_ms : float
        Time of the last admission.
    """

    value: float
    at_ms: float

    def decayed(self, now_ms: float) -> float:
        """Return the count as of `now_ms`."""
        return self.value * math.exp((self.at_ms - now_ms) / DECAY_MS)

    def add(self, now_ms: float) -> None:
        """Count one admission."""
        self.value = self.decayed(now_ms) + 1.0
        self.at_ms = now_ms


class FairShare:
    """Decaying counts of admissions by caller.

    Callers without recent admissions are dropped, to bound the memory.
    """

    def __init__(self) -> None:
        self._callers: dict[str, DecayingCount] = {}
        self._total = DecayingCount(0.0, 0.0)

    def admitted(self, caller: str, now_ms: float) -> None:
        """Count an admission of `caller`."""
        count = self._callers.get(caller)
        if count is None:
            count = self._callers[caller] = DecayingCount(0.0, now_ms)
            if len(self._callers) > MAX_CALLERS_UNPRUNED:
                self._prune(now_ms)
        count.add(now_ms)
        self._total.add(now_ms)

    def ratio(self, caller: str, now_ms: float) -> float:
        """Return the caller's share of recent admissions, relative to an even share."""
        count = self._callers.get(caller)
        total = self._total.decayed(now_ms)
        if count is None or total < MIN_COUNT:
            return 0.0
        return count.decayed(now_ms) * len(self._callers) / total

    def is_contended(self, caller: str, now_ms: float) -> bool:
        """Return whether any other caller has recent admissions."""
        self._prune(now_ms)
        return any(name != caller for name in self._callers)

    def _prune(self, now_ms: float) -> None:
        for name, count in list(self._callers.items()):
            if count.decayed(now_ms) < MIN_COUNT:
                del self._callers[name]


__all__ = ["FairShare"]
