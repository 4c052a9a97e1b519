"""A queue model of one service: leafs with slots, and daemons that each see little."""

from __future__ import annotations

import heapq
from collections import deque
from itertools import count
from random import Random
from types import SimpleNamespace

import attrs
from serving_world import make_leaf

from snipemount.decisions.leafs.leaf_choice import LeafChoice
from snipemount.decisions.leafs.leaf_directory import LeafDirectory
from snipemount.model.forwarding import LoadReport
from snipemount.serving.leaf_evidence import LeafEvidence

ZONES = ("zone-a", "zone-b", "zone-c")
WORK_MS = 100.0
WAY_MS = {True: 0.2, False: 1.0}  # one way, within a zone or not
TYPICAL_MS = WORK_MS + 2.0 * WAY_MS[True]
LATE_MS = 3.0 * TYPICAL_MS
MAX_QUEUE = 12
EVIDENCE_PERIOD_MS = 100.0
DAEMONS_PER_ZONE = 8


@attrs.define(eq=False)
class ModelLeaf:
    """FIFO queue and slots; `slowdown(now_ms, running)` scales the work."""

    name: str
    zone: str
    slots: int
    slowdown: object
    stated_percent: object
    paused_ms: float = 0.0
    running: int = 0
    queue: deque = attrs.field(factory=deque)
    largest_queue: int = 0

    def end_ms(self, start_ms: float, work_ms: float) -> float:
        """Return when work ends; the leaf pauses every 6 s, at a time of its own."""
        left_ms = (sum(self.name.encode()) * 977.0 - start_ms) % 6000.0
        pause = self.paused_ms if left_ms < work_ms else 0.0
        return start_ms + work_ms + pause


@attrs.define(eq=False)
class Leg:
    """One request of a daemon, with the leaf that has it now."""

    daemon: object
    sent_ms: float
    tried: set = attrs.field(factory=set)
    state: object = None
    number: int = 0
    attempt_ms: float = 0.0


class QueueModel:
    """Plays legs against leafs, with the present choice or the learnt capacity."""

    def __init__(
        self,
        learns: bool,
        leafs: list[ModelLeaf],
        seed: int,
        daemons_per_zone: int = DAEMONS_PER_ZONE,
    ) -> None:
        self.now_ms = 0.0
        self.daemons_per_zone = daemons_per_zone
        self.learns = learns
        self.leafs = {leaf.name: leaf for leaf in leafs}
        self.random = Random(seed)
        self._events: list = []
        self._order = count()
        self.legs: list[tuple[float, str, float]] = []  # sent, leaf, took
        self.other_zone = 0
        self.refused = 0
        self.daemons = [
            self._make_daemon(zone, number)
            for zone in ZONES
            for number in range(daemons_per_zone)
        ]
        self.after(EVIDENCE_PERIOD_MS, self._share_evidence)

    def _make_daemon(self, zone: str, number: int) -> SimpleNamespace:
        directory = LeafDirectory()
        for leaf in self.leafs.values():
            entry = make_leaf(leaf.name, "service", leaf.zone, slots=leaf.slots)
            directory.put(entry, 0.0)
        clock = SimpleNamespace(now_ms=lambda: self.now_ms)
        serving = SimpleNamespace(timers=clock, directory=directory)
        return SimpleNamespace(
            zone=zone,
            directory=directory,
            choice=LeafChoice(zone, Random(f"{zone}{number}")),
            evidence=LeafEvidence(serving),
        )

    def after(self, delay_ms: float, call, *arguments) -> None:
        """Schedule a call."""
        entry = (self.now_ms + delay_ms, next(self._order), call, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until_ms: float, legs_per_s) -> QueueModel:
        """Send legs at `legs_per_s(zone, now_ms)` until then."""
        for daemon in self.daemons:
            self._send_next(daemon, legs_per_s)
        while self._events and self._events[0][0] < until_ms:
            self.now_ms, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self

    def late_share(self, from_ms: float = 0.0, to_ms: float = 1e9) -> float:
        """Return the share of legs sent in a time that were late or failed."""
        took = [took for sent, _, took in self.legs if from_ms <= sent < to_ms]
        return sum(t > LATE_MS for t in took) / len(took)

    def share_of(self, leaf: str, from_ms: float, to_ms: float) -> float:
        """Return the share of legs sent in a time that a leaf answered."""
        names = [name for sent, name, _ in self.legs if from_ms <= sent < to_ms]
        return names.count(leaf) / len(names)

    @property
    def largest_queue(self) -> int:
        """The largest queue of any leaf."""
        return max(leaf.largest_queue for leaf in self.leafs.values())

    def _send_next(self, daemon, legs_per_s, send: bool = False) -> None:
        if send:
            self._send(Leg(daemon, self.now_ms))
        per_s = legs_per_s(daemon.zone, self.now_ms) / self.daemons_per_zone
        gap_ms = self.random.expovariate(per_s) * 1000.0
        self.after(gap_ms, self._send_next, daemon, legs_per_s, True)

    def _send(self, leg: Leg) -> None:
        daemon = leg.daemon
        states = daemon.directory.service_states("service")
        state = daemon.choice.pick(states, leg.tried, TYPICAL_MS, self.now_ms)
        if state is None:
            self.legs.append((leg.sent_ms, "", 1e9))
            return
        leg.tried.add(state.leaf.leaf_id)
        leg.state, leg.attempt_ms = state, self.now_ms
        leg.number = state.sent(self.now_ms)
        self.other_zone += state.leaf.zone != daemon.zone
        self.after(self._way_ms(leg), self._arrive, leg)

    def _way_ms(self, leg: Leg) -> float:
        return WAY_MS[leg.state.leaf.zone == leg.daemon.zone]

    def _arrive(self, leg: Leg) -> None:
        leaf = self.leafs[leg.state.leaf.leaf_id]
        if leaf.running < leaf.slots:
            self._begin(leaf, leg)
        elif len(leaf.queue) < MAX_QUEUE:
            leaf.queue.append(leg)
            leaf.largest_queue = max(leaf.largest_queue, len(leaf.queue))
        else:
            self.after(self._way_ms(leg), self._on_refused, leg, self._report(leaf))

    def _begin(self, leaf: ModelLeaf, leg: Leg) -> None:
        leaf.running += 1
        noise = self.random.uniform(0.7, 1.3)
        work_ms = WORK_MS * noise * leaf.slowdown(self.now_ms, leaf.running)
        end_ms = leaf.end_ms(self.now_ms, work_ms)
        self.after(end_ms - self.now_ms, self._end, leaf, leg)

    def _end(self, leaf: ModelLeaf, leg: Leg) -> None:
        self.after(self._way_ms(leg), self._on_answer, leg, self._report(leaf))
        leaf.running -= 1
        if leaf.queue:
            self._begin(leaf, leaf.queue.popleft())

    def _report(self, leaf: ModelLeaf) -> LoadReport:
        percent = leaf.stated_percent(self.now_ms) if self.learns else None
        work = None if percent is None else percent / 100.0
        return LoadReport(leaf.running, len(leaf.queue), leaf.slots, work)

    def _on_refused(self, leg: Leg, load: LoadReport) -> None:
        leg.state.load_reported(load, self.now_ms)
        leg.state.refused(leg.number, self.now_ms)
        self.refused += 1
        self._send(leg)

    def _on_answer(self, leg: Leg, load: LoadReport) -> None:
        leg.state.load_reported(load, self.now_ms)
        leg.state.answered(leg.number, TYPICAL_MS, self.now_ms)
        took_ms = self.now_ms - leg.sent_ms
        self.legs.append((leg.sent_ms, leg.state.leaf.leaf_id, took_ms))

    def _share_evidence(self) -> None:
        self.after(EVIDENCE_PERIOD_MS, self._share_evidence)
        for sender in self.daemons:
            evidence = sender.evidence.take_unreported()
            for daemon in self.daemons if evidence is not None else ():
                if daemon is not sender and daemon.zone == sender.zone:
                    daemon.evidence.add_reported(evidence)
