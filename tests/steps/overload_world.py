"""Leafs of one service, daemons with an admission each, and callers of three ranks."""

from __future__ import annotations

import math
from collections import Counter, deque
from random import Random

import attrs

from snipemount.model.forwarding import LoadReport
from snipemount.overload.admission import Admission
from snipemount.overload.request import AdmissionRequest, Admitted, Queued
from snipemount.timers import VirtualTimers

SERVICE = "ledger"
WORK_MS = 40.0
SLOTS = 2
QUEUE = 12
LEAFS = 9  # together they serve 450 requests a second
DEADLINES_MS = (1224.0, 3020.0, 15_051.0)  # by rank
LEAF_RETRY_AFTER_MS = 50.0  # what callers are told without the part
TICK_MS = 50.0
LOAD_DECAY_MS = 120.0  # as in the choice of leafs
IN_TIME, LATE, REFUSED, LOST = "in_time", "late", "refused", "lost"


class Leaf:
    """A leaf with slots, a bounded queue and random service times."""

    def __init__(self, world: OverloadWorld, name: str) -> None:
        self._world = world
        self.name = name
        self.down = False
        self.slowness = 1.0
        self._running = 0
        self._queue: deque = deque()

    def send(self, done) -> bool:
        """Take a request unless the queue is full."""
        if self.down or len(self._queue) >= QUEUE:
            return False
        self._queue.append(done)
        self._run_next()
        return True

    def _run_next(self) -> None:
        if self._queue and self._running < SLOTS:
            self._running += 1
            world = self._world
            work_ms = world.random.expovariate(1.0 / (WORK_MS * self.slowness))
            done = self._queue.popleft()
            world.timers.call_later(work_ms, lambda: self._end(done))

    def _end(self, done) -> None:
        load = LoadReport(self._running, len(self._queue), SLOTS)
        self._running -= 1
        done(load)
        self._run_next()


@attrs.define(eq=False)
class Caller:
    """One caller's request, and its single retry."""

    rank: int
    organisation: str
    arrived_ms: float
    attempts: int = 0
    result: str = LOST

    @property
    def deadline_at_ms(self) -> float:
        """Time after which an answer is late."""
        return self.arrived_ms + DEADLINES_MS[self.rank]


class Daemon:
    """Sends to the less loaded of two random leafs, as last reported."""

    def __init__(self, world: OverloadWorld, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.cut_off = False
        self._loads: dict[str, tuple[float, float]] = {}
        self._restart()

    def _restart(self) -> None:
        self.admission = Admission(self.random, self.world.leaf_count)
        self._waiting: dict[int, Caller] = {}

    def restart(self) -> None:
        """Lose all state; what waited is refused to its callers."""
        waiting = self._waiting
        self._restart()
        for caller in waiting.values():
            self.world.refused(caller, LEAF_RETRY_AFTER_MS)

    def submit(self, caller: Caller) -> None:
        """Decide on a request."""
        now_ms = self.world.timers.now_ms()
        if not self.world.is_on:
            self._start(caller)
            return
        match self.admission.decide(self._asked(caller), now_ms):
            case Admitted():
                self._start(caller)
            case Queued(ticket):
                self.world.held += 1
                self._waiting[ticket] = caller
            case refused:
                self.world.held += 1
                self.world.refused(caller, refused.retry_after_ms)

    def _asked(self, caller: Caller) -> AdmissionRequest:
        return AdmissionRequest(
            (SERVICE,),
            1.0,
            caller.rank,
            caller.organisation,
            WORK_MS,
            caller.deadline_at_ms,
        )

    def tick(self) -> None:
        """Start or refuse what waited."""
        for ticket, decision in self.admission.release(self.world.timers.now_ms()):
            caller = self._waiting.pop(ticket)
            if decision == Admitted():
                self._start(caller)
            else:
                self.world.refused(caller, decision.retry_after_ms)

    def _start(self, caller: Caller) -> None:
        up = [leaf for leaf in self.world.leafs if not leaf.down]
        if self.cut_off:
            up = up[: len(up) // 2]
        leafs = self.random.sample(up, 2)
        leafs.sort(key=self._load)
        for leaf in leafs:
            if leaf.send(lambda load, leaf=leaf: self._answered(caller, leaf, load)):
                return
            now_ms = self.world.timers.now_ms()
            self._loads[leaf.name] = QUEUE, now_ms
            self.admission.note_refusal(SERVICE, leaf.name, now_ms)
        retry_after_ms = LEAF_RETRY_AFTER_MS
        if self.world.is_on:
            now_ms = self.world.timers.now_ms()
            retry_after_ms = self.admission.retry_after_ms(self._asked(caller), now_ms)
        self.world.refused(caller, retry_after_ms)

    def _load(self, leaf: Leaf) -> float:
        waiting, at_ms = self._loads.get(leaf.name, (0.0, 0.0))
        age_ms = self.world.timers.now_ms() - at_ms
        return waiting * math.exp(-age_ms / LOAD_DECAY_MS)

    def _answered(self, caller: Caller, leaf: Leaf, load: LoadReport) -> None:
        now_ms = self.world.timers.now_ms()
        self._loads[leaf.name] = load.waiting, now_ms
        self.admission.note_report(SERVICE, leaf.name, load, now_ms)
        caller.result = IN_TIME if now_ms <= caller.deadline_at_ms else LATE


class OverloadWorld:
    """One run with the part off or on, under the same load."""

    def __init__(self, is_on: bool, daemons: int = 86) -> None:
        self.is_on = is_on
        self.timers = VirtualTimers()
        self.random = Random(5)
        self.leafs = [Leaf(self, f"leaf{number}") for number in range(LEAFS)]
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self.callers: list[Caller] = []
        self.honours_retry_after = True
        self.max_waiting = 0
        self.held = 0  # requests that the part queued or refused at once
        self.timers.call_every(TICK_MS, self._tick)

    def leaf_count(self, service: str) -> int:
        """Return the number of leafs that are up."""
        return sum(not leaf.down for leaf in self.leafs)

    def load(self, rank, per_s, from_s, to_s, organisation="") -> None:
        """Let callers of a rank arrive at random during a span."""
        arrivals = Random(f"{rank} {organisation} {from_s}")
        at_s = from_s
        while (at_s := at_s + arrivals.expovariate(per_s)) < to_s:
            arrived = Caller(rank, organisation, at_s * 1000.0)
            self.callers.append(arrived)
            self.timers.call_later(
                arrived.arrived_ms, lambda caller=arrived: self._send(caller)
            )

    def refused(self, caller: Caller, retry_after_ms: float) -> None:
        """Repeat a refused request once, within a third of the time left."""
        caller.result = REFUSED
        left_ms = caller.deadline_at_ms - self.timers.now_ms()
        if caller.attempts > 1 or left_ms <= 0.0:
            return
        if not self.honours_retry_after:
            retry_after_ms = 1.0
        delay_ms = min(retry_after_ms, left_ms / 3.0)
        self.timers.call_later(delay_ms, lambda: self._send(caller))

    def _send(self, caller: Caller) -> None:
        caller.attempts += 1
        self.random.choice(self.daemons).submit(caller)

    def _tick(self) -> None:
        for daemon in self.daemons:
            daemon.tick()
        waiting = max(daemon.admission.waiting_count for daemon in self.daemons)
        self.max_waiting = max(self.max_waiting, waiting)

    def results(self, rank=None, organisation=None) -> dict[str, float]:
        """Return the share of each result, of one rank or organisation."""
        chosen = [
            caller.result
            for caller in self.callers
            if rank in (None, caller.rank)
            and organisation in (None, caller.organisation)
        ]
        counts = Counter(chosen)
        return {
            result: counts[result] / len(chosen)
            for result in (IN_TIME, LATE, REFUSED, LOST)
        }


__all__ = ["IN_TIME", "LATE", "REFUSED", "OverloadWorld"]
