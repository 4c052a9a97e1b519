"""Turns of the services of a split route, in proportion to their weights."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.configuration import WeightedService


class WeightedTurns:
    """Smooth weighted round robin: short runs keep the proportions too.

    Parameters
    ----------
    parts : tuple of WeightedService
        Services and weights.
    """

    def __init__(self, parts: tuple[WeightedService, ...]) -> None:
        self._parts = parts
        self._total = sum(part.weight for part in parts)
        self._credit = [0.0] * len(parts)

    def next(self) -> str:
        """Return the service whose turn it is."""
        for index, part in enumerate(self._parts):
            self._credit[index] += part.weight
        best = max(range(len(self._parts)), key=self._credit.__getitem__)
        self._credit[best] -= self._total
        return self._parts[best].service


__all__ = ["WeightedTurns"]
