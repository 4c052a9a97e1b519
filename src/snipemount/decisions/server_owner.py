"""Queue, slots, connections and warm-up of one owned backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.exchange import (
    Exchange,
    ExchangeReply,
    Fate,
    Reason,
    ServerLoad,
)
from .breaker import CircuitBreaker
from .cold_start import ColdStartGuard
from .connections import ConnectionPool
from .owner_messages import (
    Answered,
    BackendOutcome,
    CancelOnServer,
    Dispatch,
    Held,
    Lost,
    NotConnected,
    Origin,
    OwnerAction,
    Refused,
    Reply,
    Stopped,
    Strike,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..model.fleet import BackendServer
    from ..model.profile import Profile
    from .latency_reference import LatencyReference

INITIAL_SERVICE_MS = 20.0
SERVICE_SMOOTHING = 0.05
SPARE_CONNECTIONS = 2
LEAST_BUDGET_MS = 1.0
MOST_COLD_WAIT_MS = 10.0
CERTAIN_FAILURES = frozenset({Reason.CONNECTION_LOST, Reason.WRONG_SNAPSHOT})


class ServerOwner:
    """The one place that decides what a backend server is sent.

    Parameters
    ----------
    server : BackendServer
        Server with its limits.
    profile : Profile
        Queue and cold start limits.
    reference : LatencyReference
        Latency of the service's warm servers.
    cold : bool
        Whether the server is to be warmed up first.
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
        self._limits = profile.queue
        self._guard = ColdStartGuard(
            server.name, profile.cold_start, reference, cold, now_ms
        )
        self.slots = server.slots
        self.connections = server.connection_limit
        self._leaf_slots = {leaf.shard: leaf.slots for leaf in server.leafs}
        self._leaf_in_flight = dict.fromkeys(self._leaf_slots, 0)
        warm = server.slots + SPARE_CONNECTIONS
        self._pool = ConnectionPool(
            server.name, server.connection_limit, warm, connection_ids
        )
        self._queue: list[Held] = []
        self._running: dict[int, Held] = {}
        self._service_ms = INITIAL_SERVICE_MS
        self._not_before_ms = now_ms
        self._breaker = CircuitBreaker()
        self.draining = server.draining

    @property
    def in_flight(self) -> int:
        """Exchanges that the server is running for this daemon."""
        return len(self._running)

    @property
    def warm(self) -> bool:
        """Whether the server is given its full load."""
        return not self._guard.cold

    @property
    def idle(self) -> bool:
        """Whether nothing waits and nothing runs."""
        return not self._queue and not self._running

    def load(self, now_ms: float) -> ServerLoad:
        """Return the load to tell the entry daemons."""
        return ServerLoad(
            in_flight=len(self._running),
            queued=len(self._queue),
            limit=self.slots * self._guard.fraction,
            service_ms=self._service_ms,
            cold=self._guard.cold,
            draining=self.draining,
            pause_ms=max(0.0, self._not_before_ms - now_ms),
        )

    def update_server(self, server: BackendServer) -> None:
        """Take a new description of the server; draining is never unset."""
        self.draining = self.draining or server.draining
        self.server = server

    def set_slots(
        self, slots: int, connections: int, now_ms: float
    ) -> list[OwnerAction]:
        """Use at most `slots` and `connections` from now on."""
        self.slots = slots
        self.connections = connections
        actions: list[OwnerAction] = []
        actions += self._pool.set_limit(connections, now_ms)
        if slots == 0:
            actions += self._refuse_all(Reason.NOT_OWNER, now_ms)
        actions += self._pump(now_ms)
        return actions

    def submit(
        self, origin: Origin, exchange: Exchange, now_ms: float
    ) -> list[OwnerAction]:
        """Take an exchange in, or refuse it as not sent."""
        held = Held(origin, exchange, now_ms)
        reason = self._reason_to_refuse(held, now_ms)
        if reason is not Reason.NONE:
            return [self._not_sent(held, reason, now_ms)]
        actions: list[OwnerAction] = []
        if len(self._queue) >= self._limits.length:
            victim = max(self._queue, key=lambda h: h.exchange.priority)
            if victim.exchange.priority <= exchange.priority:
                return [self._not_sent(held, Reason.QUEUE_FULL, now_ms)]
            self._queue.remove(victim)
            actions.append(self._not_sent(victim, Reason.QUEUE_FULL, now_ms))
        self._enqueue(held)
        actions += self._pump(now_ms)
        return actions

    def cancel(self, origin: Origin, now_ms: float) -> list[OwnerAction]:
        """Drop a waiting exchange, or tell the server to stop a running one."""
        for held in self._queue:
            if held.origin == origin:
                self._queue.remove(held)
                return [self._not_sent(held, Reason.CANCELLED, now_ms)]
        for held in self._running.values():
            if held.origin == origin and not held.cancelled:
                held.cancelled = True
                return [CancelOnServer(self.server.name, held.exchange)]
        return []

    def connected(self, connection_id: int, now_ms: float) -> list[OwnerAction]:
        """Use a connection that has opened or has answered a ping."""
        if not self._pool.has(connection_id):
            return [self._pool.close(connection_id)]
        self._pool.give_back(connection_id, now_ms)
        return self._pump(now_ms)

    def connect_failed(self, connection_id: int, now_ms: float) -> list[OwnerAction]:
        """Forget a connection that did not open or broke while idle.

        When not one connection is left, what waits is refused as not sent.
        """
        actions: list[OwnerAction] = [self._pool.close(connection_id)]
        if len(self._pool) == 0 and not self._running:
            self._guard.turn_cold(now_ms)
            self._breaker.failed(True, now_ms)
            actions += self._refuse_all(Reason.CONNECT_FAILED, now_ms)
        return actions

    def ended(
        self, connection_id: int, outcome: BackendOutcome, now_ms: float
    ) -> list[OwnerAction]:
        """Take the end of the exchange that a connection carried."""
        held = self._running.pop(connection_id, None)
        if held is None:
            return [self._pool.close(connection_id)]
        self._release(held)
        match outcome:
            case Answered():
                actions = self._on_answered(held, outcome, now_ms)
            case Refused():
                actions = self._on_refused(held, outcome, now_ms)
            case Stopped():
                self._pool.give_back(connection_id, now_ms)
                actions = [
                    self._report(held, Fate.MAY_HAVE_RUN, Reason.CANCELLED, now_ms)
                ]
            case Lost():
                actions = self._on_lost(held, outcome, now_ms)
            case NotConnected():
                actions = [self._pool.close(connection_id)]
                actions.append(self._not_sent(held, Reason.CONNECT_FAILED, now_ms))
        actions += self._pump(now_ms)
        return actions

    def tick(self, now_ms: float) -> list[OwnerAction]:
        """Expire what has waited or run too long; send what may start."""
        actions: list[OwnerAction] = []
        if self.idle:
            return actions
        for held in [h for h in self._queue if self._is_stale(h, now_ms)]:
            self._queue.remove(held)
            actions.append(self._not_sent(held, Reason.QUEUE_TIMEOUT, now_ms))
        for held in [h for h in self._running.values() if h.left_ms(now_ms) <= 0]:
            actions += self._time_out(held, now_ms)
        actions += self._pump(now_ms)
        return actions

    def check_connections(self, now_ms: float) -> list[OwnerAction]:
        """Ping idle connections, close silent ones, keep the stock warm."""
        actions: list[OwnerAction] = []
        actions += self._pool.tick(now_ms)
        actions += self._pump(now_ms)
        return actions

    def stop(self, now_ms: float) -> list[OwnerAction]:
        """Refuse what waits and close every connection."""
        actions = self._refuse_all(Reason.NOT_OWNER, now_ms)
        actions += self._pool.close_all()
        return actions

    def _reason_to_refuse(self, held: Held, now_ms: float) -> Reason:
        if self.draining:
            return Reason.DRAINING
        if self.slots == 0:
            return Reason.NOT_OWNER
        if held.exchange.budget_ms < LEAST_BUDGET_MS:
            return Reason.QUEUE_TIMEOUT
        if any(shard not in self._leaf_slots for shard in held.exchange.shards):
            return Reason.SNAPSHOT_GONE
        if held.exchange.last_resort:
            return Reason.NONE
        if not self._breaker.allows(now_ms):
            return Reason.EJECTED
        if self._guard.cold and not self._has_room_while_cold(now_ms):
            return Reason.WARMING_UP
        return Reason.NONE

    def _has_room_while_cold(self, now_ms: float) -> bool:
        paused = self._not_before_ms - now_ms > MOST_COLD_WAIT_MS
        return not self._queue and not paused

    def _enqueue(self, held: Held) -> None:
        index = len(self._queue)
        priority = held.exchange.priority
        while index and self._queue[index - 1].exchange.priority > priority:
            index -= 1
        self._queue.insert(index, held)

    def _is_stale(self, held: Held, now_ms: float) -> bool:
        waited_ms = now_ms - held.arrived_ms
        return waited_ms > self._limits.wait_ms or held.left_ms(now_ms) < (
            LEAST_BUDGET_MS
        )

    def _pump(self, now_ms: float) -> list[OwnerAction]:
        """Dispatch whatever slots, pace and connections allow."""
        actions: list[OwnerAction] = []
        waiting = 0
        for held in list(self._queue):
            if not self._may_start(held, now_ms):
                break
            connection_id = self._pool.take(now_ms)
            if connection_id is None:
                waiting = min(len(self._queue), self._concurrency())
                break
            self._queue.remove(held)
            actions.append(self._start(held, connection_id, now_ms))
        if self.slots and not self.draining:
            actions += self._pool.open_for(waiting, now_ms)
        return actions

    def _concurrency(self) -> int:
        if self.slots == 0:
            return 0
        return max(1, int(self.slots * self._guard.fraction))

    def _may_start(self, held: Held, now_ms: float) -> bool:
        if self.slots == 0 or now_ms < self._not_before_ms:
            return False
        if self._guard.cold and len(self._running) >= self._concurrency():
            return False
        lost_slots = self.server.slots - self.slots
        return all(
            self._leaf_in_flight[shard] < self._leaf_slots[shard] - lost_slots
            for shard in held.exchange.shards
        )

    def _start(self, held: Held, connection_id: int, now_ms: float) -> Dispatch:
        self._breaker.sent()
        held.sent_ms = now_ms
        held.connection_id = connection_id
        self._running[connection_id] = held
        for shard in held.exchange.shards:
            self._leaf_in_flight[shard] += 1
        budget_ms = held.left_ms(now_ms)
        return Dispatch(self.server.name, connection_id, held.exchange, budget_ms)

    def _release(self, held: Held) -> None:
        for shard in held.exchange.shards:
            self._leaf_in_flight[shard] -= 1

    def _pace(self, latency_ms: float, now_ms: float) -> None:
        """Space out the exchanges of a server given less than one slot."""
        share = self.slots * self._guard.fraction
        if 0.0 < share < 1.0:
            self._not_before_ms = now_ms + latency_ms * (1.0 / share - 1.0)

    def _on_answered(
        self, held: Held, outcome: Answered, now_ms: float
    ) -> list[OwnerAction]:
        snapshot = held.exchange.snapshot
        if any(partial.snapshot != snapshot for partial in outcome.partials):
            return self._on_lost(held, Lost(Reason.WRONG_SNAPSHOT), now_ms)
        latency_ms = now_ms - held.sent_ms
        self._service_ms += SERVICE_SMOOTHING * (latency_ms - self._service_ms)
        self._breaker.succeeded()
        self._guard.see_start_id(outcome.start_id, now_ms)
        self._guard.see_answer(latency_ms, now_ms)
        self._pace(latency_ms, now_ms)
        self.draining = self.draining or outcome.draining
        self._pool.give_back(held.connection_id, now_ms)
        reply = self._report(held, Fate.ANSWERED, Reason.NONE, now_ms)
        reply.reply.partials = outcome.partials
        return [reply]

    def _on_refused(
        self, held: Held, outcome: Refused, now_ms: float
    ) -> list[OwnerAction]:
        self._pool.give_back(held.connection_id, now_ms)
        self._breaker.undecided()
        if outcome.start_id is not None:
            self._guard.see_start_id(outcome.start_id, now_ms)
        if outcome.reason is Reason.SHED:
            self._guard.see_shed(now_ms)
        if outcome.reason is Reason.DRAINING:
            self.draining = True
        return [self._report(held, Fate.REFUSED, outcome.reason, now_ms)]

    def _on_lost(self, held: Held, outcome: Lost, now_ms: float) -> list[OwnerAction]:
        actions: list[OwnerAction] = [self._pool.close(held.connection_id)]
        self._breaker.failed(outcome.reason in CERTAIN_FAILURES, now_ms)
        if outcome.reason is Reason.CONNECTION_LOST:
            self._guard.turn_cold(now_ms)
            if not held.exchange.proven:
                actions.append(Strike(held.exchange.fingerprint, self.server.name))
        actions += self._pool.doubt(now_ms)
        actions.append(self._report(held, Fate.MAY_HAVE_RUN, outcome.reason, now_ms))
        return actions

    def _time_out(self, held: Held, now_ms: float) -> list[OwnerAction]:
        self._running.pop(held.connection_id, None)
        self._release(held)
        self._breaker.failed(False, now_ms)
        actions: list[OwnerAction] = [self._pool.close(held.connection_id)]
        actions += self._pool.doubt(now_ms)
        actions.append(self._report(held, Fate.MAY_HAVE_RUN, Reason.TIMEOUT, now_ms))
        return actions

    def _refuse_all(self, reason: Reason, now_ms: float) -> list[OwnerAction]:
        waiting, self._queue = self._queue, []
        return [self._not_sent(held, reason, now_ms) for held in waiting]

    def _not_sent(self, held: Held, reason: Reason, now_ms: float) -> Reply:
        return self._report(held, Fate.NOT_SENT, reason, now_ms)

    def _report(self, held: Held, fate: Fate, reason: Reason, now_ms: float) -> Reply:
        reply = ExchangeReply(
            exchange_id=held.origin.exchange_id,
            request_id=held.exchange.request_id,
            server=self.server.name,
            fate=fate,
            reason=reason,
            load=self.load(now_ms),
            waited_ms=(held.sent_ms or now_ms) - held.arrived_ms,
        )
        return Reply(held.origin, reply)


__all__ = ["ServerOwner"]
