"""How much of the admissions of late a caller has had."""

from __future__ import annotations

import math

import attrs

MEMORY_MS = 1000.0
LEAST_WEIGHT = 0.05
FORGET_ABOVE = 256


@attrs.define(eq=False)
class Weight:
    """Admissions of one caller, fading with time."""

    value: float
    at_ms: float

    def faded(self, now_ms: float) -> float:
        """Return the value as of `now_ms`."""
        return self.value * math.exp((self.at_ms - now_ms) / MEMORY_MS)

    def add(self, now_ms: float) -> None:
        """Count one admission."""
        self.value = self.faded(now_ms) + 1.0
        self.at_ms = now_ms


class FairShare:
    """Fading counts of admissions by caller, of a bounded number of callers."""

    def __init__(self) -> None:
        self._callers: dict[str, Weight] = {}
        self._total = Weight(0.0, 0.0)

    def admitted(self, caller: str, now_ms: float) -> None:
        """Count an admission of `caller`."""
        weight = self._callers.get(caller)
        if weight is None:
            weight = self._callers[caller] = Weight(0.0, now_ms)
            if len(self._callers) > FORGET_ABOVE:
                self._forget(now_ms)
        weight.add(now_ms)
        self._total.add(now_ms)

    def ratio(self, caller: str, now_ms: float) -> float:
        """Return the caller's share of late in ratio to an even share."""
        weight = self._callers.get(caller)
        total = self._total.faded(now_ms)
        if weight is None or total < LEAST_WEIGHT:
            return 0.0
        return weight.faded(now_ms) * len(self._callers) / total

    def is_contended(self, caller: str, now_ms: float) -> bool:
        """Return whether any other caller was admitted of late."""
        self._forget(now_ms)
        return any(name != caller for name in self._callers)

    def _forget(self, now_ms: float) -> None:
        for name, weight in list(self._callers.items()):
            if weight.faded(now_ms) < LEAST_WEIGHT:
                del self._callers[name]


__all__ = ["FairShare"]
