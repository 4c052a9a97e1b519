"""Requests that leafs crash on: evidence of crashes, and who may be sent where."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from ..decisions.fleet.shares import rank_of
from ..decisions.requests.quarantine import Permission, Quarantine
from ..model.configuration import ToAllShards, ToService
from ..model.crash import ReportedAnswer, ReportedStrike, StrikeNotice
from ..model.forwarding import RefusalReason, RequestRefused
from ..ports.leaf import ProbeResult
from .retry_after import MAX_RETRY_AFTER_MS, RETRY_AFTER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.leafs.leaf_state import LeafState
    from ..model.forwarding import ForwardRequest
    from ..model.leaf import Leaf
    from .context import ServingContext

MAX_CRASHES = 3  # of leafs that run a request, until it is held back
ANSWER_SPEAKS_MS = 10_000.0  # against crashes that come after the answer
ONE_EVENT_HOLD_MS = 10_000.0  # if all crashes came at the same moment
# For a probe to show whether the leaf has crashed; then the request is sent again.
MAX_VERDICT_WAIT_MS = 20.0
# Between the tries of two daemons: a crash is known to all of them in this time.
TRY_SPACING_MS = 1000.0
MAX_NAMED = 4  # fingerprints in a line of the log


@attrs.define(eq=False)
class LostRequest:
    """A request whose connection has ended without an answer.

    Parameters
    ----------
    request : ForwardRequest
        The request.
    decided : Callable or None
        Called once, when it is known whether the leaf has crashed or after a while.
    """

    request: ForwardRequest
    decided: Callable[[], None] | None

    def decide(self) -> None:
        """Let the request go on, unless it has before."""
        decided, self.decided = self.decided, None
        if decided is not None:
            decided()


class CrashWatch:
    """Finds crashes of leafs, and holds back the requests that cause them.

    A connection that ends without an answer may have been reset, or its leaf may have
    ended as planned. A leaf has crashed if it is neither draining nor leaving and its
    address refuses connections at that moment. Each request that was lost with it is
    suspect until a leaf answers it. Suspect requests are sent to idle leafs, which get
    nothing else meanwhile, so that a further crash takes few others along.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.

    Attributes
    ----------
    quarantine : Quarantine
        Crashes by request.
    on_strike : Callable
        Called with each crash that this daemon has found, once for each request.
    on_answer : Callable
        Called with each answer of a leaf that clears a request of crashes.
    """

    def __init__(self, context: ServingContext) -> None:
        self._context = context
        self.quarantine = Quarantine(
            MAX_CRASHES, ANSWER_SPEAKS_MS, ONE_EVENT_HOLD_MS, self._try_delay_ms
        )
        self.on_strike: Callable[[StrikeNotice], None] = _ignore
        self.on_answer: Callable[[ReportedAnswer], None] = _ignore
        self._lost: dict[tuple[str, float], list[LostRequest]] = {}
        self._apart: Counter[str] = Counter()

    def note_lost(
        self, request: ForwardRequest, state: LeafState, decided: Callable[[], None]
    ) -> None:
        """Record that a connection has ended without an answer to a request.

        Parameters
        ----------
        request : ForwardRequest
            The request that the leaf was running.
        state : LeafState
            The leaf.
        decided : Callable
            Called once, when it is known whether the leaf has crashed or after a
            while.
        """
        leaf = state.leaf
        if leaf.draining or state.statements.leaving:
            self._context.metrics.lost_connection("leaving")
            decided()
            return
        lost = LostRequest(request, decided)
        self._context.timers.call_later(MAX_VERDICT_WAIT_MS, lost.decide)
        pending = self._lost.get(leaf.incarnation)
        if pending is not None:
            pending.append(lost)
            return
        self._lost[leaf.incarnation] = [lost]
        self._context.leafs.probe(leaf, lambda result: self._on_probed(leaf, result))

    def _on_probed(self, leaf: Leaf, result: ProbeResult) -> None:
        all_lost = self._lost.pop(leaf.incarnation, [])
        is_cut_off = self._context.reachability.is_cut_off(leaf.zone)
        has_crashed = result is ProbeResult.REFUSED and not is_cut_off
        cause = "crash" if has_crashed else result.value
        for _ in all_lost:
            self._context.metrics.lost_connection(cause)
        if has_crashed:
            self._on_crash(leaf, {lost.request.fingerprint for lost in all_lost})
        for lost in all_lost:
            lost.decide()

    def _on_crash(self, leaf: Leaf, fingerprints: set[str]) -> None:
        self._context.logger.warning(
            "leaf_crashed",
            leaf=leaf.leaf_id,
            service=leaf.service,
            requests=len(fingerprints),
            fingerprints=",".join(sorted(fingerprints)[:MAX_NAMED]),
        )
        crash_id = f"{leaf.leaf_id}@{leaf.started_wall_ms:.0f}"
        zone = self._context.reachability.own_zone
        for fingerprint in fingerprints:
            notice = StrikeNotice(
                crash_id, fingerprint, leaf.leaf_id, leaf.software, zone
            )
            if self.learn_strike(ReportedStrike(notice, 0.0)):
                self.on_strike(notice)

    def learn_strike(self, reported: ReportedStrike) -> bool:
        """Count a crash that this daemon or another one has found, once.

        Returns
        -------
        bool
            Whether it was not known before.
        """
        notice, now_ms = reported.notice, self._context.timers.now_ms()
        if not self.quarantine.strike(notice, now_ms, reported.age_ms):
            return False
        self._context.metrics.quarantine("crash")
        return True

    def note_answer(self, request: ForwardRequest, leaf: Leaf) -> None:
        """Record that a leaf has answered a request, so that it does not crash it."""
        now_ms = self._context.timers.now_ms()
        if self.quarantine.note_answer(request.fingerprint, leaf.software, now_ms):
            answer = ReportedAnswer(request.fingerprint, leaf.software, 0.0)
            self._log_cleared(answer)
            self.on_answer(answer)

    def learn_answer(self, answer: ReportedAnswer) -> bool:
        """Take over another daemon's answer; return whether it clears the request."""
        at_ms = self._context.timers.now_ms() - answer.age_ms
        cleared = self.quarantine.learn_answer(
            answer.fingerprint, answer.software, at_ms
        )
        if cleared:
            self._log_cleared(answer)
        return cleared

    def _log_cleared(self, answer: ReportedAnswer) -> None:
        self._context.logger.info(
            "request_cleared", fingerprint=answer.fingerprint, software=answer.software
        )

    def is_suspect(self, request: ForwardRequest) -> bool:
        """Return whether leafs have crashed on a request that none has answered."""
        if not len(self.quarantine):
            return False
        return self.quarantine.is_suspect(request.fingerprint)

    def allowed(
        self, request: ForwardRequest, states: list[LeafState]
    ) -> list[LeafState]:
        """Return the leafs that a request may be sent to, as far as crashes tell."""
        if not self.is_suspect(request):
            return states
        fingerprint, now_ms = request.fingerprint, self._context.timers.now_ms()
        return [
            state
            for state in states
            if self.quarantine.permission(fingerprint, state.leaf.software, now_ms)
            is not Permission.HOLD
        ]

    def keep_apart(
        self, request: ForwardRequest, states: list[LeafState]
    ) -> list[LeafState]:
        """Return the leafs where a suspect request and others do not meet.

        All of them where there is none such.
        """
        now_ms = self._context.timers.now_ms()
        if self.is_suspect(request):
            apart = [s for s in states if s.in_flight == 0 and not s.is_paused(now_ms)]
        elif self._apart:
            apart = [s for s in states if s.leaf.leaf_id not in self._apart]
        else:
            return states
        return apart or states

    def begin_attempt(self, request: ForwardRequest, leaf: Leaf) -> bool:
        """Record an attempt; return whether `end_attempt` has to be called after it."""
        if not self.is_suspect(request):
            return False
        self._apart[leaf.leaf_id] += 1
        fingerprint, now_ms = request.fingerprint, self._context.timers.now_ms()
        permission = self.quarantine.permission(fingerprint, leaf.software, now_ms)
        if permission is Permission.TRY:
            self.quarantine.begin_try(fingerprint, now_ms)
            self._context.metrics.quarantine("try")
            self._context.logger.info(
                "request_tried",
                fingerprint=fingerprint,
                request=request.request_id,
                leaf=leaf.leaf_id,
            )
        return True

    def end_attempt(self, leaf: Leaf) -> None:
        """Record that the attempt of a suspect request has ended."""
        self._apart[leaf.leaf_id] -= 1
        if self._apart[leaf.leaf_id] <= 0:
            del self._apart[leaf.leaf_id]

    def refusal(
        self, request: ForwardRequest, target: ToService | ToAllShards
    ) -> RequestRefused | None:
        """Return the refusal of a request that is held back.

        None if enough leafs may get it, or too few are reachable in any case.
        """
        if not self.is_suspect(request):
            return None
        services = (
            target.shards if isinstance(target, ToAllShards) else (target.service,)
        )
        reached = [self._context.reachable(service) for service in services]
        allowed = sum(bool(self.allowed(request, states)) for states in reached)
        if _suffices(target, allowed) or not _suffices(target, sum(map(bool, reached))):
            return None
        self._context.metrics.quarantine("refusal")
        self._log_first_refusal(request)
        fingerprint, now_ms = request.fingerprint, self._context.timers.now_ms()
        held = (states for states in reached if not self.allowed(request, states))
        software = {state.leaf.software for states in held for state in states}
        wait_ms = min(
            self.quarantine.ms_until_try(fingerprint, name, now_ms) for name in software
        )
        wait_ms = max(RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait_ms))
        return RequestRefused(RefusalReason.QUARANTINED, wait_ms)

    def _log_first_refusal(self, request: ForwardRequest) -> None:
        """Log which leafs a request has crashed that is refused from now on."""
        if not self.quarantine.begin_refusals(request.fingerprint):
            return
        notices = [
            strike.notice for strike in self.quarantine.standing_of(request.fingerprint)
        ]
        self._context.logger.warning(
            "request_quarantined",
            fingerprint=request.fingerprint,
            request=request.request_id,
            leafs=",".join(notice.server for notice in notices),
            software=",".join(sorted({notice.software for notice in notices})),
            reported_by=",".join(sorted({notice.zone for notice in notices})),
        )

    def _try_delay_ms(self, fingerprint: str) -> float:
        shares = self._context.limit_shares
        return TRY_SPACING_MS * rank_of(fingerprint, shares.daemons, shares.own)


def _suffices(target: ToService | ToAllShards, services: int) -> bool:
    """Return whether so many of a target's services are enough."""
    match target:
        case ToAllShards():
            return target.suffices(services)
        case ToService():
            return services > 0


def _ignore(event: object) -> None:
    """Do nothing."""


__all__ = ["CrashWatch"]
