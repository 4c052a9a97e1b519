"""A request to one leaf of a service, repeated only where that is harmless."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.forwarding import Failed, FailureReason, Passed, RefusalReason, Refused
from .request_log import Unanswered
from .run import RETRY_AFTER_MS, RoutedRun
from .service_call import ServiceCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, Outcome
    from .surroundings import Surroundings


class SingleRun(RoutedRun):
    """Passes a leaf's answer on unchanged.

    Parameters
    ----------
    surroundings : Surroundings
        Shared state.
    route : Route
        Route of the request.
    service : str
        Service to ask.
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
        service: str,
        request: ForwardRequest,
        deadline_at_ms: float,
        done: Callable[[Outcome], None],
    ) -> None:
        super().__init__(surroundings, route, deadline_at_ms, done)
        self._call = ServiceCall(
            surroundings, service, route, request, deadline_at_ms, self._settled
        )

    def start(self) -> None:
        """Ask the best leaf."""
        around = self._around
        late_ms = around.timing(self._route).second_send_ms(self._route)
        around.timers.call_later(late_ms, self._second_send)
        self._schedule_end()
        self._call.start()

    def unanswered(self) -> list[Unanswered]:
        """Return the service unless a leaf of it has answered."""
        call = self._call
        if call.answer is not None:
            return []
        return [Unanswered(call.service, call.explain())]

    def _second_send(self) -> None:
        self._call.second_send()

    def _settled(self, call: ServiceCall) -> None:
        self._finish(self._outcome(FailureReason.LEAF_LOST))

    def _time_is_up(self) -> None:
        if not self._ended:
            self._finish(self._outcome(FailureReason.TIMEOUT))

    def _stop_calls(self) -> None:
        if not self._call.settled:
            self._call.cancel()

    def _outcome(self, otherwise: FailureReason) -> Outcome:
        call = self._call
        answer = call.answer or call.failure
        if answer is not None:
            return Passed(answer)
        if call.may_have_run:
            return Failed(otherwise)
        reason = RefusalReason.ALL_REFUSED if call.was_asked else RefusalReason.NO_LEAF
        return Refused(reason, RETRY_AFTER_MS)


__all__ = ["SingleRun"]
