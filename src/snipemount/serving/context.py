"""Serving context: what all requests of a daemon share."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..decisions.fleet.coordinators import coordinator_names
from ..decisions.fleet.limit_shares import ASSUMED_DAEMONS, LimitShares
from ..decisions.query.answer_timing import LoopLag, RouteTiming
from ..decisions.requests.extra_attempts import ExtraAttemptBudget
from ..model.forwarding import RefusalReason, RequestRefused
from ..model.leaf_notice import SILENT_NOTICE
from ..ports.leaf import ProbeResult
from .crash_watch import CrashWatch
from .leaf_limits import LeafLimits
from .reserved_slots import leave_slots_free
from .retry_after import MAX_RETRY_AFTER_MS, RETRY_AFTER_MS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from structlog.typing import FilteringBoundLogger

    from ..decisions.fleet.zone_reachability import ZoneReachability
    from ..decisions.leafs.cold_limit import ColdLimit
    from ..decisions.leafs.leaf_choice import LeafChoice
    from ..decisions.leafs.leaf_directory import LeafDirectory
    from ..decisions.leafs.leaf_state import LeafState
    from ..decisions.requests.extra_attempts import ExtraAttemptLimit
    from ..model.configuration import Route, ToAllShards
    from ..model.forwarding import ForwardRequest
    from ..model.leaf import Leaf
    from ..model.leaf_notice import LeafNotice
    from ..ports.leaf import LeafPort
    from ..ports.relay import DaemonAddress
    from ..ports.serving_metrics import ServingMetrics
    from ..timers import TimerService
    from .overload_control import OverloadControl

LEAFS_PER_PROBE = 4
MIN_LOGGED_REST_MS = 500.0  # a leaf that sheds load may state less many times a second


def _no_stated_load(service: str) -> float:
    return 0.0


def _no_shard(service: str) -> bool:
    return False


def _no_wait() -> float:
    return 0.0


def _ignore() -> None:
    """Do nothing."""


@attrs.define(eq=False)
class ServingContext:
    """Ports, directory, budgets and latencies that all requests of a daemon share.

    Parameters
    ----------
    timers : TimerService
        Clock and timers.
    leafs : LeafPort
        Sends requests to leafs.
    directory : LeafDirectory
        Known leafs and the state of each.
    choice : LeafChoice
        Picks the leaf of each attempt.
    extra_attempt_limit : ExtraAttemptLimit
        Limit on extra attempts over all daemons.
    reachability : ZoneReachability
        Tracks which zones are cut off.
    logger : FilteringBoundLogger
        Receives the events of the serving path.
    metrics : ServingMetrics
        Receives metrics.
    cold_limit : ColdLimit
        Limit on the requests to a cold leaf over all daemons.
    own_name : str
        Name of this daemon.
    limit_shares : LimitShares
        Daemons that share the limits; none until the registry has been read.
    cold_requests_per_s : Callable
        Returns the requests per second that the operators configure for each cold leaf
        of a service; 0 for no limit.
    is_shard : Callable
        Returns whether a configured query asks a service as one of its shards.
    on_zones_changed : Callable
        Called when a zone has become cut off, or reachable again.
    ms_until_moved : Callable
        Returns after how many milliseconds new callers reach other daemons, as this one
        is not ready; 0 while it is.

    Attributes
    ----------
    lag : LoopLag
        How late timers fire.
    timings : dict of str to RouteTiming
        Latencies by route.
    budgets : dict of str to ExtraAttemptBudget
        Budgets of extra attempts by service.
    started_ms : float
        Monotonic time of the start.
    leaf_limits : LeafLimits
        Limits that leafs state.
    crashes : CrashWatch
        Requests that leafs crash on.
    running_legs : int
        Shards of the queries that run in this daemon.
    overload : OverloadControl or None
        Decides on requests by the load of the leafs; None where it never does.
    """

    timers: TimerService
    leafs: LeafPort
    directory: LeafDirectory
    choice: LeafChoice
    extra_attempt_limit: ExtraAttemptLimit
    reachability: ZoneReachability
    logger: FilteringBoundLogger
    metrics: ServingMetrics
    cold_limit: ColdLimit
    own_name: str
    limit_shares: LimitShares = attrs.field(init=False)
    cold_requests_per_s: Callable[[str], float] = attrs.field(default=_no_stated_load)
    is_shard: Callable[[str], bool] = attrs.field(default=_no_shard)
    on_zones_changed: Callable[[], None] = attrs.field(default=_ignore)
    ms_until_moved: Callable[[], float] = attrs.field(default=_no_wait)
    lag: LoopLag = attrs.field(factory=LoopLag)
    timings: dict[str, RouteTiming] = attrs.field(factory=dict)
    budgets: dict[str, ExtraAttemptBudget] = attrs.field(factory=dict)
    started_ms: float = attrs.field(init=False)
    leaf_limits: LeafLimits = attrs.field(init=False)
    crashes: CrashWatch = attrs.field(init=False)
    _daemons: dict[str, DaemonAddress] = attrs.field(factory=dict, init=False)
    running_legs: int = 0
    overload: OverloadControl | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.started_ms = self.timers.now_ms()
        self.limit_shares = LimitShares(self.own_name)
        self.leaf_limits = LeafLimits(self.directory, self, self.timers, self.logger)
        self.crashes = CrashWatch(self)

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the limits; an assumed one until it is known."""
        return len(self.limit_shares.daemons) or ASSUMED_DAEMONS

    def timing(self, route: Route) -> RouteTiming:
        """Return the latencies of a route, created on first use."""
        found = self.timings.get(route.name)
        if found is None:
            found = self.timings[route.name] = RouteTiming(route)
        return found

    def reachable(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that could get requests but for their limits.

        Leaves out those in zones that are cut off, and those whose address another leaf
        has now.
        """
        states = self.directory.service_states(service)
        states = self.directory.without_reused_addresses(states, self.timers.now_ms())
        if self.reachability.cut_off_zones():
            states = [
                s for s in states if not self.reachability.is_cut_off(s.leaf.zone)
            ]
        return states

    def candidates(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that may get a request now.

        Leaves out the leafs that are not reachable, and those that this daemon has
        sent its share of their limit: a limit that they state, or that on cold leafs.
        """
        states = self.leaf_limits.allowed(self.reachable(service))
        stated_per_s = self.cold_requests_per_s(service)
        if stated_per_s <= 0.0:
            return states
        limit = self.cold_limit.requests_per_s(stated_per_s)
        return [s for s in states if self._accepts_cold_request(s, limit)]

    def first_leafs(
        self, service: str, route: Route, request: ForwardRequest
    ) -> list[LeafState]:
        """Return the leafs of a service for the first attempt of a request."""
        states = self.candidates(service)
        if self.overload is None or not self.overload.reserves_slots(route, request):
            return states
        return leave_slots_free(states, self.timers.now_ms())

    def _accepts_cold_request(self, state: LeafState, limit: int) -> bool:
        now_ms = self.timers.now_ms()
        if not state.is_cold(now_ms):
            return True
        leaf = state.leaf
        share = self.own_share(limit, leaf.leaf_id, leaf.service)
        return state.cold_attempts.allows(int(share), now_ms)

    def can_serve(self, target: ToAllShards) -> bool:
        """Return whether enough of a query's shards have a leaf that may be asked."""
        served_shards = sum(bool(self.candidates(shard)) for shard in target.shards)
        return target.suffices(served_shards)

    def can_reach(self, target: ToAllShards) -> bool:
        """Return whether enough of a query's shards have a leaf, limits aside."""
        reached_shards = sum(bool(self.reachable(shard)) for shard in target.shards)
        return target.suffices(reached_shards)

    def refuse(
        self, shards: Sequence[str], min_share: float, attempted: bool
    ) -> RequestRefused:
        """Return the refusal of a request that no leaf has run.

        It states when enough leafs take requests again, as far as they have said so, or
        when the balancer has moved the caller to another daemon.

        Parameters
        ----------
        shards : Sequence of str
            Services that have to answer.
        min_share : float
            Share of them that suffices, 0 to 1.
        attempted : bool
            Whether leafs were asked, which all refused.
        """
        waits_ms = sorted(
            self.leaf_limits.ms_until_allowed(self.reachable(shard)) for shard in shards
        )
        needed = max(1, math.ceil(min_share * len(waits_ms)))
        wait_ms = waits_ms[needed - 1]
        must_wait = 0.0 < wait_ms < math.inf
        retry_after_ms = max(RETRY_AFTER_MS, wait_ms if must_wait else 0.0)
        if self.reachability.cut_off_zones():
            retry_after_ms = max(retry_after_ms, self.ms_until_moved())
        if attempted:
            reason = RefusalReason.ALL_REFUSED
        else:
            reason = RefusalReason.LEAF_LIMITS if must_wait else RefusalReason.NO_LEAF
        return RequestRefused(reason, min(MAX_RETRY_AFTER_MS, retry_after_ms))

    def note_response(self, leaf: Leaf) -> None:
        """Record a response of a leaf; logs when its zone is reachable again."""
        if self.reachability.note_response(leaf.zone, self.timers.now_ms()):
            self.logger.info("zone_reached", zone=leaf.zone)
            self.on_zones_changed()

    def note_unresponsive(self, leaf: Leaf) -> None:
        """Record that a leaf gave no response; logs when its zone is now cut off."""
        now_ms = self.timers.now_ms()
        if self.reachability.note_unresponsive(leaf.zone, leaf.leaf_id, now_ms):
            self._on_zone_cut_off(leaf.zone)

    def note_refused_connection(self, leaf: Leaf) -> None:
        """Record a refused connection; logs when the leaf's zone is now cut off."""
        now_ms = self.timers.now_ms()
        if self.reachability.note_refused(leaf.zone, leaf.leaf_id, now_ms):
            self._on_zone_cut_off(leaf.zone)

    def _on_zone_cut_off(self, zone: str) -> None:
        self.logger.warning("zone_cut_off", zone=zone)
        self.on_zones_changed()

    def note_zone_reported(self, zone: str, reported_by: str) -> None:
        """Record that a daemon of the own zone finds a zone cut off."""
        if self.reachability.note_reported(zone, self.timers.now_ms()):
            self.logger.warning("zone_cut_off", zone=zone, reported_by=reported_by)

    def note_leaf_notice(self, state: LeafState, notice: LeafNotice) -> None:
        """Record what a leaf states about itself."""
        if notice is not SILENT_NOTICE:
            state = self.directory.present_state(state)
        self.leaf_limits.note(state, notice.limit)
        if notice.rest_ms > 0.0:
            self._note_rest(state, notice.rest_ms)
        if notice.leaving and not state.statements.leaving:
            self.directory.mark_leaving(state)
            leaf = state.leaf
            self.logger.info("leaf_leaving", leaf=leaf.leaf_id, service=leaf.service)

    def _note_rest(self, state: LeafState, rest_ms: float) -> None:
        state.statements.rest(self.timers.now_ms() + rest_ms)
        if rest_ms < MIN_LOGGED_REST_MS:
            return
        self.logger.info(
            "leaf_rests",
            leaf=state.leaf.leaf_id,
            service=state.leaf.service,
            rest_ms=round(rest_ms),
        )

    def probe_zones(self) -> None:
        """Probe some leafs of each cut-off zone whose probes are due.

        A few at a time, as some of them may have crashed.
        """
        for zone in self.reachability.due_probes(self.timers.now_ms()):
            states = [s for s in self.directory.all_states() if s.leaf.zone == zone]
            for state in self.choice.random_leafs(states, LEAFS_PER_PROBE):
                self._probe(state.leaf)

    def _probe(self, leaf: Leaf) -> None:
        def done(result: ProbeResult) -> None:
            # A network that is cut may refuse connections.
            if result is ProbeResult.ACCEPTED:
                self.note_response(leaf)

        self.leafs.probe(leaf, done)

    def add_daemons(self, daemons: Iterable[DaemonAddress]) -> None:
        """Share the limits with further daemons.

        A stale listing may lack daemons, and shares must not grow by that; so none
        is removed.
        """
        for daemon in daemons:
            self._daemons[daemon.name] = daemon
        coordinators = coordinator_names(self._daemons.values())
        names = frozenset(self._daemons)
        shares = LimitShares(self.own_name, names, coordinators)
        if shares != self.limit_shares:
            self.limit_shares = shares
            self.recompute_shares()

    def own_share(self, limit: float, subject: str, service: str) -> float:
        """Return this daemon's share of a limit that all daemons share.

        Parameters
        ----------
        limit : float
            Limit over all daemons.
        subject : str
            What is limited: a leaf or a service.
        service : str
            Service that is limited, or that the leaf belongs to.
        """
        if self.is_shard(service):
            return self.limit_shares.of_shard(limit, subject)
        return self.limit_shares.of_service(limit, subject)

    def recompute_shares(self) -> None:
        """Recompute this daemon's shares after a change of the limits or daemons."""
        slack = self.extra_attempt_limit.shared_slack
        for service, budget in self.budgets.items():
            budget.set_limit(
                self.extra_attempt_limit,
                self.own_share(slack, service, service),
                self.timers.now_ms(),
            )
        self.leaf_limits.recompute_shares()

    def budget(self, service: str) -> ExtraAttemptBudget:
        """Return the budget of extra attempts of a service, created on first use."""
        found = self.budgets.get(service)
        if found is None:
            slack = self.own_share(
                self.extra_attempt_limit.shared_slack, service, service
            )
            found = ExtraAttemptBudget(self.extra_attempt_limit, slack, self.started_ms)
            self.budgets[service] = found
        return found


__all__ = ["ServingContext"]
