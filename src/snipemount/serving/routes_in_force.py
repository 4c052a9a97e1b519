"""Routes of the configuration in force, and for a while of the one before."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..decisions.requests.route_table import RouteTable

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.configuration import Route

# A delegated query may run under the configuration before, so long after its end: the
# other daemon gets the newer one within this time.
PREVIOUS_CONFIGURATION_MS = 200.0


class RoutesInForce:
    """Route tables by version of the configuration.

    Attributes
    ----------
    current : RouteTable or None
        Routes in force; None before the first configuration.
    """

    def __init__(self) -> None:
        self.current: RouteTable | None = None
        self._version = 0
        self._previous: RouteTable | None = None
        self._previous_version = 0
        self._replaced_ms = -math.inf

    def replace(self, version: int, routes: Iterable[Route], now_ms: float) -> None:
        """Put the routes of a newer version in force."""
        self._previous_version, self._previous = self._version, self.current
        self._version, self.current = version, RouteTable(routes)
        self._replaced_ms = now_ms

    def of_version(self, version: int, now_ms: float) -> RouteTable | None:
        """Return the routes of a version; None if it is not in force any more."""
        if version == self._version:
            return self.current
        replaced_for_ms = now_ms - self._replaced_ms
        if (
            version == self._previous_version
            and replaced_for_ms <= PREVIOUS_CONFIGURATION_MS
        ):
            return self._previous
        return None


__all__ = ["RoutesInForce"]
