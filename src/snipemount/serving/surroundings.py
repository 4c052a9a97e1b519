"""What the requests under way share: leafs, budgets, latencies, ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.answer_timing import RouteTiming
from ..decisions.extra_sends import ExtraSends

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..decisions.extra_sends import ExtraSendBound
    from ..decisions.leaf_choice import LeafChoice
    from ..decisions.leaf_directory import LeafDirectory
    from ..decisions.leaf_state import LeafState
    from ..decisions.zone_reach import ZoneReach
    from ..model.configuration import Route, ToAllShards
    from ..model.leaf import Leaf
    from ..ports.leaf import LeafPort
    from ..ports.measures import Measures
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
    reach : ZoneReach
        Which zones are reached.
    logger : FilteringBoundLogger
        Logger.
    measures : Measures
        Figures.
    daemons : int
        Daemons that share the bounds.
    """

    timers: TimerService
    leafs: LeafPort
    directory: LeafDirectory
    choice: LeafChoice
    bound: ExtraSendBound
    reach: ZoneReach
    logger: FilteringBoundLogger
    measures: Measures
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

    def candidates(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that may be asked and can be reached."""
        states = self.directory.service_states(service)
        if not self.reach.cut_off_zones():
            return states
        return [s for s in states if not self.reach.is_cut_off(s.leaf.zone)]

    def can_serve(self, target: ToAllShards) -> bool:
        """Return whether enough of a query's shards have a leaf that is reached."""
        served = sum(bool(self.candidates(shard)) for shard in target.shards)
        return served > 0 and served >= target.least_share * len(target.shards)

    def heard(self, leaf: Leaf) -> None:
        """Note that something came from a leaf."""
        if self.reach.heard(leaf.zone, self.timers.now_ms()):
            self.logger.info("zone_reached", zone=leaf.zone)

    def silent(self, leaf: Leaf) -> None:
        """Note that a leaf gave no sign of life."""
        if self.reach.silent(leaf.zone, leaf.leaf_id, self.timers.now_ms()):
            self.logger.warning("zone_cut_off", zone=leaf.zone)

    def probe_zones(self) -> None:
        """Probe one leaf of each zone that is taken as cut off."""
        for zone in self.reach.due_probes(self.timers.now_ms()):
            states = [s for s in self.directory.all_states() if s.leaf.zone == zone]
            if states:
                self._probe(self.choice.any_of(states).leaf)

    def _probe(self, leaf: Leaf) -> None:
        def done(alive: bool) -> None:
            if alive:
                self.heard(leaf)

        self.leafs.probe(leaf, done)

    def budget(self, service: str) -> ExtraSends:
        """Return the budget of second sends to a service."""
        found = self.budgets.get(service)
        if found is None:
            found = ExtraSends(self.bound, self.started_ms)
            self.budgets[service] = found
        return found


__all__ = ["Surroundings"]
