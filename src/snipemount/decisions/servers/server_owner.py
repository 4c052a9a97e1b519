"""Queue, slots, connections and warm-up of one owned backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...model.exchange import (
    Exchange,
    ExchangeReply,
    Fate,
    Reason,
    ServerLoad,
)
from .breaker import CircuitBreaker
from .cold_start import ColdStartGuard
from .connections import ConnectionPool
from .exchange_queue import MIN_BUDGET_MS, ExchangeQueue
from .leaf_slots import LeafSlots
from .owner_messages import (
    Answered,
    BackendOutcome,
    CancelOnServer,
    Dispatch,
    Lost,
    NotConnected,
    Origin,
    OwnerAction,
    Refused,
    Reply,
    Stopped,
    Strike,
    SubmittedExchange,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...model.fleet import BackendServer
    from ...model.profile import Profile
    from .latency_reference import LatencyReference

INITIAL_SERVICE_MS = 20.0
SERVICE_SMOOTHING = 0.05
SPARE_CONNECTIONS = 2
MAX_COLD_PAUSE_MS = 10.0
IMMEDIATE_OPEN_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.WRONG_SNAPSHOT})


class ServerOwner:
    """State machine that decides which exchanges a backend server is sent.

    Keeps the queue, limits concurrency by slots and cold start, and uses a circuit
    breaker. Each method returns the actions to carry out.

    Parameters
    ----------
    server : BackendServer
        Server with its slots and connection limit.
    profile : Profile
        Profile with the queue and cold start limits.
    reference : LatencyReference
        Latencies of the service's warm servers.
    cold : bool
        Whether the server starts with the reduced load of a cold start.
    now_ms : float
        Time of creation.
    connection_ids : Iterator of int
        Source of connection ids, unique in the daemon.
    """

    def __init__(
        self,
        server: BackendServer,
        profile: Profile,
        reference: LatencyReference,
        cold: bool,
        now_ms: float,
        connection_ids: Iterator[int],
    ) -> None:
        self.server = server
        self._cold_start = ColdStartGuard(
            server.name, profile.cold_start, reference, cold, now_ms
        )
        self.slots = server.slots
        self.connections = server.connection_limit
        self._leaf_slots = LeafSlots(server.leafs)
        warm_connections = server.slots + SPARE_CONNECTIONS
        self._pool = ConnectionPool(
            server.name, server.connection_limit, warm_connections, connection_ids
        )
        self._queue = ExchangeQueue(profile.queue)
        self._running: dict[int, SubmittedExchange] = {}
        self._service_ms = INITIAL_SERVICE_MS
        self._not_before_ms = now_ms
        self._breaker = CircuitBreaker()
        self.draining = server.draining

    @property
    def in_flight(self) -> int:
        """Number of exchanges that the server is running for this daemon."""
        return len(self._running)

    @property
    def warm(self) -> bool:
        """Whether the server may be sent its full load."""
        return not self._cold_start.cold

    @property
    def idle(self) -> bool:
        """Whether no exchange is queued or running."""
        return not self._queue and not self._running

    def load(self, now_ms: float) -> ServerLoad:
        """Return the load to report to the entry daemons."""
        return ServerLoad(
            in_flight=len(self._running),
            queued=len(self._queue),
            limit=self.slots * self._cold_start.fraction,
            service_ms=self._service_ms,
            cold=self._cold_start.cold,
            draining=self.draining,
            pause_ms=max(0.0, self._not_before_ms - now_ms),
        )

    def update_server(self, server: BackendServer) -> None:
        """Replace the description of the server; `draining` is never reset."""
        self.draining = self.draining or server.draining
        self.server = server

    def set_slots(
        self, slots: int, connections: int, now_ms: float
    ) -> list[OwnerAction]:
        """Set the limits of concurrent exchanges and open connections."""
        self.slots = slots
        self.connections = connections
        actions: list[OwnerAction] = []
        actions += self._pool.set_limit(connections, now_ms)
        if slots == 0:
            actions += self._reject_all(Reason.NOT_OWNER, now_ms)
        actions += self._dispatch_queued(now_ms)
        return actions

    def submit(
        self, origin: Origin, exchange: Exchange, now_ms: float
    ) -> list[OwnerAction]:
        """Queue an exchange, or reject it as not sent.

        A full queue rejects its least urgent exchange in favour of a more urgent
        one.
        """
        submitted = SubmittedExchange(origin, exchange, now_ms)
        reason = self._refusal_reason(submitted, now_ms)
        if reason is not Reason.NONE:
            return [self._reject(submitted, reason, now_ms)]
        actions: list[OwnerAction] = []
        evicted = self._queue.add(submitted)
        if evicted is submitted:
            return [self._reject(submitted, Reason.QUEUE_FULL, now_ms)]
        if evicted is not None:
            actions.append(self._reject(evicted, Reason.QUEUE_FULL, now_ms))
        actions += self._dispatch_queued(now_ms)
        return actions

    def cancel(self, origin: Origin, now_ms: float) -> list[OwnerAction]:
        """Remove a queued exchange, or cancel a running one at the server."""
        for submitted in self._queue:
            if submitted.origin == origin:
                self._queue.remove(submitted)
                return [self._reject(submitted, Reason.CANCELLED, now_ms)]
        for submitted in self._running.values():
            if submitted.origin == origin and not submitted.cancelled:
                submitted.cancelled = True
                return [CancelOnServer(self.server.name, submitted.exchange)]
        return []

    def connected(self, connection_id: int, now_ms: float) -> list[OwnerAction]:
        """Use a connection that has been opened or has answered a ping."""
        if not self._pool.has(connection_id):
            return [self._pool.close(connection_id)]
        self._pool.give_back(connection_id, now_ms)
        return self._dispatch_queued(now_ms)

    def connect_failed(self, connection_id: int, now_ms: float) -> list[OwnerAction]:
        """Remove a connection that could not be opened or broke while idle.

        Without any connection left, all queued exchanges are rejected as not sent.
        """
        actions: list[OwnerAction] = [self._pool.close(connection_id)]
        if len(self._pool) == 0 and not self._running:
            self._cold_start.reset_to_cold(now_ms)
            self._breaker.failed(True, now_ms)
            actions += self._reject_all(Reason.CONNECT_FAILED, now_ms)
        return actions

    def ended(
        self, connection_id: int, outcome: BackendOutcome, now_ms: float
    ) -> list[OwnerAction]:
        """Handle the end of the exchange on a connection."""
        submitted = self._running.pop(connection_id, None)
        if submitted is None:
            return [self._pool.close(connection_id)]
        self._leaf_slots.give_back(submitted.exchange.shards)
        match outcome:
            case Answered():
                actions = self._on_answered(submitted, outcome, now_ms)
            case Refused():
                actions = self._on_refused(submitted, outcome, now_ms)
            case Stopped():
                self._pool.give_back(connection_id, now_ms)
                actions = [
                    self._reply(submitted, Fate.MAY_HAVE_RUN, Reason.CANCELLED, now_ms)
                ]
            case Lost():
                actions = self._on_lost(submitted, outcome, now_ms)
            case NotConnected():
                actions = [self._pool.close(connection_id)]
                actions.append(self._reject(submitted, Reason.CONNECT_FAILED, now_ms))
        actions += self._dispatch_queued(now_ms)
        return actions

    def tick(self, now_ms: float) -> list[OwnerAction]:
        """Time out queued and running exchanges; dispatch those that may start."""
        actions: list[OwnerAction] = []
        if self.idle:
            return actions
        for submitted in self._queue.take_overdue(now_ms):
            actions.append(self._reject(submitted, Reason.QUEUE_TIMEOUT, now_ms))
        for submitted in [
            s for s in self._running.values() if s.remaining_ms(now_ms) <= 0
        ]:
            actions += self._time_out(submitted, now_ms)
        actions += self._dispatch_queued(now_ms)
        return actions

    def check_connections(self, now_ms: float) -> list[OwnerAction]:
        """Ping idle connections, close unresponsive ones and open missing ones."""
        actions: list[OwnerAction] = []
        actions += self._pool.tick(now_ms)
        actions += self._dispatch_queued(now_ms)
        return actions

    def stop(self, now_ms: float) -> list[OwnerAction]:
        """Reject all queued exchanges and close all connections."""
        actions = self._reject_all(Reason.NOT_OWNER, now_ms)
        actions += self._pool.close_all()
        return actions

    def _refusal_reason(self, submitted: SubmittedExchange, now_ms: float) -> Reason:
        if self.draining:
            return Reason.DRAINING
        if self.slots == 0:
            return Reason.NOT_OWNER
        if submitted.exchange.budget_ms < MIN_BUDGET_MS:
            return Reason.QUEUE_TIMEOUT
        if not self._leaf_slots.has_all(submitted.exchange.shards):
            return Reason.SNAPSHOT_GONE
        if submitted.exchange.last_resort:
            return Reason.NONE
        if not self._breaker.allows(now_ms):
            return Reason.EJECTED
        if self._cold_start.cold and not self._has_room_while_cold(now_ms):
            return Reason.WARMING_UP
        return Reason.NONE

    def _has_room_while_cold(self, now_ms: float) -> bool:
        paused = self._not_before_ms - now_ms > MAX_COLD_PAUSE_MS
        return not self._queue and not paused

    def _dispatch_queued(self, now_ms: float) -> list[OwnerAction]:
        """Dispatch queued exchanges as far as slots, pauses and connections allow."""
        actions: list[OwnerAction] = []
        without_connection = 0
        for submitted in list(self._queue):
            if not self._may_start(submitted, now_ms):
                break
            connection_id = self._pool.take(now_ms)
            if connection_id is None:
                without_connection = min(len(self._queue), self._concurrency_limit())
                break
            self._queue.remove(submitted)
            actions.append(self._start(submitted, connection_id, now_ms))
        if self.slots and not self.draining:
            actions += self._pool.open_missing(without_connection, now_ms)
        return actions

    def _concurrency_limit(self) -> int:
        if self.slots == 0:
            return 0
        return max(1, int(self.slots * self._cold_start.fraction))

    def _may_start(self, submitted: SubmittedExchange, now_ms: float) -> bool:
        if self.slots == 0 or now_ms < self._not_before_ms:
            return False
        if self._cold_start.cold and len(self._running) >= self._concurrency_limit():
            return False
        withheld_slots = self.server.slots - self.slots
        return self._leaf_slots.are_free(submitted.exchange.shards, withheld_slots)

    def _start(
        self, submitted: SubmittedExchange, connection_id: int, now_ms: float
    ) -> Dispatch:
        self._breaker.sent()
        submitted.sent_ms = now_ms
        submitted.connection_id = connection_id
        self._running[connection_id] = submitted
        self._leaf_slots.take(submitted.exchange.shards)
        budget_ms = submitted.remaining_ms(now_ms)
        return Dispatch(self.server.name, connection_id, submitted.exchange, budget_ms)

    def _delay_next(self, latency_ms: float, now_ms: float) -> None:
        """Delay the next exchange of a server that may use less than one slot."""
        share = self.slots * self._cold_start.fraction
        if 0.0 < share < 1.0:
            self._not_before_ms = now_ms + latency_ms * (1.0 / share - 1.0)

    def _on_answered(
        self, submitted: SubmittedExchange, outcome: Answered, now_ms: float
    ) -> list[OwnerAction]:
        snapshot = submitted.exchange.snapshot
        if any(partial.snapshot != snapshot for partial in outcome.partials):
            return self._on_lost(submitted, Lost(Reason.WRONG_SNAPSHOT), now_ms)
        latency_ms = now_ms - submitted.sent_ms
        self._service_ms += SERVICE_SMOOTHING * (latency_ms - self._service_ms)
        self._breaker.succeeded()
        self._cold_start.record_start_id(outcome.start_id, now_ms)
        self._cold_start.record_answer(latency_ms, now_ms)
        self._delay_next(latency_ms, now_ms)
        self.draining = self.draining or outcome.draining
        self._pool.give_back(submitted.connection_id, now_ms)
        reply = self._reply(submitted, Fate.ANSWERED, Reason.NONE, now_ms)
        reply.reply.partials = outcome.partials
        return [reply]

    def _on_refused(
        self, submitted: SubmittedExchange, outcome: Refused, now_ms: float
    ) -> list[OwnerAction]:
        self._pool.give_back(submitted.connection_id, now_ms)
        self._breaker.probe_inconclusive()
        if outcome.start_id is not None:
            self._cold_start.record_start_id(outcome.start_id, now_ms)
        if outcome.reason is Reason.SHED:
            self._cold_start.record_shed(now_ms)
        if outcome.reason is Reason.DRAINING:
            self.draining = True
        return [self._reply(submitted, Fate.REFUSED, outcome.reason, now_ms)]

    def _on_lost(
        self, submitted: SubmittedExchange, outcome: Lost, now_ms: float
    ) -> list[OwnerAction]:
        actions: list[OwnerAction] = [self._pool.close(submitted.connection_id)]
        self._breaker.failed(outcome.reason in IMMEDIATE_OPEN_REASONS, now_ms)
        if outcome.reason is Reason.CONNECTION_LOST:
            self._cold_start.reset_to_cold(now_ms)
            if not submitted.exchange.proven:
                actions.append(Strike(submitted.exchange.fingerprint, self.server.name))
        actions += self._pool.verify_idle(now_ms)
        actions.append(
            self._reply(submitted, Fate.MAY_HAVE_RUN, outcome.reason, now_ms)
        )
        return actions

    def _time_out(
        self, submitted: SubmittedExchange, now_ms: float
    ) -> list[OwnerAction]:
        self._running.pop(submitted.connection_id, None)
        self._leaf_slots.give_back(submitted.exchange.shards)
        self._breaker.failed(False, now_ms)
        actions: list[OwnerAction] = [self._pool.close(submitted.connection_id)]
        actions += self._pool.verify_idle(now_ms)
        actions.append(
            self._reply(submitted, Fate.MAY_HAVE_RUN, Reason.TIMEOUT, now_ms)
        )
        return actions

    def _reject_all(self, reason: Reason, now_ms: float) -> list[OwnerAction]:
        return [self._reject(s, reason, now_ms) for s in self._queue.take_all()]

    def _reject(
        self, submitted: SubmittedExchange, reason: Reason, now_ms: float
    ) -> Reply:
        return self._reply(submitted, Fate.NOT_SENT, reason, now_ms)

    def _reply(
        self, submitted: SubmittedExchange, fate: Fate, reason: Reason, now_ms: float
    ) -> Reply:
        reply = ExchangeReply(
            exchange_id=submitted.origin.exchange_id,
            request_id=submitted.exchange.request_id,
            server=self.server.name,
            fate=fate,
            reason=reason,
            load=self.load(now_ms),
            waited_ms=(submitted.sent_ms or now_ms) - submitted.arrived_ms,
        )
        return Reply(submitted.origin, reply)


__all__ = ["ServerOwner"]
