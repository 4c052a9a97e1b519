"""Round-robin choice of servers, the baseline for the load-aware choice."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING

from ..decisions.servers.fleet_view import FleetView
from ..decisions.servers.placement import Placer

if TYPE_CHECKING:
    from ..model.fleet import BackendServer
    from .world import World


class RoundRobinPlacer(Placer):
    """Chooses the least recently used server, whatever its load or zone."""

    def __init__(self, fleet: FleetView) -> None:
        super().__init__("", fleet, Random(0))
        self._last_used: dict[str, int] = {}
        self._sequence = count()

    def record_use(self, name: str) -> None:
        """Record that a server was used; it becomes the last choice."""
        self._last_used[name] = next(self._sequence)

    def _score_ms(
        self, server: BackendServer, scores: dict[str, float], now_ms: float
    ) -> float:
        last_used = float(self._last_used.get(server.name, -1))
        scores[server.name] = last_used
        return last_used


class RoundRobinFleetView(FleetView):
    """Fleet view that passes each exchange sent on to its round-robin placer.

    Attributes
    ----------
    placer : RoundRobinPlacer
        Placer that chooses from this view.
    """

    def __init__(self) -> None:
        super().__init__()
        self.placer = RoundRobinPlacer(self)

    def note_sent(self, server: str) -> None:
        """Record an exchange sent to a server."""
        super().note_sent(server)
        self.placer.record_use(server)


def use_round_robin(world: World, service: str) -> None:
    """Make every daemon choose the servers of a service round-robin.

    Raises
    ------
    AssertionError
        If a daemon does not know the service.
    """
    for daemon in world.daemons.values():
        state = daemon.node.entry.services.state(service)
        if state is None:
            raise AssertionError(
                f"daemon {daemon.node.own.name} does not know service {service}"
            )
        view = RoundRobinFleetView()
        state.fleet = view
        state.placer = view.placer


__all__ = ["RoundRobinFleetView", "RoundRobinPlacer", "use_round_robin"]
