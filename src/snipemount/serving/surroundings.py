"""What the requests under way share: leafs, budgets, latencies, ports."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.answer_timing import LoopLag, RouteTiming
from ..decisions.extra_sends import ExtraSends
from ..decisions.shares import share_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from ..decisions.cold_limit import ColdBound
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


UNKNOWN_DAEMONS = 64  # before the register has been read: shares are small


def _none_stated(service: str) -> float:
    return 0.0


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
    cold_bound : ColdBound
        Bound on a cold leaf's requests over all daemons.
    own_name : str
        Name of this daemon.
    daemon_names : frozenset of str
        Daemons that share the bounds.
    cold_requests_per_s : Callable
        Gives the load that the operators state for a service's cold leafs.
    """

    timers: TimerService
    leafs: LeafPort
    directory: LeafDirectory
    choice: LeafChoice
    bound: ExtraSendBound
    reach: ZoneReach
    logger: FilteringBoundLogger
    measures: Measures
    cold_bound: ColdBound
    own_name: str
    daemon_names: frozenset[str] = frozenset()
    cold_requests_per_s: Callable[[str], float] = attrs.field(default=_none_stated)
    lag: LoopLag = attrs.field(factory=LoopLag)
    timings: dict[str, RouteTiming] = attrs.field(factory=dict)
    budgets: dict[str, ExtraSends] = attrs.field(factory=dict)
    started_ms: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.timers.now_ms()

    @property
    def daemons(self) -> int:
        """How many daemons share the bounds."""
        return len(self.daemon_names) or UNKNOWN_DAEMONS

    def timing(self, route: Route) -> RouteTiming:
        """Return the latencies of a route."""
        found = self.timings.get(route.name)
        if found is None:
            found = self.timings[route.name] = RouteTiming(route)
        return found

    def candidates(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that may be asked and can be reached."""
        states = self.directory.service_states(service)
        states = self.directory.at_their_address(states, self.timers.now_ms())
        if self.reach.cut_off_zones():
            states = [s for s in states if not self.reach.is_cut_off(s.leaf.zone)]
        stated_per_s = self.cold_requests_per_s(service)
        if stated_per_s <= 0.0:
            return states
        bound = self.cold_bound.requests_per_s(stated_per_s)
        return [s for s in states if self._bears_more(s, bound)]

    def _bears_more(self, state: LeafState, bound: int) -> bool:
        now_ms = self.timers.now_ms()
        if not state.is_cold(now_ms):
            return True
        share = self.part_of(bound, state.leaf.leaf_id)
        return state.cold_sends.allows(int(share), now_ms)

    def can_serve(self, target: ToAllShards) -> bool:
        """Return whether enough of a query's shards have a leaf that is reached."""
        served = sum(bool(self.candidates(shard)) for shard in target.shards)
        return target.suffices(served)

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

    def part_of(self, bound: float, subject: str) -> float:
        """Return this daemon's part of a bound that all daemons share.

        As long as the register has not been read there may be many daemons.
        """
        if not self.daemon_names:
            return bound / UNKNOWN_DAEMONS if bound >= UNKNOWN_DAEMONS else 0.0
        return share_of(bound, subject, self.daemon_names, self.own_name)

    def share_bounds(self) -> None:
        """Work out this daemon's parts anew: bounds or daemons have changed."""
        for service, budget in self.budgets.items():
            budget.share(self.bound, self.part_of(self.bound.safe_slack, service))

    def budget(self, service: str) -> ExtraSends:
        """Return the budget of second sends to a service."""
        found = self.budgets.get(service)
        if found is None:
            slack = self.part_of(self.bound.safe_slack, service)
            found = ExtraSends(self.bound, slack, self.started_ms)
            self.budgets[service] = found
        return found


__all__ = ["Surroundings"]
