"""Driver of the version moves: canary, ramp-up and rollback."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from ..decisions.moves.canary_analysis import Baseline, CanaryAnalysis, Observation
from ..decisions.moves.move_plan import MoveEvidence, MovePlan
from ..decisions.servers.fleet_view import FAILURE_REASONS
from ..model.exchange import Attempt, Fate, Reason
from ..model.move import EventRecord, MoveRecord, MoveState
from ..ports.peer import ReportBadMove, ReportEvidence
from ..ports.platform import Failed, Found, Kind, Written
from .catalogue import record_converter
from .running_move import RunningMove

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.fleet.membership import Membership
    from ..model.exchange import Exchange, ExchangeReply
    from ..ports.peer import PeerMessage
    from ..ports.platform import PlatformPort, ReadResult, WriteResult
    from ..timers import TimerService
    from .catalogue import Catalogue

TICK_MS = 250.0
END_RETRY_MS = 1000.0
END_STAGGER_MS = 400.0
MAX_EXCLUSION_MS = 30_000.0
MAX_EXCLUSION_SHARE = 0.2
EVALUATED_FAILURES = FAILURE_REASONS | {Reason.EJECTED}
WARM_UP_FAILURES = frozenset(
    {Reason.CONNECTION_LOST, Reason.CONNECT_FAILED, Reason.TIMEOUT}
)


class Mover:
    """Splits traffic between versions and ends moves.

    Parameters
    ----------
    catalogue : Catalogue
        Supplies the moves.
    membership : Membership
        Known daemons and which of them are alive.
    platform : PlatformPort
        Stores the ends of moves, and events.
    timers : TimerService
        Clock and timers.
    random : Random
        Selects the version of each query.
    broadcast : Callable
        Sends a message to every other daemon.
    on_event : Callable
        Receives each event that this daemon has stored.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        membership: Membership,
        platform: PlatformPort,
        timers: TimerService,
        random: Random,
        broadcast: Callable[[PeerMessage], None],
        on_event: Callable[[EventRecord], None],
    ) -> None:
        self._catalogue = catalogue
        self._membership = membership
        self._platform = platform
        self._timers = timers
        self._random = random
        self._broadcast = broadcast
        self._on_event = on_event
        self._moves: dict[str, RunningMove] = {}
        self._baselines: dict[tuple[str, str, str], Baseline] = {}
        self._event_scheduled: set[str] = set()
        self._first_cold_ms: dict[str, float] = {}
        timers.call_every(TICK_MS, self._tick)

    def share(self, service: str) -> float:
        """Return the share of new queries on the new version; 0 without a move."""
        move = self._moves.get(service)
        return move.plan.share if move is not None else 0.0

    def evidence(self, service: str) -> MoveEvidence | None:
        """Return the evidence on a move's new version; None without a move."""
        move = self._moves.get(service)
        return move.evidence if move is not None else None

    def current_version(self, service: str) -> str | None:
        """Return the new version of a move that is done, else the old one.

        None without a move.
        """
        move = self._moves.get(service)
        if move is None:
            return None
        done = move.record.state is MoveState.DONE
        return move.record.to_version if done else move.record.from_version

    def pick_version(self, service: str) -> str | None:
        """Select the version for a new query; None for the service's active one."""
        move = self._moves.get(service)
        if move is None:
            return None
        use_new = self._random.random() < move.plan.share
        return move.record.to_version if use_new else move.record.from_version

    def old_version(self, service: str) -> str | None:
        """Return the old version of a move that has not ended, else None.

        It serves the queries that the new version fails or has no capacity for.
        """
        move = self._moves.get(service)
        if move is None or move.record.state.final:
            return None
        return move.record.from_version

    def catalogue_changed(self) -> None:
        """Apply the current moves of the catalogue."""
        for record in self._catalogue.moves():
            move = self._moves.get(record.service)
            if move is None or move.record.move_id != record.move_id:
                baseline_of = partial(
                    self._baseline, record.service, record.from_version
                )
                analysis = CanaryAnalysis(record.move_id, baseline_of)
                move = RunningMove(record, MovePlan(record), analysis)
                self._moves[record.service] = move
            move.record = record
            move.plan.record = record
            self._update_plan(move)
            if record.state.final:
                self._schedule_event(record)

    def observe(
        self, exchange: Exchange, reply: ExchangeReply, zone: str, elapsed_ms: float
    ) -> None:
        """Add an ended exchange to the baseline and, during a move, to the analysis."""
        if exchange.attempt is not Attempt.FIRST:
            return
        move = self._moves.get(exchange.service)
        observation = self._observation(move, exchange, reply, zone, elapsed_ms)
        if observation is None:
            return
        version = exchange.version
        self._baseline(exchange.service, version, exchange.route).add(observation)
        if move is None or move.record.state.final:
            return
        if version == move.record.to_version:
            move.analysis.observe_new(observation)
            self._stop_if_bad(move)

    def _baseline(self, service: str, version: str, route: str) -> Baseline:
        key = (service, version, route)
        baseline = self._baselines.get(key)
        if baseline is None:
            baseline = self._baselines[key] = Baseline()
        return baseline

    def on_report(self, message: ReportEvidence | ReportBadMove) -> None:
        """Apply another daemon's report of evidence or of a bad new version."""
        for move in self._moves.values():
            match message:
                case ReportEvidence(report):
                    move.analysis.merge_report(report)
                    self._stop_if_bad(move)
                case ReportBadMove(move_id, reason):
                    if move.record.move_id == move_id:
                        self._stop_locally(move, reason)

    def _observation(
        self,
        move: RunningMove | None,
        exchange: Exchange,
        reply: ExchangeReply,
        zone: str,
        elapsed_ms: float,
    ) -> Observation | None:
        """Return the observation; None if it says nothing about the version."""
        failed = reply.reason in EVALUATED_FAILURES
        cancelled = reply.reason is Reason.CANCELLED and not reply.fate.not_run
        has_latency = reply.fate is Fate.ANSWERED or cancelled
        if not failed and not has_latency:
            return None
        excluded = self._is_excluded(move, reply, failed)
        latency_ms = max(0.0, elapsed_ms - reply.waited_ms)
        return Observation(exchange.route, zone, failed, latency_ms, excluded)

    def _is_excluded(
        self, move: RunningMove | None, reply: ExchangeReply, failed: bool
    ) -> bool:
        """Return whether to exclude an exchange because its server is warming up.

        Failures that warm-up does not cause are never excluded. While the service
        has a move, exclusion of a server ends `MAX_EXCLUSION_MS` after its first
        cold exchange, or earlier, after `MAX_EXCLUSION_SHARE` of the move.
        """
        if reply.load is None or not reply.load.cold:
            return False
        may_exclude = not failed or reply.reason in WARM_UP_FAILURES
        if move is None:
            return may_exclude
        now_ms = self._timers.now_ms()
        first_cold_ms = self._first_cold_ms.setdefault(reply.server, now_ms)
        record = move.record
        duration_ms = record.finish_wall_ms - record.started_wall_ms
        if now_ms - first_cold_ms > min(
            MAX_EXCLUSION_MS, duration_ms * MAX_EXCLUSION_SHARE
        ):
            return False
        return may_exclude

    def _tick(self) -> None:
        for move in self._moves.values():
            for report in move.analysis.take_reports():
                self._broadcast(ReportEvidence(report))
            self._update_plan(move)
            self._stop_if_bad(move)
            self._end_if_due(move)

    def _end_if_due(self, move: RunningMove) -> None:
        if move.record.state.final:
            return
        if self._may_complete(move):
            self._end(move, MoveState.DONE, "share and judgement complete")
        elif move.plan.is_overdue(self._timers.wall_ms()):
            self._end(move, MoveState.TAKEN_BACK, "not proven by the finishing time")

    def _may_complete(self, move: RunningMove) -> bool:
        may_complete = move.plan.may_complete(move.evidence, self._timers.wall_ms())
        return may_complete and self._is_confirmed()

    def _update_plan(self, move: RunningMove) -> None:
        now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
        move.plan.update(move.evidence, self._is_confirmed(), wall_ms, now_ms)

    def _is_confirmed(self) -> bool:
        """Return whether this daemon has settled and is not cut off."""
        now_ms = self._timers.now_ms()
        settled = self._membership.is_settled(now_ms)
        return settled and not self._membership.is_cut_off(now_ms)

    def _stop_if_bad(self, move: RunningMove) -> None:
        """Take a move back, and report it, if its new version has been judged bad."""
        if not move.analysis.bad or move.record.state.final:
            return
        reason = move.analysis.reason
        self._stop_locally(move, reason)
        if not move.bad_reported:
            move.bad_reported = True
            self._broadcast(ReportBadMove(move.record.move_id, reason))

    def _stop_locally(self, move: RunningMove, reason: str) -> None:
        if move.record.state.final:
            return
        evidence = attrs.evolve(move.evidence, bad=True)
        now_ms, wall_ms = self._timers.now_ms(), self._timers.wall_ms()
        move.plan.update(evidence, False, wall_ms, now_ms)
        self._end(move, MoveState.TAKEN_BACK, reason)

    def _end(self, move: RunningMove, state: MoveState, reason: str) -> None:
        """Store the end of a move.

        The live daemons try one after the other, `END_STAGGER_MS` apart in order
        of their names.
        """
        now_ms = self._timers.now_ms()
        if move.ending or now_ms < move.end_from_ms:
            return
        if move.end_from_ms == 0.0 and self._rank() > 0:
            move.end_from_ms = now_ms + self._rank() * END_STAGGER_MS
            self._timers.call_later(
                self._rank() * END_STAGGER_MS, lambda: self._end(move, state, reason)
            )
            return
        if move.record.state.final:
            return
        move.ending = True
        move.end_from_ms = now_ms + END_RETRY_MS
        self._platform.read(
            Kind.MOVE,
            move.record.service,
            lambda result: self._on_end_read(move, state, reason, result),
        )

    def _rank(self) -> int:
        names = [m.name for m in self._membership.alive(self._timers.now_ms())]
        return names.index(self._membership.own.name)

    def _on_end_read(
        self, move: RunningMove, state: MoveState, reason: str, result: ReadResult
    ) -> None:
        if not isinstance(result, Found):
            self._retry_end(move, state, reason)
            return
        current: MoveRecord = record_converter.structure(result.stored.spec, MoveRecord)
        if current.state.final or current.move_id != move.record.move_id:
            move.ending = False
            return
        name = self._membership.own.name
        ended = attrs.evolve(current, state=state, reason=reason, ended_by=name)
        self._platform.write(
            Kind.MOVE,
            current.service,
            record_converter.unstructure(ended),
            result.stored.version,
            lambda written: self._on_end_written(move, state, reason, written),
        )

    def _on_end_written(
        self, move: RunningMove, state: MoveState, reason: str, result: WriteResult
    ) -> None:
        if isinstance(result, Written):
            move.ending = False
            return
        self._retry_end(move, state, reason)

    def _retry_end(self, move: RunningMove, state: MoveState, reason: str) -> None:
        """Read and write again later, since the write may have taken effect."""

        def retry() -> None:
            move.ending = False
            if state is MoveState.TAKEN_BACK or self._may_complete(move):
                self._end(move, state, reason)

        self._timers.call_later(END_RETRY_MS, retry)

    def _schedule_event(self, record: MoveRecord) -> None:
        """Store the event that a move has ended.

        All daemons write it under the same name, so that it is stored once.
        """
        if record.move_id in self._event_scheduled:
            return
        self._event_scheduled.add(record.move_id)
        delay_ms = self._rank() * END_STAGGER_MS
        self._timers.call_later(delay_ms, lambda: self._write_event(record))

    def _write_event(self, record: MoveRecord) -> None:
        event = EventRecord(
            subject=record.service,
            what=f"move {record.move_id} {record.state.name.lower()}",
            reason=record.reason,
            reported_by=self._membership.own.name,
            wall_ms=self._timers.wall_ms(),
        )

        def written(result: WriteResult) -> None:
            match result:
                case Written():
                    self._on_event(event)
                case Failed():
                    retry = partial(self._write_event, record)
                    self._timers.call_later(END_RETRY_MS, retry)

        name = f"{record.service}-{record.move_id}-{record.state.name.lower()}"
        spec = record_converter.unstructure(event)
        self._platform.write(Kind.EVENT, name, spec, None, written)


__all__ = ["Mover"]
