"""A query over all shards: complete, or honestly partial and in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.answer_timing import RouteTiming
from ..decisions.record_merge import greatest_records
from ..model.forwarding import (
    Failed,
    FailureReason,
    LeafAnswer,
    Merged,
    RefusalReason,
    Refused,
)
from .request_log import Unanswered
from .run import RETRY_AFTER_MS, RoutedRun
from .service_call import ServiceCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route, ToAllShards
    from ..model.forwarding import ForwardRequest, Outcome
    from .surroundings import Surroundings

SECOND_SEND_PERIOD_MS = 8.0
LATE_LOOP_MS = 6.0  # opening connections for a whole query holds a small VM as long


class GatherRun(RoutedRun):
    """Asks every shard, gives late ones a second leaf, answers in time.

    Parameters
    ----------
    surroundings : Surroundings
        Shared state.
    route : Route
        Route of the request.
    target : ToAllShards
        Its shards.
    request : ForwardRequest
        The request.
    deadline_at_ms : float
        Time by which the caller must have an answer.
    done : Callable
        Gets the outcome, once.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        route: Route,
        target: ToAllShards,
        request: ForwardRequest,
        deadline_at_ms: float,
        done: Callable[[Outcome], None],
    ) -> None:
        super().__init__(surroundings, route, deadline_at_ms, done)
        self._target = target
        self._open = len(target.shards)
        self._calls = [
            ServiceCall(
                surroundings, shard, route, request, deadline_at_ms, self._settled
            )
            for shard in target.shards
        ]
        self._look_ms = 0.0
        self._answer_due = False
        self._answer_after_ms = 0.0

    def start(self) -> None:
        """Ask every shard, or refuse at once when too few can be asked."""
        around = self._around
        if not around.can_serve(self._target):
            self._finish(Refused(RefusalReason.NO_LEAF, RETRY_AFTER_MS))
            return
        self._look_again(around.timing(self._route).second_send_ms(self._route))
        self._schedule_end()
        self._answer_after_ms = RouteTiming.answer_ms(self._route, around.lag.value_ms)
        around.timers.call_later(self._answer_after_ms, self._answer_is_due)
        for call in self._calls:
            call.start()

    def unanswered(self) -> list[Unanswered]:
        """Return the shards that gave no part."""
        return [
            Unanswered(call.service, call.explain())
            for call in self._calls
            if call.answer is None or not call.answer.succeeded
        ]

    def _second_sends(self) -> None:
        if self._ended:
            return
        if not self._is_late_itself():
            for call in self._calls:
                call.second_send()
                call.note_silence()
            if self._is_hopeless():
                self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))
                return
        self._look_again(SECOND_SEND_PERIOD_MS)

    def _look_again(self, delay_ms: float) -> None:
        self._look_ms = self._around.timers.now_ms() + delay_ms
        self._around.timers.call_later(delay_ms, self._second_sends)

    def _is_late_itself(self) -> bool:
        """Return whether the loop is so late that answers may wait to be read."""
        return self._around.timers.now_ms() - self._look_ms > LATE_LOOP_MS

    def _is_hopeless(self) -> bool:
        if not self._around.reach.cut_off_zones():
            return False
        return not self._target.suffices(sum(call.has_prospect for call in self._calls))

    def _settled(self, call: ServiceCall) -> None:
        self._open -= 1
        if self._ended:
            return
        if self._open == 0:
            self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))
        elif self._answer_due:
            self._answer_now()

    def _answer_is_due(self) -> None:
        around = self._around
        due_ms = self._started_ms + self._answer_after_ms
        around.lag.add(around.timers.now_ms() - due_ms)
        self._answer_now()

    def _answer_now(self) -> None:
        self._answer_due = True
        if not self._ended and self._target.suffices(len(self._parts())):
            self._finish(self._outcome(FailureReason.TOO_FEW_SHARDS))

    def _time_is_up(self) -> None:
        if not self._ended:
            self._finish(self._outcome(FailureReason.TIMEOUT))

    def _parts(self) -> list[LeafAnswer]:
        answers = (call.answer for call in self._calls)
        return [answer for answer in answers if answer and answer.succeeded]

    def _outcome(self, otherwise: FailureReason) -> Outcome:
        parts = self._parts()
        if self._target.suffices(len(parts)):
            receipts = tuple(part.receipt for part in parts)
            body = greatest_records((part.body for part in parts), self._target.top_k)
            return Merged(receipts, len(self._calls) - len(parts), body)
        if any(call.may_have_run for call in self._calls):
            return Failed(otherwise)
        return Refused(RefusalReason.ALL_REFUSED, RETRY_AFTER_MS)

    def _stop_calls(self) -> None:
        for call in self._calls:
            if not call.settled:
                call.cancel()


__all__ = ["GatherRun"]
