"""Baseline of the choice of servers: each in turn, whatever its load."""

from __future__ import annotations

from itertools import count
from random import Random
from typing import TYPE_CHECKING

from ..decisions.fleet_view import FleetView
from ..decisions.placement import Placer

if TYPE_CHECKING:
    from ..model.fleet import BackendServer
    from .world import World


class RoundRobinPlacer(Placer):
    """Takes the server whose last turn lies back furthest, in any zone."""

    def __init__(self, fleet: FleetView) -> None:
        super().__init__("", fleet, Random(0))
        self._turns: dict[str, int] = {}
        self._numbers = count()

    def took(self, name: str) -> None:
        """Put a server at the end of the row."""
        self._turns[name] = next(self._numbers)

    def _score_ms(
        self, server: BackendServer, scores: dict[str, float], now_ms: float
    ) -> float:
        turn = float(self._turns.get(server.name, -1))
        scores[server.name] = turn
        return turn


class TurnCounter(FleetView):
    """Fleet view that tells a round-robin placer of each exchange sent."""

    def __init__(self) -> None:
        super().__init__()
        self.placer = RoundRobinPlacer(self)

    def note_sent(self, server: str) -> None:
        """Count an exchange on its way."""
        super().note_sent(server)
        self.placer.took(server)


def use_round_robin(world: World, service: str) -> None:
    """Let every daemon of a world choose servers in turn."""
    for daemon in world.daemons.values():
        state = daemon.node.entry.state(service)
        if state is None:
            raise AssertionError("the service is not known yet")
        view = TurnCounter()
        state.fleet = view
        state.placer = view.placer


__all__ = ["RoundRobinPlacer", "TurnCounter", "use_round_robin"]
