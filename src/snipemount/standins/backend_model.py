"""Behaviour of one backend server, shared by the HTTP and the virtual one."""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter, deque
from functools import lru_cache
from typing import TYPE_CHECKING

import attrs

from ..decisions.owner_messages import Answered, Lost, Refused, Stopped
from ..model.exchange import Hit, Partial, Reason

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer
    from ..timers import Timer, TimerService

SERVICE_SIGMA = 0.35
COLD_WINDOW_MS = 1000.0
HITS_PER_LEAF = 10


@attrs.define
class Behaviour:
    """How a backend server behaves; faults are set here.

    Parameters
    ----------
    service_ms : float
        Median time of one exchange when warm.
    straggler_rate : float
        Fraction of exchanges that straggle.
    straggler_factor : float
        How much longer a straggler takes.
    cold_factor : float
        How much longer an exchange takes just after a cold start.
    cold_answers : int
        Answers after which the server is warm.
    cold_ms : float
        Time after which it is warm at the latest.
    cold_starts_per_s : float
        Exchanges that a cold server bears in a second.
    restart_ms : float
        Time until a server that fell over is up again.
    poison : str
        A query that contains this text crashes the server; empty for none.
    failure_rate : float
        Fraction of exchanges that end in an error.
    slow_factor : float
        How much longer every exchange takes, as on a bad version.
    loaded_factor : float
        How much longer an exchange takes while another one runs.
    wrong_snapshot : bool
        Whether the server answers from another snapshot than asked.
    partial_rate : float
        Fraction of leaf answers that the leaf itself gives in part.
    """

    service_ms: float = 20.0
    straggler_rate: float = 0.0
    straggler_factor: float = 10.0
    cold_factor: float = 3.0
    cold_answers: int = 40
    cold_ms: float = 15_000.0
    cold_starts_per_s: float = 10.0
    restart_ms: float = 1000.0
    poison: str = ""
    failure_rate: float = 0.0
    slow_factor: float = 1.0
    loaded_factor: float = 1.0
    wrong_snapshot: bool = False
    partial_rate: float = 0.0


@attrs.define(eq=False)
class Running:
    """An exchange that the server is running."""

    exchange: Exchange
    done: Callable[[BackendOutcome], None]
    timer: Timer


@attrs.define
class Tally:
    """What the tests hold the system to.

    Parameters
    ----------
    started : int
        Exchanges started.
    slots_exceeded : int
        Exchanges shed because a leaf's slots were taken.
    connections_exceeded : int
        Connections refused at the limit.
    falls : int
        Times the server fell over under load while cold.
    crashes : int
        Times a request crashed the server.
    last_start_ms : float
        When the last exchange started.
    """

    started: int = 0
    slots_exceeded: int = 0
    connections_exceeded: int = 0
    falls: int = 0
    crashes: int = 0
    last_start_ms: float = -1.0


@lru_cache(maxsize=4096)
def leaf_hits(snapshot: str, shard: int, query: str, top_k: int) -> tuple[Hit, ...]:
    """Return the hits that a leaf gives; the same on every replica."""
    seed = hashlib.blake2b(f"{snapshot}|{shard}|{query}".encode(), digest_size=32)
    digest = seed.digest()
    count = min(top_k, HITS_PER_LEAF)
    hits = [
        Hit(f"{shard}-{position}", (digest[position] + shard / 1000.0) / 256.0)
        for position in range(count)
    ]
    return tuple(sorted(hits, key=lambda hit: (-hit.score, hit.document)))


class BackendModel:
    """One backend server with slots, cold starts, sheds, drain and crashes.

    Parameters
    ----------
    server : BackendServer
        Its description.
    timers : TimerService
        Time.
    random : Random
        Seeded generator of service times and faults.
    behaviour : Behaviour
        Speed and faults.
    snapshots : set of str
        Tokens of the snapshots that it can answer from.
    """

    def __init__(
        self,
        server: BackendServer,
        timers: TimerService,
        random: Random,
        behaviour: Behaviour,
        snapshots: set[str],
    ) -> None:
        self.server = server
        self.behaviour = behaviour
        self.snapshots = snapshots
        self.tally = Tally()
        self.ledger: Counter[str] = Counter()
        self.up = True
        self.draining = False
        self.connections = 0
        self._timers = timers
        self._random = random
        self._starts = 1
        self._answers_until_warm = 0
        self._cold_from_ms = 0.0
        self._recent_starts: deque[float] = deque()
        self._in_flight = dict.fromkeys(server.shards, 0)
        self._slots = {leaf.shard: leaf.slots for leaf in server.leafs}
        self._running: dict[int, Running] = {}
        self._next_run = 0
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def start_id(self) -> str:
        """Identity of this start of the server."""
        return f"{self.server.name}#{self._starts}"

    @property
    def cold(self) -> bool:
        """Whether the server is just after a cold start."""
        too_old = self._timers.now_ms() - self._cold_from_ms > self.behaviour.cold_ms
        return self._answers_until_warm > 0 and not too_old

    @property
    def in_flight(self) -> int:
        """Exchanges running."""
        return len(self._running)

    def connect(self) -> bool:
        """Accept a connection unless the limit is reached."""
        if not self.up:
            return False
        if self.connections >= self.server.connection_limit:
            self.tally.connections_exceeded += 1
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """Count a closed connection."""
        self.connections = max(0, self.connections - 1)

    def turn_cold(self) -> None:
        """Become cold without a word, as after a loss of caches."""
        self._answers_until_warm = self.behaviour.cold_answers
        self._cold_from_ms = self._timers.now_ms()
        self._recent_starts.clear()

    def restart(self) -> None:
        """Come up again, cold, under a new start id."""
        self._starts += 1
        self.up = True
        self.turn_cold()

    def hold_shards(self, shards: tuple[int, ...], slots: int) -> None:
        """Hold these shards from now on, as after a repartition."""
        for shard in shards:
            self._slots.setdefault(shard, slots)
            self._in_flight.setdefault(shard, 0)

    def crash(self) -> None:
        """Go down; all that runs is lost."""
        self.up = False
        running, self._running = self._running, {}
        self._in_flight = dict.fromkeys(self._in_flight, 0)
        self.connections = 0
        self.on_crash()
        for item in running.values():
            item.timer.cancel()
            item.done(Lost(Reason.CONNECTION_LOST))
        if self.behaviour.restart_ms < math.inf:
            self._timers.call_later(self.behaviour.restart_ms, self.restart)

    def run(
        self,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> int:
        """Run an exchange; `done` gets its outcome. Returns a run number."""
        self._next_run += 1
        if not self.up:
            done(Lost(Reason.CONNECTION_LOST))
            return self._next_run
        reason = self._reason_to_refuse(exchange)
        if reason is not Reason.NONE:
            done(Refused(reason, self.start_id))
            return self._next_run
        if self._falls_over():
            self.tally.falls += 1
            self.crash()
            done(Lost(Reason.CONNECTION_LOST))
            return self._next_run
        self._start(self._next_run, exchange, budget_ms, done)
        return self._next_run

    def cancel(self, request_id: str, exchange_id: int) -> None:
        """Stop a running exchange."""
        for number, item in list(self._running.items()):
            same_request = item.exchange.request_id == request_id
            if same_request and item.exchange.exchange_id == exchange_id:
                item.timer.cancel()
                self._release(number)
                item.done(Stopped())

    def _reason_to_refuse(self, exchange: Exchange) -> Reason:
        if self.draining:
            return Reason.DRAINING
        if exchange.snapshot not in self.snapshots:
            return Reason.SNAPSHOT_GONE
        if any(self._in_flight[s] >= self._slots[s] for s in exchange.shards):
            self.tally.slots_exceeded += 1
            return Reason.SHED
        return Reason.NONE

    def _falls_over(self) -> bool:
        now_ms = self._timers.now_ms()
        self._recent_starts.append(now_ms)
        while self._recent_starts[0] < now_ms - COLD_WINDOW_MS:
            self._recent_starts.popleft()
        most = self.behaviour.cold_starts_per_s * COLD_WINDOW_MS / 1000.0
        return self.cold and len(self._recent_starts) > most

    def _start(
        self,
        number: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        self.tally.started += 1
        self.tally.last_start_ms = self._timers.now_ms()
        for shard in exchange.shards:
            self._in_flight[shard] += 1
            self.ledger[f"{exchange.request_id}/{shard}"] += 1
        duration_ms = min(self._duration_ms(), budget_ms)
        timer = self._timers.call_later(duration_ms, lambda: self._end(number))
        self._running[number] = Running(exchange, done, timer)

    def _duration_ms(self) -> float:
        behaviour = self.behaviour
        spread = math.exp(self._random.gauss(0.0, SERVICE_SIGMA))
        duration_ms = behaviour.service_ms * spread * behaviour.slow_factor
        if self._random.random() < behaviour.straggler_rate:
            duration_ms *= behaviour.straggler_factor
        if self._running:
            duration_ms *= behaviour.loaded_factor
        if self.cold:
            duration_ms *= behaviour.cold_factor
        return duration_ms

    def _release(self, number: int) -> Running:
        item = self._running.pop(number)
        for shard in item.exchange.shards:
            self._in_flight[shard] -= 1
        return item

    def _end(self, number: int) -> None:
        poison = self.behaviour.poison
        if poison and poison in self._running[number].exchange.query:
            self.tally.crashes += 1
            self.crash()
            return
        item = self._release(number)
        self._answers_until_warm = max(0, self._answers_until_warm - 1)
        if self._random.random() < self.behaviour.failure_rate:
            item.done(Lost(Reason.BACKEND_ERROR))
            return
        item.done(Answered(self._partials(item.exchange), self.start_id, self.draining))

    def _partials(self, exchange: Exchange) -> tuple[Partial, ...]:
        snapshot = exchange.snapshot
        if self.behaviour.wrong_snapshot:
            snapshot += "-other"
        return tuple(
            Partial(
                shard,
                snapshot,
                leaf_hits(exchange.snapshot, shard, exchange.query, exchange.top_k),
                complete=self._random.random() >= self.behaviour.partial_rate,
            )
            for shard in exchange.shards
        )


def canonical_query(query: object) -> str:
    """Return a query as the JSON text that legs carry."""
    return json.dumps(query, sort_keys=True, separators=(",", ":"), allow_nan=False)


__all__ = ["BackendModel", "Behaviour", "Tally", "canonical_query", "leaf_hits"]
