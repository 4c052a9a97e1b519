"""The course of one query: fan-out, hedges, retries, deadline, answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode
from ..model.answer import Answer
from ..model.exchange import Attempt, Exchange, ExchangeReply, Fate, Reason
from .merge import Merge, Verdict
from .run_actions import (
    CancelExchange,
    Finish,
    Restart,
    RunAction,
    SendExchange,
    Sent,
    WakeAt,
)

if TYPE_CHECKING:
    from ..model.fleet import ShardMap
    from ..model.request import Request
    from .placement import Placed
    from .service_state import ServiceState

ANSWER_MARGIN_MS = 4.0
LEAST_ATTEMPT_MS = 5.0
TIMER_SLACK_MS = 0.5
MOST_ATTEMPTS_PER_SHARD = 4
PASSED_OVER_REASONS = frozenset({Reason.EJECTED, Reason.WARMING_UP})
NO_ROOM_REASONS = frozenset(
    {Reason.QUEUE_FULL, Reason.QUEUE_TIMEOUT, Reason.SHED, Reason.CANCELLED}
)


class QueryRun:
    """State machine of one query on one pinned snapshot.

    Parameters
    ----------
    request : Request
        What the caller asked.
    shard_map : ShardMap
        The pinned map.
    shards : tuple of int
        Shards to ask.
    state : ServiceState
        State shared by the runs of the service.
    proving_servers : int
        Servers that run the request at once until one has answered; 0 when
        the request is known to crash none.
    started_ms : float
        When the request arrived.
    restarts : int
        Restarts so far.
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
        self._map = shard_map
        self._shards = shards
        self._state = state
        self._proving_servers = proving_servers
        self._proven = proving_servers == 0
        self._started_ms = started_ms
        self._deadline_ms = started_ms + request.deadline_ms - ANSWER_MARGIN_MS
        self._restarts = restarts
        self._merge = Merge(self.snapshot, shards, request.top_k)
        self._sent: dict[int, Sent] = {}
        self._held_back: list[Placed] = []
        self._tried: dict[int, frozenset[str]] = {}
        self._attempts = dict.fromkeys(shards, 0)
        self._all_not_run = True
        self._no_room = False
        self._crashed = False
        self._admitted = False
        self._hedge_wake_ms = -1.0
        self._gone = False
        self.finished = False

    @property
    def proven(self) -> bool:
        """Whether a server has answered, so that the request is harmless."""
        return self._proven

    @property
    def outstanding(self) -> tuple[Exchange, ...]:
        """Exchanges that have not ended."""
        return tuple(sent.exchange for sent in self._sent.values())

    def zone_of(self, server: str) -> str:
        """Return the availability zone of a server of the pinned map."""
        return self._map.by_name[server].zone

    def start(self, now_ms: float) -> list[RunAction]:
        """Admit the query and send its first exchanges, or refuse it."""
        placement = self._state.placer.place(self._map, self._shards, now_ms)
        if not placement.placed:
            return [self._finish_refused(ResultCode.NO_BACKEND, now_ms)]
        if not self._state.admission.admits(
            self.request, placement.expected_wait_ms, now_ms
        ):
            return [self._finish_refused(ResultCode.OVERLOADED, now_ms)]
        self._admitted = True
        self._state.admission.started(self.request.caller, now_ms)
        for shard in placement.unplaced:
            self._merge.note_failure(shard, Reason.NO_REPLICA)
        placed = list(placement.placed)
        if not self._proven:
            count = self._proving_servers
            placed, self._held_back = placed[:count], placed[count:]
        actions = self._send_all(placed, Attempt.FIRST, now_ms)
        actions.append(WakeAt(self._deadline_ms))
        actions += self._hedge_timer(now_ms)
        return actions

    def replied(self, reply: ExchangeReply, now_ms: float) -> list[RunAction]:
        """Take the end of an exchange; late and unknown ones are dropped."""
        sent = self._sent.pop(reply.exchange_id, None)
        if sent is None:
            return []
        self._state.observe(sent.sent_ms, sent.hedged, reply, now_ms)
        if self.finished:
            return []
        if not reply.fate.not_run:
            self._all_not_run = False
        actions: list[RunAction] = []
        if reply.fate is Fate.ANSWERED:
            actions += self._on_answered(sent, reply, now_ms)
        else:
            self._note_failure(sent, reply.reason)
        actions += self._retry(sent, reply, now_ms)
        actions += self._settle(now_ms)
        return actions

    def wake(self, now_ms: float) -> list[RunAction]:
        """Hedge what is slow; at the deadline, answer with what there is."""
        if self.finished:
            return []
        if now_ms >= self._deadline_ms:
            return self._finish(now_ms)
        actions = self._hedge(now_ms)
        actions += self._hedge_timer(now_ms)
        return actions

    def abandon(self, now_ms: float) -> list[RunAction]:
        """Stop because the caller has gone away."""
        if self.finished:
            return []
        return self._finish(now_ms)

    def _send_all(
        self, placed: list[Placed], attempt: Attempt, now_ms: float
    ) -> list[RunAction]:
        if attempt is Attempt.FIRST:
            self._state.budget.earn(len(placed), now_ms)
        return [self._send(item, attempt, now_ms) for item in placed]

    def _send(self, placed: Placed, attempt: Attempt, now_ms: float) -> SendExchange:
        request = self.request
        exchange = Exchange(
            exchange_id=next(self._state.exchange_ids),
            request_id=request.request_id,
            service=request.service,
            server=placed.server.name,
            snapshot=self.snapshot,
            shards=placed.shards,
            route=request.route,
            query=request.query,
            caller=request.caller,
            priority=request.priority,
            budget_ms=self._deadline_ms - now_ms,
            top_k=request.top_k,
            repeatable=request.repeatable,
            fingerprint=request.fingerprint,
            attempt=attempt,
            proven=self._proven,
            last_resort=placed.last_resort,
        )
        for shard in placed.shards:
            tried = self._tried.get(shard, frozenset())
            self._tried[shard] = tried | {placed.server.name}
            self._attempts[shard] += 1
        hedge_at_ms = now_ms + self._state.hedge_delay_ms
        self._sent[exchange.exchange_id] = Sent(exchange, now_ms, hedge_at_ms)
        self._state.fleet.note_sent(exchange.server)
        return SendExchange(exchange)

    def _on_answered(
        self, sent: Sent, reply: ExchangeReply, now_ms: float
    ) -> list[RunAction]:
        for partial in reply.partials:
            if partial.shard not in sent.exchange.shards:
                continue
            verdict = self._merge.add(partial)
            if verdict is Verdict.WRONG_SNAPSHOT:
                self._merge.note_failure(partial.shard, Reason.WRONG_SNAPSHOT)
            elif verdict is Verdict.MALFORMED:
                self._merge.note_failure(partial.shard, Reason.MALFORMED)
        actions = self._release_held_back(now_ms)
        actions += self._cancel_losers()
        return actions

    def _release_held_back(self, now_ms: float) -> list[RunAction]:
        if not self._held_back:
            return []
        self._proven = True
        placed, self._held_back = self._held_back, []
        actions = self._send_all(placed, Attempt.FIRST, now_ms)
        actions += self._hedge_timer(now_ms)
        return actions

    def _cancel_losers(self) -> list[RunAction]:
        actions: list[RunAction] = []
        for sent in self._sent.values():
            if all(self._merge.is_answered(s) for s in sent.exchange.shards):
                actions.append(self._cancel(sent))
        return actions

    @staticmethod
    def _cancel(sent: Sent) -> CancelExchange:
        return CancelExchange(sent.exchange.exchange_id, sent.exchange.server)

    def _note_failure(self, sent: Sent, reason: Reason) -> None:
        for shard in sent.exchange.shards:
            self._merge.note_failure(shard, reason)
        self._no_room = self._no_room or reason in NO_ROOM_REASONS
        self._crashed = self._crashed or reason is Reason.CONNECTION_LOST
        self._gone = self._gone or reason is Reason.SNAPSHOT_GONE

    def _retry(
        self, sent: Sent, reply: ExchangeReply, now_ms: float
    ) -> list[RunAction]:
        """Send again what no exchange under way will answer."""
        answered = reply.fate is Fate.ANSWERED
        wanted = self._merge.unanswered() if answered else sent.exchange.shards
        shards = self._uncovered(wanted)
        if not shards or not self._may_retry(shards, reply, now_ms):
            return []
        placement = self._state.placer.place(
            self._map, shards, now_ms, self._tried, allow_ejected=False
        )
        if not placement.placed and reply.reason in PASSED_OVER_REASONS:
            placement = self._state.placer.place(self._map, shards, now_ms)
        if not placement.placed:
            return []
        free = reply.fate is Fate.NOT_SENT
        if not free and not self._state.budget.take(len(placement.placed)):
            return []
        actions = self._send_all(list(placement.placed), Attempt.RETRY, now_ms)
        actions += self._hedge_timer(now_ms)
        return actions

    def _may_retry(
        self, shards: tuple[int, ...], reply: ExchangeReply, now_ms: float
    ) -> bool:
        if self._deadline_ms - now_ms < LEAST_ATTEMPT_MS:
            return False
        if any(self._attempts[s] >= MOST_ATTEMPTS_PER_SHARD for s in shards):
            return False
        if reply.reason in (Reason.SNAPSHOT_GONE, Reason.QUARANTINED):
            return False
        if reply.fate.not_run:
            return True
        crash_unexplained = self._crashed and not self._proven
        return self.request.repeatable and not crash_unexplained

    def _uncovered(self, shards: tuple[int, ...]) -> tuple[int, ...]:
        """Return those of `shards` unanswered and under way nowhere."""
        under_way: set[int] = set()
        for sent in self._sent.values():
            under_way.update(sent.exchange.shards)
        for placed in self._held_back:
            under_way.update(placed.shards)
        return tuple(
            s for s in shards if s not in under_way and not self._merge.is_answered(s)
        )

    def _hedge_timer(self, now_ms: float) -> list[RunAction]:
        """Wake when the next exchange counts as slow, unless already set."""
        if not self._may_hedge():
            return []
        due = [sent.hedge_at_ms for sent in self._sent.values() if not sent.hedged]
        if not due:
            return []
        next_ms = max(now_ms, min(due))
        if now_ms < self._hedge_wake_ms <= next_ms:
            return []
        self._hedge_wake_ms = next_ms
        return [WakeAt(next_ms)]

    def _may_hedge(self) -> bool:
        allowed = self._state.profile.hedging and self.request.repeatable
        return allowed and self._proven and not self._no_room

    def _hedge(self, now_ms: float) -> list[RunAction]:
        actions: list[RunAction] = []
        if not self._may_hedge():
            return actions
        for sent in list(self._sent.values()):
            if sent.hedged or sent.hedge_at_ms > now_ms + TIMER_SLACK_MS:
                continue
            actions += self._hedge_one(sent, now_ms)
        return actions

    def _hedge_one(self, sent: Sent, now_ms: float) -> list[RunAction]:
        sent.hedged = True
        self._state.observe_slow(now_ms)
        if self._deadline_ms - now_ms < LEAST_ATTEMPT_MS:
            return []
        shards = tuple(
            s for s in sent.exchange.shards if not self._merge.is_answered(s)
        )
        placement = self._state.placer.place(
            self._map, shards, now_ms, self._tried, allow_ejected=False
        )
        hedge_delay_ms = self._state.hedge_delay_ms
        if not placement.placed or placement.expected_wait_ms > hedge_delay_ms:
            return []
        if not self._state.budget.take(len(placement.placed)):
            return []
        actions = self._send_all(list(placement.placed), Attempt.HEDGE, now_ms)
        for hedge in list(self._sent.values())[-len(placement.placed) :]:
            hedge.hedged = True
        return actions

    def _settle(self, now_ms: float) -> list[RunAction]:
        """Finish once nothing more can come."""
        if self.finished:
            return []
        if self._merge.complete:
            return self._finish(now_ms)
        if self._sent:
            return []
        if self._held_back and not self._crashed:
            return self._prove_again(now_ms)
        return self._finish(now_ms)

    def _prove_again(self, now_ms: float) -> list[RunAction]:
        """Send the next exchanges of an unproven request, none having run."""
        count = self._proving_servers if self._all_not_run else 0
        placed, self._held_back = self._held_back[:count], self._held_back[count:]
        if not placed:
            return self._finish(now_ms)
        return self._send_all(placed, Attempt.FIRST, now_ms)

    def _finish(self, now_ms: float) -> list[RunAction]:
        self.finished = True
        if self._admitted:
            self._state.admission.ended()
        actions: list[RunAction] = [self._cancel(sent) for sent in self._sent.values()]
        answer = self._answer(now_ms)
        left_ms = self._deadline_ms - now_ms
        worth_it = self._restarts == 0 and left_ms > LEAST_ATTEMPT_MS
        may_rerun = self.request.repeatable or answer.not_run
        if self._gone and worth_it and may_rerun and not self._merge.complete:
            actions.append(Restart(answer))
        else:
            actions.append(Finish(answer))
        return actions

    def _answer(self, now_ms: float) -> Answer:
        coverage = self._merge.coverage()
        not_run = self._all_not_run and not self._sent
        return Answer(
            request_id=self.request.request_id,
            code=self._code(not_run),
            not_run=not_run,
            hits=self._merge.hits(),
            snapshot=self.snapshot,
            coverage=coverage,
            elapsed_ms=now_ms - self._started_ms,
            restarts=self._restarts,
        )

    def _code(self, not_run: bool) -> ResultCode:
        if self._merge.complete:
            return ResultCode.OK
        if self._merge.answered_any:
            return ResultCode.PARTIAL
        if not_run:
            return ResultCode.OVERLOADED if self._no_room else ResultCode.NO_BACKEND
        if not self.request.repeatable:
            return ResultCode.OUTCOME_UNKNOWN
        if self._gone:
            return ResultCode.SNAPSHOT_GONE
        if self._sent:
            return ResultCode.DEADLINE_EXCEEDED
        return ResultCode.BACKEND_FAILED

    def _finish_refused(self, code: ResultCode, now_ms: float) -> Finish:
        self.finished = True
        answer = self._answer(now_ms)
        answer.code = code
        return Finish(answer)


__all__ = ["QueryRun"]
