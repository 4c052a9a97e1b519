"""One run of a query: fan-out, hedges, retries, deadline and answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...errors import ResultCode
from ...model.answer import Answer
from ...model.exchange import Attempt, Exchange, ExchangeReply, Fate, Reason
from .exchange_of_request import exchange_for
from .merge import Merge, MergeResult
from .observed_outcomes import ObservedOutcomes
from .run_actions import (
    CancelExchange,
    Finish,
    Restart,
    RunAction,
    SendExchange,
    SentExchange,
    WakeAt,
)

if TYPE_CHECKING:
    from ...model.fleet import ShardMap
    from ...model.request import Request
    from ..servers.placement import ServerAssignment
    from .service_state import ServiceState

ANSWER_MARGIN_MS = 4.0
MIN_ATTEMPT_MS = 5.0
TIMER_SLACK_MS = 0.5
MAX_ATTEMPTS_PER_SHARD = 4
SERVER_UNAVAILABLE_REASONS = frozenset({Reason.EJECTED, Reason.WARMING_UP})


class QueryRun:
    """State machine of one query on one pinned snapshot.

    A request is proven once a server has answered it, since it is then known not
    to crash servers. An unproven request is first sent to a few servers only; the
    other exchanges are held back until one of these has answered.

    Parameters
    ----------
    request : Request
        The caller's request.
    shard_map : ShardMap
        Servers and shards of the pinned snapshot.
    shards : tuple of int
        Shards that the query covers.
    state : ServiceState
        State that all runs of the service share.
    proving_servers : int
        Servers to which the request is sent until one has answered; 0 if the
        request is proven.
    started_ms : float
        When the request arrived.
    restarts : int
        Previous runs of this query.
    """

    def __init__(
        self,
        request: Request,
        shard_map: ShardMap,
        shards: tuple[int, ...],
        state: ServiceState,
        proving_servers: int,
        started_ms: float,
        restarts: int = 0,
    ) -> None:
        self.request = request
        self.snapshot = shard_map.snapshot.token
        self._shard_map = shard_map
        self._shards = shards
        self._state = state
        self._proving_servers = proving_servers
        self._proven = proving_servers == 0
        self._started_ms = started_ms
        self._deadline_ms = started_ms + request.deadline_ms - ANSWER_MARGIN_MS
        self._restarts = restarts
        self._merge = Merge(self.snapshot, shards, request.top_k)
        self._sent: dict[int, SentExchange] = {}
        self._held_back: list[ServerAssignment] = []
        self._tried: dict[int, frozenset[str]] = {}
        self._attempts = dict.fromkeys(shards, 0)
        self._observed = ObservedOutcomes()
        self._admitted = False
        self._hedge_wake_ms = -1.0
        self.finished = False

    @property
    def proven(self) -> bool:
        """Whether the request is known not to crash servers."""
        return self._proven

    @property
    def outstanding(self) -> tuple[Exchange, ...]:
        """Exchanges that have not ended."""
        return tuple(sent.exchange for sent in self._sent.values())

    def zone_of(self, server: str) -> str:
        """Return the availability zone of a server of the pinned map."""
        return self._shard_map.servers_by_name[server].zone

    def start(self, now_ms: float) -> list[RunAction]:
        """Admit the query and send its first attempts, or refuse it."""
        placement = self._state.placer.place(self._shard_map, self._shards, now_ms)
        if not placement.assignments:
            return [self._refuse(ResultCode.NO_BACKEND, now_ms)]
        if not self._state.admission.admits(
            self.request, placement.expected_wait_ms, now_ms
        ):
            return [self._refuse(ResultCode.OVERLOADED, now_ms)]
        self._admitted = True
        self._state.admission.started(self.request.caller, now_ms)
        for shard in placement.unassigned:
            self._merge.note_failure(shard, Reason.NO_REPLICA)
        assignments = list(placement.assignments)
        if not self._proven:
            count = self._proving_servers
            assignments, self._held_back = assignments[:count], assignments[count:]
        actions = self._send_all(assignments, Attempt.FIRST, now_ms)
        actions.append(WakeAt(self._deadline_ms))
        actions += self._schedule_hedge(now_ms)
        return actions

    def on_reply(self, reply: ExchangeReply, now_ms: float) -> list[RunAction]:
        """Handle the end of an exchange; ignore one that is unknown.

        After the query has finished, only the shared state is updated.
        """
        sent = self._sent.pop(reply.exchange_id, None)
        if sent is None:
            return []
        self._state.observe(sent.sent_ms, sent.hedged, reply, now_ms)
        if self.finished:
            return []
        self._observed.note_fate(reply.fate)
        actions: list[RunAction] = []
        if reply.fate is Fate.ANSWERED:
            actions += self._on_answered(sent, reply, now_ms)
        else:
            self._note_failure(sent, reply.reason)
        actions += self._retry(sent, reply, now_ms)
        actions += self._finish_if_done(now_ms)
        return actions

    def wake(self, now_ms: float) -> list[RunAction]:
        """Hedge slow exchanges; at the deadline, finish with the partial answers."""
        if self.finished:
            return []
        if now_ms >= self._deadline_ms:
            return self._finish(now_ms)
        actions = self._send_due_hedges(now_ms)
        actions += self._schedule_hedge(now_ms)
        return actions

    def abandon(self, now_ms: float) -> list[RunAction]:
        """Finish because the caller no longer waits for the answer."""
        if self.finished:
            return []
        return self._finish(now_ms)

    def _send_all(
        self, assignments: list[ServerAssignment], attempt: Attempt, now_ms: float
    ) -> list[RunAction]:
        if attempt is Attempt.FIRST:
            self._state.budget.add_first_attempts(len(assignments), now_ms)
        return [self._send(assignment, attempt, now_ms) for assignment in assignments]

    def _send(
        self, assignment: ServerAssignment, attempt: Attempt, now_ms: float
    ) -> SendExchange:
        exchange = exchange_for(
            self.request,
            assignment,
            exchange_id=next(self._state.exchange_ids),
            snapshot=self.snapshot,
            budget_ms=self._deadline_ms - now_ms,
            attempt=attempt,
            proven=self._proven,
        )
        for shard in assignment.shards:
            tried = self._tried.get(shard, frozenset())
            self._tried[shard] = tried | {assignment.server.name}
            self._attempts[shard] += 1
        hedge_at_ms = now_ms + self._state.hedge_delay_ms
        self._sent[exchange.exchange_id] = SentExchange(exchange, now_ms, hedge_at_ms)
        self._state.fleet.note_sent(exchange.server)
        return SendExchange(exchange)

    def _on_answered(
        self, sent: SentExchange, reply: ExchangeReply, now_ms: float
    ) -> list[RunAction]:
        for partial in reply.partials:
            if partial.shard not in sent.exchange.shards:
                continue
            result = self._merge.add(partial)
            if result is MergeResult.WRONG_SNAPSHOT:
                self._merge.note_failure(partial.shard, Reason.WRONG_SNAPSHOT)
            elif result is MergeResult.MALFORMED:
                self._merge.note_failure(partial.shard, Reason.MALFORMED)
        actions = self._send_held_back(now_ms)
        actions += self._cancel_superseded()
        return actions

    def _send_held_back(self, now_ms: float) -> list[RunAction]:
        if not self._held_back:
            return []
        self._proven = True
        assignments, self._held_back = self._held_back, []
        actions = self._send_all(assignments, Attempt.FIRST, now_ms)
        actions += self._schedule_hedge(now_ms)
        return actions

    def _cancel_superseded(self) -> list[RunAction]:
        return [
            self._cancel(sent)
            for sent in self._sent.values()
            if all(self._merge.is_answered(s) for s in sent.exchange.shards)
        ]

    @staticmethod
    def _cancel(sent: SentExchange) -> CancelExchange:
        return CancelExchange(sent.exchange.exchange_id, sent.exchange.server)

    def _note_failure(self, sent: SentExchange, reason: Reason) -> None:
        for shard in sent.exchange.shards:
            self._merge.note_failure(shard, reason)
        self._observed.note_failure(reason)

    def _retry(
        self, sent: SentExchange, reply: ExchangeReply, now_ms: float
    ) -> list[RunAction]:
        """Retry the shards that no pending exchange covers, within the budget.

        Retries after an exchange that was not sent are not charged to the budget.
        """
        answered = reply.fate is Fate.ANSWERED
        candidates = self._merge.unanswered() if answered else sent.exchange.shards
        shards = self._without_exchange(candidates)
        if not shards or not self._may_retry(shards, reply, now_ms):
            return []
        placement = self._state.placer.place(
            self._shard_map, shards, now_ms, self._tried, allow_ejected=False
        )
        if not placement.assignments and reply.reason in SERVER_UNAVAILABLE_REASONS:
            placement = self._state.placer.place(self._shard_map, shards, now_ms)
        if not placement.assignments:
            return []
        unsent = reply.fate is Fate.NOT_SENT
        if not unsent and not self._state.budget.take(len(placement.assignments)):
            return []
        actions = self._send_all(list(placement.assignments), Attempt.RETRY, now_ms)
        actions += self._schedule_hedge(now_ms)
        return actions

    def _may_retry(
        self, shards: tuple[int, ...], reply: ExchangeReply, now_ms: float
    ) -> bool:
        if self._deadline_ms - now_ms < MIN_ATTEMPT_MS:
            return False
        if any(self._attempts[s] >= MAX_ATTEMPTS_PER_SHARD for s in shards):
            return False
        if reply.reason in (Reason.SNAPSHOT_GONE, Reason.QUARANTINED):
            return False
        if reply.fate.not_run:
            return True
        may_crash_servers = self._observed.connection_lost and not self._proven
        return self.request.repeatable and not may_crash_servers

    def _without_exchange(self, shards: tuple[int, ...]) -> tuple[int, ...]:
        """Return the unanswered `shards` without a pending or held back exchange."""
        pending = [sent.exchange.shards for sent in self._sent.values()]
        pending += [assignment.shards for assignment in self._held_back]
        pending_shards = set().union(*pending)
        return tuple(
            s
            for s in shards
            if s not in pending_shards and not self._merge.is_answered(s)
        )

    def _schedule_hedge(self, now_ms: float) -> list[RunAction]:
        """Schedule a wake-up for the next due hedge, unless one is scheduled."""
        if not self._may_hedge():
            return []
        hedge_times_ms = [
            sent.hedge_at_ms for sent in self._sent.values() if not sent.hedged
        ]
        if not hedge_times_ms:
            return []
        next_ms = max(now_ms, min(hedge_times_ms))
        if now_ms < self._hedge_wake_ms <= next_ms:
            return []
        self._hedge_wake_ms = next_ms
        return [WakeAt(next_ms)]

    def _may_hedge(self) -> bool:
        allowed = self._state.profile.hedging and self.request.repeatable
        return allowed and self._proven and not self._observed.overloaded

    def _send_due_hedges(self, now_ms: float) -> list[RunAction]:
        actions: list[RunAction] = []
        if not self._may_hedge():
            return actions
        for sent in list(self._sent.values()):
            if sent.hedged or sent.hedge_at_ms > now_ms + TIMER_SLACK_MS:
                continue
            actions += self._hedge_exchange(sent, now_ms)
        return actions

    def _hedge_exchange(self, sent: SentExchange, now_ms: float) -> list[RunAction]:
        sent.hedged = True
        self._state.observe_slow_exchange(now_ms)
        if self._deadline_ms - now_ms < MIN_ATTEMPT_MS:
            return []
        shards = tuple(
            s for s in sent.exchange.shards if not self._merge.is_answered(s)
        )
        placement = self._state.placer.place(
            self._shard_map, shards, now_ms, self._tried, allow_ejected=False
        )
        hedge_delay_ms = self._state.hedge_delay_ms
        if not placement.assignments or placement.expected_wait_ms > hedge_delay_ms:
            return []
        if not self._state.budget.take(len(placement.assignments)):
            return []
        actions = self._send_all(list(placement.assignments), Attempt.HEDGE, now_ms)
        for hedge in list(self._sent.values())[-len(placement.assignments) :]:
            hedge.hedged = True
        return actions

    def _finish_if_done(self, now_ms: float) -> list[RunAction]:
        """Finish if all shards have answered or no further answer is possible."""
        if self.finished:
            return []
        if self._merge.complete:
            return self._finish(now_ms)
        if self._sent:
            return []
        if self._held_back and not self._observed.connection_lost:
            return self._send_next_unproven(now_ms)
        return self._finish(now_ms)

    def _send_next_unproven(self, now_ms: float) -> list[RunAction]:
        """Send the next held back exchanges of an unproven request.

        Finish instead if an earlier exchange may have run.
        """
        count = self._proving_servers if self._observed.none_ran else 0
        assignments, self._held_back = self._held_back[:count], self._held_back[count:]
        if not assignments:
            return self._finish(now_ms)
        return self._send_all(assignments, Attempt.FIRST, now_ms)

    def _finish(self, now_ms: float) -> list[RunAction]:
        self.finished = True
        if self._admitted:
            self._state.admission.ended()
        actions: list[RunAction] = [self._cancel(sent) for sent in self._sent.values()]
        answer = self._build_answer(now_ms)
        remaining_ms = self._deadline_ms - now_ms
        may_restart = self._restarts == 0 and remaining_ms > MIN_ATTEMPT_MS
        may_rerun = self.request.repeatable or answer.not_run
        if (
            self._observed.snapshot_gone
            and may_restart
            and may_rerun
            and not self._merge.complete
        ):
            actions.append(Restart(answer))
        else:
            actions.append(Finish(answer))
        return actions

    def _build_answer(self, now_ms: float) -> Answer:
        coverage = self._merge.coverage()
        not_run = self._observed.none_ran and not self._sent
        return Answer(
            request_id=self.request.request_id,
            code=self._observed.result_code(
                self._merge, bool(self._sent), self.request.repeatable
            ),
            not_run=not_run,
            hits=self._merge.hits(),
            snapshot=self.snapshot,
            coverage=coverage,
            elapsed_ms=now_ms - self._started_ms,
            restarts=self._restarts,
        )

    def _refuse(self, code: ResultCode, now_ms: float) -> Finish:
        self.finished = True
        answer = self._build_answer(now_ms)
        answer.code = code
        return Finish(answer)


__all__ = ["QueryRun"]
