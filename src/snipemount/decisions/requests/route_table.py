"""Lookup of a request's route by host and longest path prefix."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...model.configuration import Route


class RouteTable:
    """Routes indexed by host and prefix.

    A lookup takes time proportional to the number of path segments.

    Parameters
    ----------
    routes : Iterable of Route
        Routes of one configuration, each with a prefix that ends in a slash.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: defaultdict[str, dict[str, Route]] = defaultdict(dict)
        for route in routes:
            self._hosts[route.host.lower()][route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or None."""
        prefixes = self._hosts.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


__all__ = ["RouteTable"]
