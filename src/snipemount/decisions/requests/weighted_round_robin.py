"""Distribution of a split route's requests over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...model.configuration import WeightedService


class WeightedRoundRobin:
    """Smooth weighted round robin: short sequences keep the proportions too.

    Parameters
    ----------
    parts : tuple of WeightedService
        Services of the route with their weights.
    """

    def __init__(self, parts: tuple[WeightedService, ...]) -> None:
        self._parts = parts
        self._total_weight = sum(part.weight for part in parts)
        self._credits = [0.0] * len(parts)

    def next_service(self) -> str:
        """Return the service that gets the next request."""
        for index, part in enumerate(self._parts):
            self._credits[index] += part.weight
        best = max(range(len(self._parts)), key=self._credits.__getitem__)
        self._credits[best] -= self._total_weight
        return self._parts[best].service


__all__ = ["WeightedRoundRobin"]
