"""One request at one service: first send, second sends, and what came of them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.zone_reach import SILENT_AFTER_MS
from ..model.forwarding import LeafAnswer, Lost, NotRun, NotRunReason

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.leaf_state import LeafState
    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest
    from ..ports.leaf import LegHandle, LegReport
    from .surroundings import Surroundings

SERVER_ERROR = 500
SILENT_RATIO = 3.0
HEDGE_SHARE = 0.8  # the rest is for sends after a failure or a refusal
NO_SIGN_OF_LIFE = (
    NotRun(NotRunReason.UNREACHABLE),
    NotRun(NotRunReason.NO_CONNECTION),
)


@attrs.define(eq=False)
class Leg:
    """A send under way."""

    state: LeafState
    number: int
    sent_ms: float
    handle: LegHandle | None = None


class ServiceCall:
    """Asks the leafs of one service until one has answered or none is left.

    Parameters
    ----------
    surroundings : Surroundings
        Shared state.
    service : str
        Service, or shard, to ask.
    route : Route
        Route of the request.
    request : ForwardRequest
        The request.
    deadline_at_ms : float
        Time at which nobody waits any more.
    on_settled : Callable
        Called once, when the call has an answer or can get none.
    """

    def __init__(
        self,
        surroundings: Surroundings,
        service: str,
        route: Route,
        request: ForwardRequest,
        deadline_at_ms: float,
        on_settled: Callable[[ServiceCall], None],
    ) -> None:
        self._around = surroundings
        self.service = service
        self._route = route
        self._request = request
        self._deadline_at_ms = deadline_at_ms
        self._on_settled = on_settled
        self._timing = surroundings.timing(route)
        self._tried: set[str] = set()
        self._legs: list[Leg] = []
        self._trace: list[tuple[str, str, float]] = []
        self._runs = 0
        self._arrivals = 0
        self._spent = 0
        self.settled = False
        self.answer: LeafAnswer | None = None
        self.failure: LeafAnswer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether any leaf may have begun to work on the request."""
        return self._runs > 0

    @property
    def was_asked(self) -> bool:
        """Whether any leaf was tried."""
        return bool(self._tried)

    def explain(self) -> str:
        """Return the leafs that were asked, and what came of each."""
        now_ms = self._around.timers.now_ms()
        waiting = [
            (leg.state.leaf.leaf_id, "waiting", now_ms - leg.sent_ms)
            for leg in self._legs
        ]
        steps = (
            f"{leaf_id}:{result}:{took_ms:.0f}ms"
            for leaf_id, result, took_ms in self._trace + waiting
        )
        return ",".join(steps) or "no_leaf"

    def start(self) -> None:
        """Send to the best leaf."""
        self._around.budget(self.service).request(self._around.timers.now_ms())
        if not self._send_next():
            self._settle()

    def second_send(self) -> bool:
        """Ask a further leaf beside those that have not answered yet."""
        if self.settled or not self._route.idempotent or len(self._legs) != 1:
            return False
        if self._runs >= self._route.max_attempts or not self._has_other_leaf():
            return False
        return self._spend("late", HEDGE_SHARE) and self._send_next()

    def note_silence(self) -> None:
        """Take sends that wait much longer than usual as silence of their leafs."""
        now_ms = self._around.timers.now_ms()
        for leg in self._legs:
            if now_ms - leg.sent_ms > self._silent_after_ms:
                self._around.silent(leg.state.leaf)

    @property
    def has_prospect(self) -> bool:
        """Whether an answer is in, or may come from a zone that is reached."""
        if self.settled:
            return self.answer is not None
        reach = self._around.reach
        waiting = any(not reach.is_cut_off(leg.state.leaf.zone) for leg in self._legs)
        return waiting or self._has_other_leaf()

    @property
    def _silent_after_ms(self) -> float:
        return max(SILENT_AFTER_MS, SILENT_RATIO * self._timing.usual_ms)

    def cancel(self) -> None:
        """Stop all work on the call; it is not reported any more."""
        self.settled = True
        self._cancel_legs()

    def _has_other_leaf(self) -> bool:
        states = self._around.candidates(self.service)
        now_ms = self._around.timers.now_ms()
        return any(
            state.leaf.leaf_id not in self._tried and not state.is_paused(now_ms)
            for state in states
        )

    def _spend(self, cause: str, share: float = 1.0) -> bool:
        if self._arrivals == 0:
            return True
        budget = self._around.budget(self.service)
        now_ms = self._around.timers.now_ms()
        granted = budget.take(now_ms, share)
        self._spent += granted
        self._around.measures.second_send(cause, granted)
        return granted

    def _send_next(self) -> bool:
        now_ms = self._around.timers.now_ms()
        left_ms = self._deadline_at_ms - now_ms
        if left_ms < 1.0 or self._runs >= self._route.max_attempts:
            return False
        states = self._around.candidates(self.service)
        state = self._around.choice.pick(
            states, self._tried, self._timing.usual_ms, now_ms
        )
        if state is None:
            return False
        self._tried.add(state.leaf.leaf_id)
        self._runs += 1
        self._arrivals += 1
        leg = Leg(state, state.sent(now_ms), now_ms)
        self._legs.append(leg)
        leg.handle = self._around.leafs.send(
            state.leaf, self._request, left_ms, lambda report: self._report(leg, report)
        )
        return True

    def _report(self, leg: Leg, report: LegReport) -> None:
        if leg not in self._legs:
            return
        self._legs.remove(leg)
        now_ms = self._around.timers.now_ms()
        self._note(leg, report, now_ms)
        if report.outcome not in NO_SIGN_OF_LIFE:
            self._around.heard(leg.state.leaf)
        if report.load is not None:
            leg.state.told(report.load, now_ms)
        match report.outcome:
            case LeafAnswer() as answer:
                self._answered(leg, answer, now_ms)
            case NotRun(reason):
                self._not_run(leg, reason, now_ms)
            case Lost():
                leg.state.lost(leg.number, False, now_ms)
                self._try_again()

    def _note(self, leg: Leg, report: LegReport, now_ms: float) -> None:
        match report.outcome:
            case LeafAnswer(status=status):
                result = str(status)
            case NotRun(reason):
                result = reason.value
            case Lost(lost):
                result = lost.value
        took_ms = now_ms - leg.sent_ms
        self._around.measures.leg(leg.state.leaf.zone, result, took_ms)
        self._trace.append((leg.state.leaf.leaf_id, result, took_ms))

    def _answered(self, leg: Leg, answer: LeafAnswer, now_ms: float) -> None:
        if answer.succeeded or answer.status < SERVER_ERROR:
            leg.state.answered(leg.number, self._timing.usual_ms, now_ms)
            self._timing.add(leg.state.leaf.zone, now_ms - leg.sent_ms)
            self.answer = answer
            self._settle()
            return
        leg.state.failed(leg.number, now_ms)
        self.failure = answer
        self._try_again()

    def _not_run(self, leg: Leg, reason: NotRunReason, now_ms: float) -> None:
        self._runs -= 1
        match reason:
            case NotRunReason.UNREACHABLE:
                self._arrivals -= 1
                leg.state.lost(leg.number, True, now_ms)
                self._around.silent(leg.state.leaf)
            case NotRunReason.NOBODY_LISTENS:
                self._arrivals -= 1
                leg.state.lost(leg.number, True, now_ms)
            case NotRunReason.NO_CONNECTION:
                self._arrivals -= 1
                leg.state.refused(leg.number, now_ms)
            case NotRunReason.REFUSED:
                leg.state.refused(leg.number, now_ms)
            case NotRunReason.OTHER_LEAF:
                leg.state.lost(leg.number, True, now_ms)
                self._around.directory.elsewhere(leg.state.leaf.leaf_id, now_ms)
                self._around.leafs.forget(leg.state.leaf)
                self._around.logger.info(
                    "leaf_elsewhere",
                    leaf=leg.state.leaf.leaf_id,
                    service=self.service,
                    request=self._request.request_id,
                )
        self._try_again()

    def _try_again(self) -> None:
        if self.settled or self._legs:
            return
        if (
            not self._may_send_again()
            or not self._spend("failed")
            or not self._send_next()
        ):
            self._settle()

    def _may_send_again(self) -> bool:
        if self._runs >= self._route.max_attempts:
            return False
        return self._route.idempotent or self._runs == 0

    def _settle(self) -> None:
        self.settled = True
        self._cancel_legs()
        self._on_settled(self)

    def _cancel_legs(self) -> None:
        now_ms = self._around.timers.now_ms()
        for leg in self._legs:
            leg.state.given_up(leg.number, self._timing.usual_ms, now_ms)
            waited_ms = now_ms - leg.sent_ms
            if waited_ms > self._timing.usual_ms:
                self._timing.add(leg.state.leaf.zone, waited_ms)
            if waited_ms > self._silent_after_ms:
                self._around.silent(leg.state.leaf)
            if leg.handle is not None and not leg.handle.cancel():
                self._arrivals -= 1
        self._legs.clear()
        self._give_back_unused()

    def _give_back_unused(self) -> None:
        """Return what was spent on sends that never left."""
        unused = self._spent - max(0, self._arrivals - 1)
        if unused > 0:
            self._around.budget(self.service).give_back(unused)
            self._spent -= unused


__all__ = ["ServiceCall"]
