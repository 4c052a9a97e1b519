"""Query over all shards: merges their answers, or a sufficient part by the deadline."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..decisions.query.record_merge import greatest_records
from ..model.forwarding import (
    FailureReason,
    LeafAnswer,
    Merged,
    RequestFailed,
    RequestRefused,
)
from ..model.query_stages import QueryStages
from .request_log import Unanswered
from .run import RoutedRun
from .service_call import ServiceCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route, ToAllShards
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from .context import ServingContext
    from .run import RunTerms

HEDGE_CHECK_PERIOD_MS = 8.0
# On a small VM, opening the connections of a whole query blocks the loop about as long;
# answers may then wait unread, and a late timer says nothing about the leafs.
MAX_LOOP_LAG_MS = 6.0


class GatherRun(RoutedRun):
    """Asks every shard, hedges late legs, and merges the answers.

    Once the latency objective approaches, the query ends with the answers at hand, if
    they are sufficient; otherwise it waits for more until its deadline.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    route : Route
        Sets idempotence, number of attempts and latency objective.
    target : ToAllShards
        Shards to ask, and how many of them an answer needs.
    request : ForwardRequest
        Request that each shard gets.
    terms : RunTerms
        Deadline, and when an answer is due.
    done : Callable
        Called once with the outcome, unless the request is cancelled.
    """

    def __init__(
        self,
        context: ServingContext,
        route: Route,
        target: ToAllShards,
        request: ForwardRequest,
        terms: RunTerms,
        done: Callable[[RequestOutcome], None],
    ) -> None:
        super().__init__(context, route, terms.deadline_at_ms, done)
        self._terms = terms
        self._target = target
        self._unsettled = len(target.shards)
        self._calls = [
            self._make_call(position, shard, request)
            for position, shard in enumerate(target.shards)
        ]
        # Calls that only the quarantine keeps from a further attempt.
        self._held: list[ServiceCall] = []
        self._has_tried = False  # one of them, as all were held
        self._wanted_further: list[int] = []
        self._next_check_ms = 0.0
        self._answer_due = False
        self._running_legs = 0
        self._sent_ms = 0.0

    def _make_call(
        self, position: int, shard: str, request: ForwardRequest
    ) -> ServiceCall:
        terms = self._terms
        earlier = terms.earlier_attempts[position] if terms.earlier_attempts else 0
        request_further = None
        if terms.request_further is not None:
            request_further = partial(self._request_further, position)
        return ServiceCall(
            self._context,
            shard,
            self._route,
            request,
            terms.deadline_at_ms,
            self._on_settled,
            earlier,
            request_further,
            self._on_held,
        )

    def start(self) -> None:
        """Ask every shard; refuse at once if too few have a leaf that can be asked."""
        context = self._context
        if not context.can_serve(self._target):
            self._finish(self._refusal(attempted=False))
            return
        self._schedule_check(context.timing(self._route).hedge_delay_ms(self._route))
        self._schedule_deadline()
        context.timers.call_later(self._terms.answer_within_ms, self._on_answer_due)
        self._running_legs = len(self._calls)
        context.running_legs += self._running_legs
        for call in self._calls:
            call.start()
        self._sent_ms = context.timers.now_ms() - self._started_ms

    def grant_further_attempts(self, positions: tuple[int, ...]) -> None:
        """Allow a further attempt at each of the shards at some positions."""
        for position in positions:
            if position < len(self._calls):
                self._calls[position].grant_further_attempt()

    def _request_further(self, position: int) -> None:
        """Collect the requests of one iteration of the event loop, then send them."""
        if not self._wanted_further:
            self._context.timers.call_later(0.0, self._send_further_request)
        self._wanted_further.append(position)

    def _send_further_request(self) -> None:
        positions, self._wanted_further = tuple(self._wanted_further), []
        if not self._ended and self._terms.request_further is not None:
            self._terms.request_further(positions)

    def unanswered(self) -> list[Unanswered]:
        """Return the shards without a successful answer, with their attempts."""
        return [
            Unanswered(call.service, call.describe_attempts())
            for call in self._calls
            if call.answer is None or not call.answer.succeeded
        ]

    def stages(self) -> QueryStages:
        """Return what the query has spent its time on so far."""
        parts_ms = sorted(c.answered_ms for c in self._calls if c.answer is not None)
        parts_ms = [time_ms - self._started_ms for time_ms in parts_ms] or [0.0]
        return QueryStages(
            sent_ms=self._sent_ms,
            connections_opened=sum(
                call.records.connections_opened for call in self._calls
            ),
            connect_ms=max(
                (call.records.connect_ms for call in self._calls), default=0.0
            ),
            first_part_ms=parts_ms[0],
            median_part_ms=parts_ms[len(parts_ms) // 2],
            last_part_ms=parts_ms[-1],
            bytes_read=sum(call.records.bytes_read for call in self._calls),
            loop_lag_ms=self._context.lag.value_ms,
        )

    def began_ms(self) -> float | None:
        """Return the time of the first attempt; None if no leaf has run it."""
        for call in self._calls:
            # Those of another daemon count there, so a call may have made none.
            if call.records.began_ms is not None and call.may_have_run:
                return call.records.began_ms
        return None

    def _check_late_calls(self) -> None:
        if self._ended:
            return
        if not self._is_loop_lagging():
            for call in self._calls:
                call.hedge()
                call.note_unresponsive_leafs()
            if self._cannot_succeed():
                self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))
                return
        self._schedule_check(HEDGE_CHECK_PERIOD_MS)

    def _schedule_check(self, delay_ms: float) -> None:
        self._next_check_ms = self._context.timers.now_ms() + delay_ms
        self._context.timers.call_later(delay_ms, self._check_late_calls)

    def _is_loop_lagging(self) -> bool:
        """Return whether the timer fired so late that answers may be waiting unread."""
        return self._context.timers.now_ms() - self._next_check_ms > MAX_LOOP_LAG_MS

    def _cannot_succeed(self) -> bool:
        if not self._context.reachability.cut_off_zones():
            return False
        return not self._target.suffices(sum(call.may_succeed for call in self._calls))

    def _on_held(self, call: ServiceCall) -> None:
        """Let a call wait for an answer to another one, which clears the request."""
        if call not in self._held:
            self._held.append(call)
        self._settle_if_all_held()

    def _on_settled(self, call: ServiceCall) -> None:
        self._unsettled -= 1
        if self._ended:
            return
        if self._unsettled == 0:
            self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))
            return
        if self._answer_due:
            self._answer_if_sufficient()
        if self._held and call.answer is not None:
            self._resume_held()
        else:
            self._settle_if_all_held()

    def _resume_held(self) -> None:
        held, self._held = self._held, []
        for call in held:
            call.resume()

    def _settle_if_all_held(self) -> None:
        """End the query if nothing else is awaited; try one call if none was answered.

        All leafs that were asked may have crashed for another reason. An answer
        clears the query, and a try costs one leaf at most.
        """
        if len(self._held) < self._unsettled:
            return
        if not self._has_tried and not self._answers():
            self._has_tried = True
            self._held.pop().try_held()
            return
        held, self._held = self._held, []
        for call in held:
            call.settle_held()

    def _on_answer_due(self) -> None:
        context = self._context
        due_ms = self._started_ms + self._terms.answer_within_ms
        context.lag.add(context.timers.now_ms() - due_ms)
        self._answer_if_sufficient()

    def _answer_if_sufficient(self) -> None:
        self._answer_due = True
        if not self._ended and self._target.suffices(len(self._answers())):
            self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))

    def _on_deadline(self) -> None:
        if not self._ended:
            self._finish(self._outcome(FailureReason.TIMEOUT))

    def _answers(self) -> list[LeafAnswer]:
        answers = (call.answer for call in self._calls)
        return [answer for answer in answers if answer and answer.succeeded]

    def _outcome(self, failure: FailureReason) -> RequestOutcome:
        answers = self._answers()
        if self._target.suffices(len(answers)):
            receipts = tuple(answer.receipt for answer in answers)
            body = greatest_records(
                (answer.body for answer in answers), self._target.top_k
            )
            return Merged(receipts, len(self._calls) - len(answers), body)
        if any(call.may_have_run for call in self._calls):
            return RequestFailed(failure)
        return self._refusal(attempted=True)

    def _refusal(self, attempted: bool) -> RequestRefused:
        target = self._target
        held = self._calls[0].held_refusal(target)
        return held or self._context.refuse(target.shards, target.min_share, attempted)

    def _cancel_calls(self) -> None:
        self._context.running_legs -= self._running_legs
        self._running_legs = 0
        for call in self._calls:
            if not call.settled:
                call.cancel()
        # Calls refer to the run: without this the parts of ended queries would stay in
        # memory until the garbage collector ran.
        self._calls = []
        self._held = []


__all__ = ["GatherRun"]
