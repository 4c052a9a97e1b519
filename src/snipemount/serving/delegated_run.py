"""Query over all shards that a coordinator runs for this daemon."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from ..decisions.query.answer_timing import RouteTiming
from ..model.delegation import DelegatedQuery
from ..model.forwarding import (
    FailureReason,
    RefusalReason,
    RequestFailed,
    RequestRefused,
)
from .coordinator_links import DelegationObserver
from .run import Run, RunTerms

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route, ToAllShards
    from ..model.delegation import DeclineReason
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from ..model.query_stages import QueryStages
    from .context import ServingContext
    from .coordinator_links import CoordinatorLink, CoordinatorLinks
    from .request_log import Unanswered

MAX_DELEGATIONS = 2  # before the daemon runs the query itself
# Longer than a coordinator usually takes until its loop reads the query.
ACCEPT_TIMEOUT_MS = 25.0
# How long after the answer was due a coordinator may stay silent.
SILENCE_TIMEOUT_MS = 60.0
RUNNING_PERIOD_MS = 100.0  # of the coordinator's messages that the query still runs
# Other coordinators see the same leafs, and the same crashes of them.
FINAL_REFUSALS = (RefusalReason.OVERLOADED, RefusalReason.QUARANTINED)
HOPS_TO_CALLER = 2.0  # the answer passes this daemon's link twice


@attrs.frozen
class DelegatedRequest:
    """A caller's query and the terms under which it is served.

    Parameters
    ----------
    request : ForwardRequest
        The caller's request.
    route : Route
        Its route.
    target : ToAllShards
        The route's shards, and how many of them an answer needs.
    version : int
        Version of the configuration that the route belongs to.
    started_ms : float
        Monotonic time of its arrival.
    deadline_at_ms : float
        Monotonic time at which it ends.
    """

    request: ForwardRequest
    route: Route
    target: ToAllShards
    version: int
    started_ms: float
    deadline_at_ms: float


class DelegatedRun(Run, DelegationObserver):
    """Gives a query to a coordinator, or runs it here if none takes it.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    links : CoordinatorLinks
        Connections to coordinators.
    query : DelegatedRequest
        The query.
    run_here : Callable
        Starts the query in this daemon under the given terms.
    done : Callable
        Called once with the outcome, unless the query is cancelled.
    """

    def __init__(
        self,
        context: ServingContext,
        links: CoordinatorLinks,
        query: DelegatedRequest,
        run_here: Callable[[RunTerms, Callable[[RequestOutcome], None]], Run],
        done: Callable[[RequestOutcome], None],
    ) -> None:
        self._context = context
        self._links = links
        self._query = query
        self._run_here = run_here
        self._done: Callable[[RequestOutcome], None] | None = done
        self._asked: dict[str, str] = {}
        self._zones_without_leafs: set[str] = set()
        self._refusals: list[RequestRefused] = []
        self._link: CoordinatorLink | None = None
        self._query_id = 0
        self._sent_ms = 0.0
        self._heard_ms: float | None = None
        # Attempts at each shard that earlier coordinators may have made.
        self._earlier_attempts = [0] * len(query.target.shards)
        # Those after the first that the present coordinator has been granted.
        self._further_attempts: Counter[int] = Counter()
        self._own_run: Run | None = None
        # First delegation of which a leaf may have run the query.
        self._delegated_ms: float | None = None

    def start(self) -> None:
        """Give the query to the first coordinator."""
        left_ms = self._query.deadline_at_ms - self._context.timers.now_ms()
        self._context.timers.call_later(left_ms, self._on_deadline)
        self._ask_next()

    def cancel(self) -> None:
        """Cancel the query where it runs, as the caller has left."""
        self._done = None
        self._leave_coordinator("cancelled")
        if self._own_run is not None:
            self._own_run.cancel()

    def unanswered(self) -> list[Unanswered]:
        """Return what is missing of a query that ran here.

        What a coordinator did not get is in its own log.
        """
        return [] if self._own_run is None else self._own_run.unanswered()

    def stages(self) -> QueryStages | None:
        """Return the stages of a query that ran here; None if a coordinator ran it."""
        return None if self._own_run is None else self._own_run.stages()

    def delegations(self) -> str:
        """Return each coordinator that was asked, with the result."""
        return ",".join(f"{name}:{result}" for name, result in self._asked.items())

    def began_ms(self) -> float | None:
        """Return when the query was first given to a coordinator that may have run it.

        That of its own run if no coordinator may have.
        """
        if self._delegated_ms is not None or self._own_run is None:
            return self._delegated_ms
        return self._own_run.began_ms()

    def on_accepted(self) -> None:
        """Wait for the outcome."""
        self._heard_ms = self._context.timers.now_ms()
        self._record("accepted")

    def on_running(self) -> None:
        """Go on waiting."""
        self._heard_ms = self._context.timers.now_ms()

    def on_further_requested(self, positions: tuple[int, ...]) -> None:
        """Grant what the route's attempts allow."""
        allowed = tuple(p for p in positions if self._attempts_left(p))
        self._further_attempts.update(allowed)
        if self._link is not None and allowed:
            self._link.grant(self._query_id, allowed)

    def on_declined(self, reason: DeclineReason) -> None:
        """Ask another coordinator; this one has not run the query."""
        self._note_not_run()
        self._end_delegation(reason.value)
        self._ask_next()

    def on_lost(self) -> None:
        """Ask another coordinator; this one may have run the query."""
        self._count_possible_run()
        self._end_delegation("lost")
        self._ask_next()

    def on_ended(self, outcome: RequestOutcome, ran_ms: float) -> None:
        """Pass on the outcome, or ask elsewhere if the coordinator could not run it."""
        elapsed_ms = self._context.timers.now_ms() - self._sent_ms
        self._links.hop.add(max(0.0, elapsed_ms - ran_ms))
        if isinstance(outcome, RequestRefused):
            self._refusals.append(outcome)
            self._note_not_run()
            if self._link is not None:
                self._zones_without_leafs.add(self._link.daemon.zone)
            self._end_delegation(outcome.reason.value)
            if outcome.reason in FINAL_REFUSALS:
                self._finish(outcome)
            else:
                self._ask_next()
            return
        self._end_delegation("answered")
        self._finish(outcome)

    @property
    def _may_have_run(self) -> bool:
        return any(self._earlier_attempts)

    def _count_possible_run(self) -> None:
        """Count the attempts of a coordinator that may have run the query."""
        for position in range(len(self._earlier_attempts)):
            self._earlier_attempts[position] += 1 + self._further_attempts[position]

    def _note_not_run(self) -> None:
        """Record that no leaf was asked by the present coordinator."""
        if not self._may_have_run:
            self._delegated_ms = None

    def _attempts_left(self, position: int) -> bool:
        """Return whether the present coordinator may make a further attempt."""
        if position >= len(self._earlier_attempts):
            return False
        made = 1 + self._earlier_attempts[position] + self._further_attempts[position]
        return made < self._query.route.max_attempts

    def _can_repeat(self) -> bool:
        """Return whether enough shards may still be asked."""
        most = self._query.route.max_attempts
        open_shards = sum(attempts < most for attempts in self._earlier_attempts)
        return self._query.target.suffices(open_shards)

    def _can_repeat_after_this(self) -> bool:
        """Return whether shards may be asked that the present coordinator has asked."""
        most = self._query.route.max_attempts
        open_shards = sum(
            attempts + 1 + self._further_attempts[position] < most
            for position, attempts in enumerate(self._earlier_attempts)
        )
        return self._query.target.suffices(open_shards)

    def _ask_next(self) -> None:
        if self._done is None:
            return
        if not self._can_repeat():
            self._finish(RequestFailed(FailureReason.TOO_FEW_SHARDS))
            return
        link = None
        if len(self._asked) < MAX_DELEGATIONS:
            link = self._links.choose(set(self._asked), self._zones_without_leafs)
        if link is None:
            self._start_own_run()
        else:
            self._delegate(link)

    def _delegate(self, link: CoordinatorLink) -> None:
        now_ms = self._context.timers.now_ms()
        query_id = self._links.take_query_id()
        self._further_attempts.clear()
        self._link, self._query_id = link, query_id
        self._sent_ms, self._heard_ms = now_ms, None
        if self._delegated_ms is None:
            self._delegated_ms = now_ms
        self._record("sent")
        answer_within_ms = self._answer_within_ms(now_ms)
        query = DelegatedQuery(
            query_id,
            self._context.own_name,
            self._query.request,
            self._query.version,
            answer_within_ms,
            self._query.deadline_at_ms - now_ms - self._links.hop.value_ms,
            tuple(self._earlier_attempts) if self._may_have_run else (),
        )
        link.send(query, self)
        timers = self._context.timers
        timers.call_later(ACCEPT_TIMEOUT_MS, lambda: self._check_accepted(query_id))
        silence_ms = answer_within_ms + SILENCE_TIMEOUT_MS
        timers.call_later(silence_ms, lambda: self._check_running(query_id))

    def _answer_within_ms(self, now_ms: float) -> float:
        lag_ms = self._context.lag.value_ms
        due_ms = RouteTiming.answer_after_ms(self._query.route, lag_ms)
        elapsed_ms = now_ms - self._query.started_ms
        return max(0.0, due_ms - elapsed_ms - HOPS_TO_CALLER * self._links.hop.value_ms)

    def _check_accepted(self, query_id: int) -> None:
        if self._link is None or query_id != self._query_id:
            return
        if self._heard_ms is None:
            self._give_up("not_accepted")

    def _check_running(self, query_id: int) -> None:
        if self._link is None or query_id != self._query_id or self._heard_ms is None:
            return
        now_ms = self._context.timers.now_ms()
        if now_ms - self._heard_ms > RUNNING_PERIOD_MS + SILENCE_TIMEOUT_MS:
            self._give_up("silent")
        if self._link is None or query_id != self._query_id:
            return
        self._context.timers.call_later(
            RUNNING_PERIOD_MS, lambda: self._check_running(query_id)
        )

    def _give_up(self, reason: str) -> None:
        """Ask elsewhere, as the coordinator does not respond.

        If nobody else may be asked, its answer is awaited until its link is given up:
        it may only have stalled.
        """
        assert self._link is not None
        self._link.suspect()
        if not self._can_repeat_after_this():
            return
        self._count_possible_run()
        self._leave_coordinator(reason)
        self._ask_next()

    def _leave_coordinator(self, result: str) -> None:
        if self._link is not None:
            self._link.cancel(self._query_id)
            self._end_delegation(result)

    def _end_delegation(self, result: str) -> None:
        self._record(result)
        self._context.metrics.delegation(result)
        self._link = None

    def _record(self, result: str) -> None:
        assert self._link is not None
        took_ms = self._context.timers.now_ms() - self._sent_ms
        self._asked[self._link.daemon.name] = f"{result}:{took_ms:.0f}ms"

    def _start_own_run(self) -> None:
        now_ms = self._context.timers.now_ms()
        lag_ms = self._context.lag.value_ms
        due_ms = RouteTiming.answer_after_ms(self._query.route, lag_ms)
        terms = RunTerms(
            self._query.deadline_at_ms,
            max(0.0, due_ms - (now_ms - self._query.started_ms)),
            tuple(self._earlier_attempts),
        )
        self._own_run = self._run_here(terms, self._finish)

    def _on_deadline(self) -> None:
        if self._done is not None and self._own_run is None:
            self._leave_coordinator("timeout")
            self._finish(RequestFailed(FailureReason.TIMEOUT))

    def _finish(self, outcome: RequestOutcome) -> None:
        done, self._done = self._done, None
        if done is None:
            return
        if isinstance(outcome, RequestRefused):
            outcome = self._final_refusal(outcome)
        done(outcome)

    def _final_refusal(self, own: RequestRefused) -> RequestOutcome:
        """Return the refusal whose daemon can serve the query the soonest."""
        if self._may_have_run:
            return RequestFailed(FailureReason.TOO_FEW_SHARDS)
        return min((own, *self._refusals), key=lambda refusal: refusal.retry_after_ms)


__all__ = ["DelegatedRequest", "DelegatedRun"]
