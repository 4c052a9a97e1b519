"""What the requests under way share: leafs, budgets, latencies, ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.answer_timing import RouteTiming
from ..decisions.extra_sends import ExtraSends

if TYPE_CHECKING:
    from ..decisions.extra_sends import ExtraSendBound
    from ..decisions.leaf_choice import LeafChoice
    from ..decisions.leaf_directory import LeafDirectory
    from ..model.configuration import Route
    from ..ports.leaf import LeafPort
    from ..timers import TimerService


@attrs.define(eq=False)
class Surroundings:
    """State shared by all requests of a daemon.

    Parameters
    ----------
    timers : TimerService
        Time.
    leafs : LeafPort
        Sends requests.
    directory : LeafDirectory
        Which leafs may be asked.
    choice : LeafChoice
        Which of them is asked first.
    bound : ExtraSendBound
        Bound on second sends over all daemons.
    daemons : int
        Daemons that share the bounds.
    """

    timers: TimerService
    leafs: LeafPort
    directory: LeafDirectory
    choice: LeafChoice
    bound: ExtraSendBound
    daemons: int = 8
    timings: dict[str, RouteTiming] = attrs.field(factory=dict)
    budgets: dict[str, ExtraSends] = attrs.field(factory=dict)
    started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.timers.now_ms()

    def timing(self, route: Route) -> RouteTiming:
        """Return the latencies of a route."""
        found = self.timings.get(route.name)
        if found is None:
            found = self.timings[route.name] = RouteTiming(route)
        return found

    def budget(self, service: str) -> ExtraSends:
        """Return the budget of second sends to a service."""
        found = self.budgets.get(service)
        if found is None:
            found = ExtraSends(self.bound, self.started_ms)
            self.budgets[service] = found
        return found


__all__ = ["Surroundings"]
