"""Request to one leaf of a service, with hedges and retries if it is idempotent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.configuration import ToService
from ..model.forwarding import (
    FailureReason,
    Forwarded,
    RequestFailed,
)
from .request_log import Unanswered
from .run import RoutedRun
from .service_call import ServiceCall

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest, RequestOutcome
    from .context import ServingContext


class SingleRun(RoutedRun):
    """Asks one service and passes its leaf's answer on unchanged.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    route : Route
        Sets idempotence, number of attempts and latency objective.
    service : str
        Name of the service to ask.
    request : ForwardRequest
        Request that the leaf gets.
    deadline_at_ms : float
        Monotonic time at which the request ends with the answers at hand.
    done : Callable
        Called once with the outcome, unless the request is cancelled.
    """

    def __init__(
        self,
        context: ServingContext,
        route: Route,
        service: str,
        request: ForwardRequest,
        deadline_at_ms: float,
        done: Callable[[RequestOutcome], None],
    ) -> None:
        super().__init__(context, route, deadline_at_ms, done)
        self._call = ServiceCall(
            context, service, route, request, deadline_at_ms, self._on_settled
        )

    def start(self) -> None:
        """Send the first attempt and schedule the hedge."""
        context = self._context
        hedge_after_ms = context.timing(self._route).hedge_delay_ms(self._route)
        context.timers.call_later(hedge_after_ms, self._hedge)
        self._schedule_deadline()
        self._call.start()

    def unanswered(self) -> list[Unanswered]:
        """Return the service and its attempts, unless a leaf has answered."""
        call = self._call
        if call.answer is not None:
            return []
        return [Unanswered(call.service, call.describe_attempts())]

    def began_ms(self) -> float | None:
        """Return the time of the first attempt; None if no leaf has run it."""
        call = self._call
        return call.records.began_ms if call.may_have_run else None

    def _hedge(self) -> None:
        self._call.hedge()

    def _on_settled(self, call: ServiceCall) -> None:
        self._finish(self._outcome(FailureReason.LEAF_LOST))

    def _on_deadline(self) -> None:
        if not self._ended:
            self._finish(self._outcome(FailureReason.TIMEOUT))

    def _cancel_calls(self) -> None:
        if not self._call.settled:
            self._call.cancel()

    def _outcome(self, failure: FailureReason) -> RequestOutcome:
        call = self._call
        answer = call.answer or call.failure
        if answer is not None:
            return Forwarded(answer)
        if call.may_have_run:
            return RequestFailed(failure)
        held = call.held_refusal(ToService(call.service))
        return held or self._context.refuse((call.service,), 1.0, call.was_attempted)


__all__ = ["SingleRun"]
