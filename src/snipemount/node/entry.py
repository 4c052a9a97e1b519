"""Driver of the requests that callers send to this daemon."""

from __future__ import annotations

from functools import partial
from itertools import count
from typing import TYPE_CHECKING

import attrs

from ..decisions.query.query_run import QueryRun
from ..decisions.query.run_actions import (
    CancelExchange,
    Finish,
    Restart,
    SendExchange,
    WakeAt,
)
from ..decisions.requests.claims import (
    AlreadyClaimed,
    ClaimRecord,
    ClaimState,
    Granted,
    Unavailable,
)
from ..errors import ResultCode
from ..histograms import Histograms, Series
from ..model.answer import Answer
from ..model.exchange import ExchangeReply, Fate, Reason
from .answer_store import answer_from_text, outcome_text
from .jobs import Job, PendingExchange
from .proof_gate import Admitted, ProofGate, Quarantined, WaitsForProof
from .service_states import ServiceStates
from .shard_key import shard_of

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.query.run_actions import RunAction
    from ..decisions.query.service_state import ServiceState
    from ..decisions.requests.claims import ClaimResult
    from ..decisions.requests.quarantine import Quarantine
    from ..model.exchange import Exchange
    from ..model.fleet import ShardMap
    from ..model.request import Request
    from ..timers import TimerService
    from .catalogue import Catalogue
    from .claimer import Claimer
    from .mover import Mover


LATE_REPLY_TIMEOUT_MS = 5000.0
MIN_RERUN_TIME_MS = 60.0
RERUN_CODES = frozenset(
    {ResultCode.PARTIAL, ResultCode.BACKEND_FAILED, ResultCode.NO_BACKEND}
)


class EntryDriver:
    """Runs each request on one pinned snapshot and answers it once.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    timers : TimerService
        Clock, and timer for hedges and deadlines.
    random : Random
        Seeded generator; breaks ties between servers.
    catalogue : Catalogue
        Supplies services, profiles and zones.
    claimer : Claimer
        Claims idempotency keys and stores their outcomes.
    quarantine : Quarantine
        Decides which requests may run, after crashes of servers.
    mover : Mover
        Selects the version for each query during a move.
    route_exchange : Callable
        Sends an exchange to the owner of its server; returns the name of the
        owner daemon, or None if it could not be sent.
    withdraw_exchange : Callable
        Cancels an exchange, given the owner daemon, exchange id and server.

    Attributes
    ----------
    services : ServiceStates
        State of each service.
    histograms : Histograms
        Time from arrival to answer, by service, caller and priority.
    stopping : bool
        Whether new requests are refused because the daemon shuts down.
    """

    def __init__(
        self,
        zone: str,
        timers: TimerService,
        random: Random,
        catalogue: Catalogue,
        claimer: Claimer,
        quarantine: Quarantine,
        mover: Mover,
        route_exchange: Callable[[Exchange], str | None],
        withdraw_exchange: Callable[[str, int, str], None],
    ) -> None:
        self._timers = timers
        self._catalogue = catalogue
        self._claimer = claimer
        self._proof_gate = ProofGate(quarantine)
        self._mover = mover
        self._route_exchange = route_exchange
        self._withdraw_exchange = withdraw_exchange
        self._claim_ids = count(1)
        self._jobs: dict[str, Job] = {}
        self._pending: dict[int, PendingExchange] = {}
        self.services = ServiceStates(zone, random, catalogue, mover)
        self.histograms = Histograms()
        self.stopping = False

    @property
    def idle(self) -> bool:
        """Whether no request is running."""
        return not self._jobs

    def submit(self, request: Request, done: Callable[[Answer], None]) -> None:
        """Run a validated request and pass its answer to `done`, once."""
        job = Job(request, done, self._timers.now_ms())
        if self.stopping:
            self._refuse(job, ResultCode.SHUTTING_DOWN)
            return
        self._jobs[request.request_id] = job
        if request.idempotency_key is not None and not request.repeatable:
            self._claim(job, request.idempotency_key)
        else:
            self._start(job)

    def abandon(self, request_id: str) -> None:
        """Stop an idempotent request whose caller has disconnected.

        A request that is not idempotent runs on.
        """
        job = self._jobs.get(request_id)
        if job is not None and job.run is not None and job.request.repeatable:
            self._execute(job, job.run, job.run.abandon(self._timers.now_ms()))

    def on_reply(self, reply: ExchangeReply, daemon: str) -> None:
        """Handle the reply to an exchange from the owner daemon.

        A reply that is late or belongs to another exchange is ignored.
        """
        pending = self._pending.get(reply.exchange_id)
        if pending is None or not pending.matches(reply, daemon):
            return
        del self._pending[reply.exchange_id]
        run, job = pending.run, pending.job
        self._record_reply(job, pending, reply)
        self._execute(job, run, run.on_reply(reply, self._timers.now_ms()))

    def daemon_lost(self, daemon: str) -> None:
        """End the exchanges sent to a daemon to which the connection is lost."""
        for pending in list(self._pending.values()):
            if pending.daemon == daemon:
                self._end_exchange(
                    pending.exchange, Fate.MAY_HAVE_RUN, Reason.PEER_LOST
                )

    def _claim(self, job: Job, key: str) -> None:
        request = job.request
        state = self.services.state(request.service)
        if state is None:
            self._refuse(job, ResultCode.UNKNOWN_SERVICE)
            return
        record = ClaimRecord(
            key=f"{request.caller}/{key}",
            fingerprint=request.fingerprint,
            claim_id=f"{request.request_id}/{next(self._claim_ids)}",
            claimed_at_ms=self._timers.wall_ms(),
        )
        retention_ms = state.profile.claim_retention_ms
        self._claimer.claim(
            request.service,
            retention_ms,
            record,
            lambda result: self._on_claim_result(job, record, result),
        )

    def _on_claim_result(
        self, job: Job, record: ClaimRecord, result: ClaimResult
    ) -> None:
        match result:
            case Granted():
                job.claim = record
                self._start(job)
            case AlreadyClaimed(existing):
                self._answer_from_claim(job, existing)
            case Unavailable(full):
                code = (
                    ResultCode.CLAIMS_FULL if full else ResultCode.PLATFORM_UNAVAILABLE
                )
                self._refuse(job, code)

    def _answer_from_claim(self, job: Job, existing: ClaimRecord) -> None:
        """Answer a request whose key is already claimed; it is not run again."""
        if existing.fingerprint != job.request.fingerprint:
            self._refuse(job, ResultCode.KEY_REUSED)
            return
        answer = answer_from_text(existing.outcome) if existing.outcome else None
        if answer is None:
            code = ResultCode.OUTCOME_UNKNOWN
            if existing.state is ClaimState.CLAIMED:
                code = ResultCode.IN_PROGRESS
            answer = Answer(job.request.request_id, code)
            answer.detail = "the key was claimed before"
        answer.request_id = job.request.request_id
        self._finish(job, answer)

    def _start(self, job: Job, fallback: Answer | None = None) -> None:
        request = job.request
        state = self.services.state(request.service)
        shard_map = self.services.pick_shard_map(request.service, self._timers.now_ms())
        if state is None or shard_map is None:
            self._refuse(job, ResultCode.NO_SNAPSHOT)
            return
        if fallback is not None and fallback.snapshot == shard_map.snapshot.token:
            self._finish(job, fallback)
            return
        self._run_on(job, state, shard_map)

    def _run_on(self, job: Job, state: ServiceState, shard_map: ShardMap) -> None:
        """Run a request on the snapshot of `shard_map`."""
        version = shard_map.snapshot.version
        admission = self._proof_gate.admit(
            job, version, state.profile.proving_servers, self._timers.now_ms()
        )
        match admission:
            case Quarantined():
                self._refuse(job, ResultCode.QUARANTINED)
            case Admitted(max_servers):
                self._run_admitted(job, state, shard_map, max_servers)
            case WaitsForProof():
                pass

    def _run_admitted(
        self, job: Job, state: ServiceState, shard_map: ShardMap, max_servers: int
    ) -> None:
        request = job.request
        shards = self._shards(request, shard_map)
        run = QueryRun(
            request,
            shard_map,
            shards,
            state,
            max_servers,
            job.started_ms,
            job.restarts,
        )
        job.run = run
        self._execute(job, run, run.start(self._timers.now_ms()))

    @staticmethod
    def _shards(request: Request, shard_map: ShardMap) -> tuple[int, ...]:
        if request.shard_key is not None:
            return (shard_of(request.shard_key, shard_map.shard_count),)
        return tuple(range(shard_map.shard_count))

    def _record_reply(
        self, job: Job, pending: PendingExchange, reply: ExchangeReply
    ) -> None:
        exchange = pending.exchange
        elapsed_ms = self._timers.now_ms() - pending.sent_ms
        zone = pending.run.zone_of(exchange.server)
        self._mover.observe(exchange, reply, zone, elapsed_ms)
        if reply.fate is not Fate.ANSWERED:
            return
        self._proof_gate.mark_proven(exchange.fingerprint, exchange.version)
        self._release_waiting(job)

    def _release_waiting(self, job: Job) -> None:
        """Start the requests that waited until this one is proven or has finished."""
        for waiting in self._proof_gate.release(job):
            self._timers.call_soon(partial(self._start, waiting))

    def _execute(self, job: Job, run: QueryRun, actions: list[RunAction]) -> None:
        for action in actions:
            match action:
                case SendExchange(exchange):
                    self._send(job, run, exchange)
                case CancelExchange(exchange_id, server):
                    self._cancel(exchange_id, server)
                case WakeAt(at_ms):
                    delay_ms = at_ms - self._timers.now_ms()
                    self._timers.call_later(delay_ms, lambda: self._wake(job, run))
                case Finish(answer):
                    if not self._run_on_old_version(job, answer):
                        self._finish(job, answer)
                case Restart(fallback):
                    job.restarts += 1
                    self._start(job, fallback)

    def _run_on_old_version(self, job: Job, answer: Answer) -> bool:
        """Run a query that failed on the new version of a move on the old one.

        Returns False if that is not possible: the query was restarted before, it may
        have run and is not idempotent, too little time is left, or the budget of
        extra attempts is used up.
        """
        request, service = job.request, job.request.service
        old_version = self._mover.old_version(service)
        if old_version is None or answer.code not in RERUN_CODES or job.restarts:
            return False
        state = self.services.state(service)
        shard_map = self._catalogue.shard_map(service, old_version)
        if state is None or shard_map is None or answer.coverage is None:
            return False
        if shard_map.snapshot.token == answer.snapshot:
            return False
        left_ms = job.started_ms + request.deadline_ms - self._timers.now_ms()
        may_run_again = request.repeatable or answer.not_run
        exchanges = state.exchanges_for(shard_map, self._timers.now_ms())
        if left_ms < MIN_RERUN_TIME_MS or not may_run_again:
            return False
        if not state.budget.take(exchanges):
            return False
        job.restarts += 1
        self._run_on(job, state, shard_map)
        return True

    def _wake(self, job: Job, run: QueryRun) -> None:
        if not run.finished:
            self._execute(job, run, run.wake(self._timers.now_ms()))

    def _send(self, job: Job, run: QueryRun, exchange: Exchange) -> None:
        pending = PendingExchange(job, run, exchange, "", self._timers.now_ms())
        self._pending[exchange.exchange_id] = pending
        daemon = self._route_exchange(exchange)
        if daemon is not None:
            pending.daemon = daemon
            return
        self._timers.call_soon(
            lambda: self._end_exchange(exchange, Fate.NOT_SENT, Reason.NOT_OWNER)
        )

    def _end_exchange(self, exchange: Exchange, fate: Fate, reason: Reason) -> None:
        """End an exchange to which no owner daemon will reply."""
        pending = self._pending.get(exchange.exchange_id)
        if pending is None:
            return
        reply = ExchangeReply(
            exchange.exchange_id, exchange.request_id, exchange.server, fate, reason
        )
        self.on_reply(reply, pending.daemon)

    def _cancel(self, exchange_id: int, server: str) -> None:
        pending = self._pending.get(exchange_id)
        if pending is None:
            return
        self._withdraw_exchange(pending.daemon, exchange_id, server)

    def _refuse(self, job: Job, code: ResultCode) -> None:
        answer = Answer(job.request.request_id, code, not_run=True)
        self._finish(job, answer)

    def _finish(self, job: Job, answer: Answer) -> None:
        request = job.request
        self._jobs.pop(request.request_id, None)
        self._release_waiting(job)
        answer.elapsed_ms = self._timers.now_ms() - job.started_ms
        if job.claim is not None:
            self._store_outcome(job, job.claim, answer)
        self.histograms.record(
            Series(request.service, request.caller, request.priority.name.lower()),
            answer.elapsed_ms,
        )
        if job.run is not None and job.run.outstanding:
            run = job.run
            self._timers.call_later(
                LATE_REPLY_TIMEOUT_MS, lambda: self._end_outstanding(run)
            )
        job.done(answer)

    def _end_outstanding(self, run: QueryRun) -> None:
        """End the exchanges of a finished query that are still without a reply."""
        for exchange in run.outstanding:
            self._end_exchange(exchange, Fate.MAY_HAVE_RUN, Reason.PEER_LOST)

    def _store_outcome(self, job: Job, claim: ClaimRecord, answer: Answer) -> None:
        """Store the outcome in the record of the claimed key."""
        state = ClaimState.NOT_RUN if answer.not_run else ClaimState.DONE
        record = attrs.evolve(claim, state=state, outcome=outcome_text(answer))
        self._claimer.store_outcome(job.request.service, record)


__all__ = ["EntryDriver"]
