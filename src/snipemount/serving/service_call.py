"""One request to one service: its first attempt, hedges and retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.fleet.zone_reachability import UNRESPONSIVE_AFTER_MS, is_response
from ..model.forwarding import (
    NOT_ARRIVED_REASONS,
    LeafAnswer,
    NotRun,
    NoValidResponse,
    NoValidResponseReason,
)
from .attempt_records import AttemptRecords
from .call_budget import CallBudget
from .leaf_refusals import note_not_run
from .leaf_selection import LeafSelection
from .pending_attempt import PendingAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route, ToAllShards, ToService
    from ..model.forwarding import ForwardRequest, NotRunReason, RequestRefused
    from ..ports.leaf import AttemptReport
    from .context import ServingContext

UNRESPONSIVE_LATENCY_RATIO = 3.0
HEDGE_BUDGET_SHARE = 0.8  # hedges leave the rest of the budget to retries


class ServiceCall:
    """Asks the leafs of one service until one has answered or no attempt is left.

    A call settles with an answer, or without one when no further attempt is possible:
    all leafs tried, attempts or budget used up, or the request not idempotent.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    service : str
        Name of the service, or of the shard, to ask.
    route : Route
        Sets idempotence and number of attempts.
    request : ForwardRequest
        Request that the leafs get.
    deadline_at_ms : float
        Monotonic time after which nothing is sent.
    on_settled : Callable
        Called once when the call settles, unless it is cancelled.
    earlier_attempts : int
        Attempts that other daemons may have made at the service; with any, the first
        attempt is an extra one too.
    request_further : Callable or None
        Asks for the permission that each attempt needs once one may have run; None if
        none is needed.
    on_held : Callable or None
        Called instead of settling when only the quarantine forbids a further attempt;
        None to settle.

    Attributes
    ----------
    settled : bool
        Whether the call has ended.
    answer : LeafAnswer or None
        Answer other than a server error.
    failure : LeafAnswer or None
        Latest server error.
    answered_ms : float
        Monotonic time of the answer; 0 before it.
    records : AttemptRecords
        What became of the attempts.
    """

    def __init__(
        self,
        context: ServingContext,
        service: str,
        route: Route,
        request: ForwardRequest,
        deadline_at_ms: float,
        on_settled: Callable[[ServiceCall], None],
        earlier_attempts: int = 0,
        request_further: Callable[[], None] | None = None,
        on_held: Callable[[ServiceCall], None] | None = None,
    ) -> None:
        self._on_held = on_held
        self._context = context
        self.service = service
        self._route = route
        self._request = request
        self._deadline_at_ms = deadline_at_ms
        self._on_settled = on_settled
        self._timing = context.timing(route)
        self._leafs = LeafSelection(context, service, route, request)
        self._pending: list[PendingAttempt] = []
        self._earlier_attempts = earlier_attempts
        self._possible_runs = earlier_attempts
        self._request_further = request_further
        self._further_requested = False
        self._further_granted = 0
        self._possible_arrivals = 0
        free_attempts = 0 if earlier_attempts > 0 else 1
        self._budget = CallBudget(context, service, free_attempts)
        self.settled = False
        self.answer: LeafAnswer | None = None
        self.failure: LeafAnswer | None = None
        self.answered_ms = 0.0
        self.records = AttemptRecords()

    @property
    def may_have_run(self) -> bool:
        """Whether any leaf may have run the request.

        An attempt whose connection is still being opened is never sent once the call
        is cancelled.
        """
        unsent = sum(
            attempt.handle is not None and not attempt.handle.was_sent
            for attempt in self._pending
        )
        return self._possible_runs > unsent

    @property
    def was_attempted(self) -> bool:
        """Whether any attempt was made."""
        return bool(self._leafs.tried)

    def describe_attempts(self) -> str:
        """Return each attempt as leaf, result and duration in ms, or `no_leaf`."""
        return self.records.describe(self._pending, self._context.timers.now_ms())

    def start(self) -> None:
        """Send the first attempt to the best leaf; settle if there is none."""
        if self._earlier_attempts > 0:
            if not self._take_budget("repeated") or not self._send_next_attempt():
                self._settle()
            return
        self._context.budget(self.service).add_request(self._context.timers.now_ms())
        if not self._send_next_attempt() and not self._hold():
            self._settle()

    def hedge(self) -> bool:
        """Send a further attempt while the first one is pending.

        Returns
        -------
        bool
            Whether it was sent. It is not where the route is not idempotent, its
            attempts are used up, no other leaf is available or the budget is spent.
        """
        if self.settled or not self._route.idempotent or len(self._pending) != 1:
            return False
        if (
            self._possible_runs >= self._route.max_attempts
            or not self._leafs.has_other_to_hedge
        ):
            return False
        if self._awaits_permission():
            self._request_permission()
            return False
        return self._take_budget(
            "late", HEDGE_BUDGET_SHARE
        ) and self._send_next_attempt(hedges=True)

    def grant_further_attempt(self) -> None:
        """Make the further attempt that was asked for, if it is still of use."""
        self._further_requested = False
        self._further_granted += 1
        if self.settled:
            return
        if self._pending:
            self.hedge()
        else:
            self._retry_or_settle()

    def held_refusal(self, target: ToService | ToAllShards) -> RequestRefused | None:
        """Return the refusal of the request if the quarantine holds it back."""
        return self._context.crashes.refusal(self._request, target)

    def resume(self) -> None:
        """Make the attempt that was held back, if the quarantine allows it now."""
        self._retry_or_settle()

    def try_held(self) -> None:
        """Make the attempt that was held back, though the leaf may crash."""
        self._leafs.ignores_hold = True
        self._retry_or_settle()

    def settle_held(self) -> None:
        """Settle without the attempt that is held back."""
        if not self.settled:
            self._settle()

    def _awaits_permission(self) -> bool:
        """Return whether the next attempt needs a further permission.

        One that was used for an attempt that has not run is still valid.
        """
        own_runs = self._possible_runs - self._earlier_attempts
        return self._request_further is not None and own_runs > self._further_granted

    def _request_permission(self) -> None:
        if not self._further_requested and self._request_further is not None:
            self._further_requested = True
            self._request_further()

    def note_unresponsive_leafs(self) -> None:
        """Record leafs as unresponsive that exceed the typical latency by far."""
        now_ms = self._context.timers.now_ms()
        for attempt in self._pending:
            if now_ms - attempt.sent_ms > self._unresponsive_after_ms:
                self._context.note_unresponsive(attempt.state.leaf)

    @property
    def may_succeed(self) -> bool:
        """Whether there is an answer, or one may still come from a reachable zone."""
        if self.settled:
            return self.answer is not None
        reachability = self._context.reachability
        waiting = any(
            not reachability.is_cut_off(attempt.state.leaf.zone)
            for attempt in self._pending
        )
        return waiting or self._leafs.has_other

    @property
    def _unresponsive_after_ms(self) -> float:
        return max(
            UNRESPONSIVE_AFTER_MS, UNRESPONSIVE_LATENCY_RATIO * self._timing.typical_ms
        )

    def cancel(self) -> None:
        """Cancel all attempts; `on_settled` is not called any more."""
        self.settled = True
        self._cancel_pending()

    def _take_budget(self, cause: str, share: float = 1.0) -> bool:
        return self._budget.take(cause, self._possible_arrivals, share)

    def _send_next_attempt(self, hedges: bool = False) -> bool:
        now_ms = self._context.timers.now_ms()
        left_ms = self._deadline_at_ms - now_ms
        if left_ms < 1.0 or self._possible_runs >= self._route.max_attempts:
            return False
        state = self._leafs.pick(self._timing.typical_ms, hedges)
        if state is None:
            return False
        self._possible_runs += 1
        self._possible_arrivals += 1
        is_apart = self._context.crashes.begin_attempt(self._request, state.leaf)
        attempt = PendingAttempt(state, state.sent(now_ms), now_ms, is_apart)
        self._pending.append(attempt)
        self.records.note_sent(now_ms)
        if state.limit is not None:
            self._context.metrics.limited_attempt(len(self._leafs.tried) > 1)
        attempt.handle = self._context.leafs.send(
            state.leaf,
            self._request,
            left_ms,
            lambda report: self._on_report(attempt, report),
        )
        return True

    def _on_report(self, attempt: PendingAttempt, report: AttemptReport) -> None:
        if attempt not in self._pending:
            return
        self._pending.remove(attempt)
        self._end_apart(attempt)
        now_ms = self._context.timers.now_ms()
        self._record_attempt(attempt, report, now_ms)
        if is_response(report.outcome):
            self._context.note_response(attempt.state.leaf)
        if self._context.overload is not None:
            self._context.overload.note_attempt(attempt.state, report)
        if report.load is not None:
            attempt.state.load_reported(report.load, now_ms)
        if report.notice is not None:
            self._context.note_leaf_notice(attempt.state, report.notice)
        match report.outcome:
            case LeafAnswer() as answer:
                self._on_answer(attempt, answer, now_ms)
            case NotRun(reason):
                self._on_not_run(attempt, reason, now_ms)
            case NoValidResponse(reason):
                attempt.state.lost(attempt.number, False, now_ms)
                self._on_lost(attempt, reason)

    def _on_lost(self, attempt: PendingAttempt, reason: NoValidResponseReason) -> None:
        """Retry, after it is known whether the request has crashed the leaf."""
        if reason is not NoValidResponseReason.CONNECTION_CLOSED:
            self._retry_or_settle()
            return
        self._context.crashes.note_lost(
            self._request, attempt.state, self._retry_or_settle
        )
        if not self._may_retry():
            self._retry_or_settle()

    def _end_apart(self, attempt: PendingAttempt) -> None:
        if attempt.is_apart:
            self._context.crashes.end_attempt(attempt.state.leaf)

    def _record_attempt(
        self, attempt: PendingAttempt, report: AttemptReport, now_ms: float
    ) -> None:
        ended = self.records.add(attempt, report, now_ms)
        zone = attempt.state.leaf.zone
        self._context.metrics.attempt(zone, ended.result, ended.took_ms)

    def _on_answer(
        self, attempt: PendingAttempt, answer: LeafAnswer, now_ms: float
    ) -> None:
        self._context.crashes.note_answer(self._request, attempt.state.leaf)
        if not answer.is_server_error:
            attempt.state.answered(attempt.number, self._timing.typical_ms, now_ms)
            self._timing.add(attempt.state.leaf.zone, now_ms - attempt.sent_ms)
            self.answer = answer
            self.answered_ms = now_ms
            self._settle()
            return
        attempt.state.failed(attempt.number, now_ms)
        self.failure = answer
        self._retry_or_settle()

    def _on_not_run(
        self, attempt: PendingAttempt, reason: NotRunReason, now_ms: float
    ) -> None:
        self._possible_runs -= 1
        if reason in NOT_ARRIVED_REASONS:
            self._note_not_arrived(attempt)
        request_id = self._request.request_id
        note_not_run(self._context, attempt, reason, request_id, now_ms)
        self._retry_or_settle()

    def _note_not_arrived(self, attempt: PendingAttempt) -> None:
        self._possible_arrivals -= 1
        attempt.state.not_arrived()

    def _retry_or_settle(self) -> None:
        if self.settled or self._pending:
            return
        if self._hold():
            return
        if self._may_retry() and self._awaits_permission():
            self._request_permission()
            return
        if (
            not self._may_retry()
            or not self._take_budget("failed")
            or not self._send_next_attempt()
        ):
            self._settle()

    def _hold(self) -> bool:
        """Wait, if only the quarantine forbids the next attempt; return whether."""
        if self._on_held is None or not self._may_retry() or not self._leafs.is_held:
            return False
        self._on_held(self)
        return True

    def _may_retry(self) -> bool:
        if self._possible_runs >= self._route.max_attempts:
            return False
        return self._route.idempotent or self._possible_runs == 0

    def _settle(self) -> None:
        self.settled = True
        self._cancel_pending()
        self._on_settled(self)

    def _cancel_pending(self) -> None:
        now_ms = self._context.timers.now_ms()
        for attempt in self._pending:
            self._end_apart(attempt)
            attempt.state.cancelled(attempt.number, self._timing.typical_ms, now_ms)
            waited_ms = now_ms - attempt.sent_ms
            if waited_ms > self._timing.typical_ms:
                self._timing.add(attempt.state.leaf.zone, waited_ms)
            if waited_ms > self._unresponsive_after_ms:
                self._context.note_unresponsive(attempt.state.leaf)
            if attempt.handle is not None and not attempt.handle.cancel():
                self._note_not_arrived(attempt)
        self._pending.clear()
        self._budget.return_unused(self._possible_arrivals)


__all__ = ["ServiceCall"]
