"""Admission at the gateway: starts, queues or refuses requests by the leafs' load."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..identity.authenticator import effective_priority
from ..model.configuration import ToAllShards, ToService
from ..model.forwarding import NotRun, NotRunReason, RefusalReason, RequestRefused
from ..model.identity import OfOrganisation
from ..overload.admission import Admission
from ..overload.request import AdmissionRequest, Admitted, Queued, Refused
from .overload_log import OverloadLog
from .waiting_run import WaitingRun

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.leafs.leaf_state import LeafState
    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from ..ports.leaf import AttemptReport
    from .context import ServingContext
    from .run import Run

    Done = Callable[[RequestOutcome], None]

TICK_MS = 50.0  # until it is known again which waiting requests start
MOST_URGENT = 0
MAX_RANK_LABELS = 8  # bounds the metric's size


@attrs.frozen
class PendingStart:
    """How a request goes on once it is decided.

    Parameters
    ----------
    start : Callable
        Starts it; gets what its outcome is passed to.
    refuse : Callable
        Ends it with a refusal.
    done : Callable
        Gets the outcome of a request that was started.
    """

    start: Callable[[Done], Run]
    refuse: Callable[[RequestRefused], Run]
    done: Done


class OverloadControl:
    """Decides on requests before their first attempts, and keeps those that wait.

    Parameters
    ----------
    context : ServingContext
        Directory, clock, log and metrics.
    random : Random
        Source of positions and of the spread of retries.
    is_on : Callable
        Returns whether the operators have turned it on.
    """

    def __init__(
        self, context: ServingContext, random: Random, is_on: Callable[[], bool]
    ) -> None:
        self._context = context
        self._is_on = is_on
        self._admission = Admission(random, self._leaf_count)
        self._log = OverloadLog(context.logger)
        self._waiting: dict[int, tuple[AdmissionRequest, PendingStart, WaitingRun]] = {}
        self._ticks = False
        self._stopping = False

    @property
    def is_on(self) -> bool:
        """Whether requests are decided on."""
        return self._is_on() and not self._stopping

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return self._admission.waiting_count

    @property
    def max_held_ranks(self) -> float:
        """Highest level of all services; 0 while nothing is held back."""
        groups = self._admission.groups
        return max((group.level.held_ranks for group in groups), default=0.0)

    def note_attempt(self, state: LeafState, report: AttemptReport) -> None:
        """Record the load that a leaf reports, or its refusal for lack of capacity.

        A leaf that states a limit may refuse for that.
        """
        if not self.is_on:
            return
        leaf = state.leaf
        now_ms = self._context.timers.now_ms()
        if report.load is not None:
            self._admission.note_report(leaf.service, leaf.leaf_id, report.load, now_ms)
        if report.outcome == NotRun(NotRunReason.REFUSED) and state.limit is None:
            self._admission.note_refusal(leaf.service, leaf.leaf_id, now_ms)

    def reserves_slots(self, route: Route, request: ForwardRequest) -> bool:
        """Return whether a request leaves slots free for more urgent ones."""
        return self.is_on and effective_priority(route, request.caller) > MOST_URGENT

    def submit(
        self,
        route: Route,
        target: ToService | ToAllShards,
        request: ForwardRequest,
        deadline_at_ms: float,
        pending: PendingStart,
    ) -> Run:
        """Start, queue or refuse a request; return its handle."""
        asked = self._asked(route, target, request, deadline_at_ms)
        decision = self._admission.decide(asked, self._context.timers.now_ms())
        self._update_log()
        match decision:
            case Admitted():
                return self._start(asked, pending)
            case Refused(retry_after_ms):
                return self._refuse(asked, pending, retry_after_ms)
            case Queued(ticket):
                self._count("queued", asked)
                self._log.note_queued(asked.services)
                run = WaitingRun(lambda: self._leave(ticket))
                self._waiting[ticket] = asked, pending, run
                return run

    def stop(self) -> None:
        """Refuse what waits; from now on nothing is held back."""
        self._stopping = True
        now_ms = self._context.timers.now_ms()
        for ticket, refused in self._admission.refuse_all(now_ms):
            asked, pending, _ = self._waiting.pop(ticket)
            # Another coordinator may run a delegated query.
            reason = RefusalReason.STOPPING
            self._refuse(asked, pending, refused.retry_after_ms, reason)

    def _asked(
        self,
        route: Route,
        target: ToService | ToAllShards,
        request: ForwardRequest,
        deadline_at_ms: float,
    ) -> AdmissionRequest:
        caller = request.caller
        match target:
            case ToAllShards(shards, _, min_share):
                services = shards
            case ToService(service):
                services, min_share = (service,), 1.0
        return AdmissionRequest(
            services=services,
            min_share=min_share,
            rank=effective_priority(route, caller),
            organisation=caller.name if isinstance(caller, OfOrganisation) else "",
            typical_ms=self._context.timing(route).typical_ms,
            deadline_at_ms=deadline_at_ms,
        )

    def _start(self, asked: AdmissionRequest, pending: PendingStart) -> Run:
        def on_outcome(outcome: RequestOutcome) -> None:
            match outcome:
                case RequestRefused(RefusalReason.ALL_REFUSED, stated_ms):
                    now_ms = self._context.timers.now_ms()
                    expected_ms = self._admission.retry_after_ms(asked, now_ms)
                    outcome = RequestRefused(
                        RefusalReason.ALL_REFUSED, max(stated_ms, expected_ms)
                    )
            pending.done(outcome)

        return pending.start(on_outcome)

    def _refuse(
        self,
        asked: AdmissionRequest,
        pending: PendingStart,
        retry_after_ms: float,
        reason: RefusalReason = RefusalReason.OVERLOADED,
    ) -> Run:
        self._count("refused", asked)
        self._log.note_refused(asked.services)
        return pending.refuse(RequestRefused(reason, retry_after_ms))

    def _leave(self, ticket: int) -> None:
        self._waiting.pop(ticket, None)
        self._admission.leave(ticket)

    def _update_log(self) -> None:
        now_ms = self._context.timers.now_ms()
        self._log.update(self._admission.groups, now_ms)
        if self._log.is_open and not self._ticks:
            self._ticks = True
            self._context.timers.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        """Start or refuse what waited, while a service is overloaded."""
        self._ticks = False
        now_ms = self._context.timers.now_ms()
        self._admission.update(now_ms)
        for ticket, decision in self._admission.release(now_ms):
            asked, pending, run = self._waiting.pop(ticket)
            match decision:
                case Admitted():
                    run.follow(self._start(asked, pending))
                case Refused(retry_after_ms):
                    run.follow(self._refuse(asked, pending, retry_after_ms))
        self._update_log()

    def _count(self, decision: str, asked: AdmissionRequest) -> None:
        rank = str(asked.rank) if asked.rank < MAX_RANK_LABELS else "other"
        self._context.metrics.admission(decision, rank)

    def _leaf_count(self, service: str) -> int:
        """Return the number of leafs that may be asked, without those that are lost."""
        states = self._context.reachable(service)
        return sum(state.consecutive_losses == 0 for state in states)


__all__ = ["OverloadControl", "PendingStart"]
