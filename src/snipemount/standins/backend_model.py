"""Model of one backend server, used over HTTP and in virtual time."""

from __future__ import annotations

import hashlib
import json
import math
from collections import Counter, deque
from functools import lru_cache
from typing import TYPE_CHECKING

import attrs

from ..decisions.servers.owner_messages import Answered, Lost, Refused, Stopped
from ..model.exchange import Hit, Partial, Reason

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from ..decisions.servers.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer
    from ..timers import Timer, TimerService

SERVICE_TIME_SIGMA = 0.35
COLD_LOAD_WINDOW_MS = 1000.0
MAX_HITS_PER_LEAF = 10


@attrs.define
class Behaviour:
    """Speed and faults of a backend server; may be changed while it runs.

    Parameters
    ----------
    service_ms : float
        Median duration of one exchange on a warm, idle server.
    straggler_rate : float
        Fraction of exchanges that are stragglers: slowed down by
        `straggler_factor`.
    straggler_factor : float
        Factor on the duration of a straggler.
    cold_factor : float
        Factor on the duration of an exchange while the server is cold.
    exchanges_until_warm : int
        Number of completed exchanges after which a cold server is warm.
    cold_ms : float
        Time after a cold start at which the server is warm in any case.
    max_cold_exchanges_per_s : float
        Rate of exchanges above which a cold server crashes.
    restart_ms : float
        Time from a crash to the restart; infinite for no restart.
    poison : str
        A query that contains this text crashes the server; empty to disable.
    failure_rate : float
        Fraction of exchanges that end in `Reason.BACKEND_ERROR`.
    slow_factor : float
        Factor on the duration of every exchange, as on a bad version.
    loaded_factor : float
        Factor on the duration of an exchange that starts while another one
        runs.
    wrong_snapshot : bool
        Whether the server answers from another snapshot than requested.
    partial_rate : float
        Fraction of leaf answers that the leaf marks as incomplete.
    """

    service_ms: float = 20.0
    straggler_rate: float = 0.0
    straggler_factor: float = 10.0
    cold_factor: float = 3.0
    exchanges_until_warm: int = 40
    cold_ms: float = 15_000.0
    max_cold_exchanges_per_s: float = 10.0
    restart_ms: float = 1000.0
    poison: str = ""
    failure_rate: float = 0.0
    slow_factor: float = 1.0
    loaded_factor: float = 1.0
    wrong_snapshot: bool = False
    partial_rate: float = 0.0


@attrs.define(eq=False)
class RunningExchange:
    """An exchange in progress on the server."""

    exchange: Exchange
    done: Callable[[BackendOutcome], None]
    timer: Timer


@attrs.define
class BackendStats:
    """Counters of a backend server that tests compare with its limits.

    Parameters
    ----------
    started : int
        Exchanges started.
    slots_exceeded : int
        Exchanges shed because all slots of a leaf were in use.
    connections_exceeded : int
        Connections refused because the connection limit was reached.
    overload_crashes : int
        Crashes by overload while the server was cold.
    poison_crashes : int
        Crashes by a query that contains `Behaviour.poison`.
    last_start_ms : float
        Time at which the last exchange started; negative before the first.
    """

    started: int = 0
    slots_exceeded: int = 0
    connections_exceeded: int = 0
    overload_crashes: int = 0
    poison_crashes: int = 0
    last_start_ms: float = -1.0


@lru_cache(maxsize=4096)
def leaf_hits(snapshot: str, shard: int, query: str, top_k: int) -> tuple[Hit, ...]:
    """Return the hits of a leaf; every replica of a shard has the same."""
    seed = hashlib.blake2b(f"{snapshot}|{shard}|{query}".encode(), digest_size=32)
    digest = seed.digest()
    count = min(top_k, MAX_HITS_PER_LEAF)
    hits = [
        Hit(f"{shard}-{position}", (digest[position] + shard / 1000.0) / 256.0)
        for position in range(count)
    ]
    return tuple(sorted(hits, key=lambda hit: (-hit.score, hit.document)))


class BackendModel:
    """A backend server with slots, cold starts, load shedding, drain and crashes.

    Parameters
    ----------
    server : BackendServer
        Name, zone, leafs and connection limit of the server.
    timers : TimerService
        Clock and timers, real or virtual.
    random : Random
        Seeded generator that decides durations and random faults.
    behaviour : Behaviour
        Durations and faults of the server.
    snapshots : set of str
        Tokens of the snapshots that the server holds.
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
        self.stats = BackendStats()
        # Number of times that each leg was started, by "<request_id>/<shard>".
        self.starts_by_leg: Counter[str] = Counter()
        self.up = True
        self.draining = False
        self.connections = 0
        self._timers = timers
        self._random = random
        self._start_count = 1
        self._exchanges_until_warm = 0
        self._cold_since_ms = 0.0
        self._recent_starts: deque[float] = deque()
        # Exchanges in progress at each leaf, by shard.
        self._in_flight = dict.fromkeys(server.shards, 0)
        self._slots = {leaf.shard: leaf.slots for leaf in server.leafs}
        self._running: dict[int, RunningExchange] = {}
        self._last_run = 0
        self.on_crash: Callable[[], None] = lambda: None

    @property
    def start_id(self) -> str:
        """Identifier of the server process; changes with each restart."""
        return f"{self.server.name}#{self._start_count}"

    @property
    def cold(self) -> bool:
        """Whether the server is still warming up after a cold start."""
        expired = self._timers.now_ms() - self._cold_since_ms > self.behaviour.cold_ms
        return self._exchanges_until_warm > 0 and not expired

    @property
    def in_flight(self) -> int:
        """Number of exchanges in progress."""
        return len(self._running)

    def connect(self) -> bool:
        """Accept a connection; return False when down or at the limit."""
        if not self.up:
            return False
        if self.connections >= self.server.connection_limit:
            self.stats.connections_exceeded += 1
            return False
        self.connections += 1
        return True

    def disconnect(self) -> None:
        """Count a closed connection."""
        self.connections = max(0, self.connections - 1)

    def make_cold(self) -> None:
        """Become cold without a restart, as after a loss of caches."""
        self._exchanges_until_warm = self.behaviour.exchanges_until_warm
        self._cold_since_ms = self._timers.now_ms()
        self._recent_starts.clear()

    def restart(self) -> None:
        """Start again, cold and with a new start id."""
        self._start_count += 1
        self.up = True
        self.make_cold()

    def add_shards(self, shards: tuple[int, ...], slots: int) -> None:
        """Add leafs for these shards, as after a repartition."""
        for shard in shards:
            self._slots.setdefault(shard, slots)
            self._in_flight.setdefault(shard, 0)

    def crash(self) -> None:
        """Stop at once, lose the exchanges in progress and schedule a restart."""
        self.up = False
        lost, self._running = self._running, {}
        self._in_flight = dict.fromkeys(self._in_flight, 0)
        self.connections = 0
        self.on_crash()
        for item in lost.values():
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
        """Run an exchange and call `done` with its outcome; return a run number.

        Parameters
        ----------
        exchange : Exchange
            Names the shards, the query and the snapshot.
        budget_ms : float
            Upper bound on the duration; the exchange is answered at its end.
        done : Callable
            Called once, before `run` returns when the exchange isn't started.
        """
        self._last_run += 1
        if not self.up:
            done(Lost(Reason.CONNECTION_LOST))
            return self._last_run
        reason = self._refusal_reason(exchange)
        if reason is not Reason.NONE:
            done(Refused(reason, self.start_id))
            return self._last_run
        if self._overloaded_while_cold():
            self.stats.overload_crashes += 1
            self.crash()
            done(Lost(Reason.CONNECTION_LOST))
            return self._last_run
        self._start(self._last_run, exchange, budget_ms, done)
        return self._last_run

    def cancel(self, request_id: str, exchange_id: int) -> None:
        """Stop an exchange in progress; do nothing when there is none."""
        for number, item in list(self._running.items()):
            same_request = item.exchange.request_id == request_id
            if same_request and item.exchange.exchange_id == exchange_id:
                item.timer.cancel()
                self._release(number)
                item.done(Stopped())

    def _refusal_reason(self, exchange: Exchange) -> Reason:
        if self.draining:
            return Reason.DRAINING
        if exchange.snapshot not in self.snapshots:
            return Reason.SNAPSHOT_GONE
        if any(self._in_flight[s] >= self._slots[s] for s in exchange.shards):
            self.stats.slots_exceeded += 1
            return Reason.SHED
        return Reason.NONE

    def _overloaded_while_cold(self) -> bool:
        now_ms = self._timers.now_ms()
        self._recent_starts.append(now_ms)
        while self._recent_starts[0] < now_ms - COLD_LOAD_WINDOW_MS:
            self._recent_starts.popleft()
        limit = self.behaviour.max_cold_exchanges_per_s * COLD_LOAD_WINDOW_MS / 1000.0
        return self.cold and len(self._recent_starts) > limit

    def _start(
        self,
        number: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        self.stats.started += 1
        self.stats.last_start_ms = self._timers.now_ms()
        for shard in exchange.shards:
            self._in_flight[shard] += 1
            self.starts_by_leg[f"{exchange.request_id}/{shard}"] += 1
        duration_ms = min(self._duration_ms(), budget_ms)
        timer = self._timers.call_later(duration_ms, lambda: self._end(number))
        self._running[number] = RunningExchange(exchange, done, timer)

    def _duration_ms(self) -> float:
        behaviour = self.behaviour
        variation = math.exp(self._random.gauss(0.0, SERVICE_TIME_SIGMA))
        duration_ms = behaviour.service_ms * variation * behaviour.slow_factor
        if self._random.random() < behaviour.straggler_rate:
            duration_ms *= behaviour.straggler_factor
        if self._running:
            duration_ms *= behaviour.loaded_factor
        if self.cold:
            duration_ms *= behaviour.cold_factor
        return duration_ms

    def _release(self, number: int) -> RunningExchange:
        item = self._running.pop(number)
        for shard in item.exchange.shards:
            self._in_flight[shard] -= 1
        return item

    def _end(self, number: int) -> None:
        poison = self.behaviour.poison
        if poison and poison in self._running[number].exchange.query:
            self.stats.poison_crashes += 1
            self.crash()
            return
        item = self._release(number)
        self._exchanges_until_warm = max(0, self._exchanges_until_warm - 1)
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
    """Return a query as the JSON text that exchanges carry."""
    return json.dumps(query, sort_keys=True, separators=(",", ":"), allow_nan=False)


__all__ = ["BackendModel", "BackendStats", "Behaviour", "canonical_query", "leaf_hits"]
