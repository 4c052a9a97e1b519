"""Leafs that a request crashes, in virtual time."""

from __future__ import annotations

import attrs
from serving_world import (
    HOST,
    ROUTES,
    SHARDS,
    ServingSample,
    ServingWorld,
    make_configuration,
    make_leaf,
    make_route,
)

from snipemount.model.configuration import ToAllShards
from snipemount.model.forwarding import (
    ForwardRequest,
    NoValidResponse,
    NoValidResponseReason,
    RequestRefused,
)
from snipemount.ports.leaf import AttemptReport
from snipemount.standins.scripted_leafs import ScriptedLeafs

POISON = b"poison"
DOWN_MS = 3000.0
LAPSE_MS = 3600.0  # three heartbeats
CLOSED = AttemptReport(NoValidResponse(NoValidResponseReason.CONNECTION_CLOSED))


class CrashingLeafs(ScriptedLeafs):
    """Scripted leafs, each of which crashes when it begins to run the poison.

    `crashed` has the time and id of each crash; `poison_arrivals` of each attempt.
    """

    def __init__(self, timers) -> None:
        super().__init__(timers)
        self.crashed: list[tuple[float, str]] = []
        self.poison_arrivals: list[tuple[float, str, str]] = []
        self.poisoned_services: frozenset[str] | None = None
        self.harmless_versions: frozenset[str] = frozenset()
        self.crash_after_ms = 1.0
        self.on_crash = lambda leaf: None
        self._running: dict[str, dict[object, object]] = {}

    def send(self, leaf, request, time_left_ms, done):
        """Send an attempt; the poison ends its leaf soon."""
        handle = super().send(leaf, request, time_left_ms, done)
        if request.body != POISON or self.scripts[leaf.leaf_id].refuses_connections:
            return handle
        now_ms = self._timers.now_ms()
        self.poison_arrivals.append((now_ms, leaf.leaf_id, request.request_id))
        services = self.poisoned_services
        if leaf.version in self.harmless_versions or (
            services is not None and leaf.service not in services
        ):
            return handle
        self._timers.call_later(self.crash_after_ms, lambda: self.crash(leaf))
        return handle

    def _report_later(self, delay_ms, leaf, done, report):
        running = self._running.setdefault(leaf.leaf_id, {})
        key = object()

        def end(report) -> None:
            running.pop(key, None)
            done(report)

        handle = super()._report_later(delay_ms, leaf, end, report)
        running[key] = handle, done
        return handle

    def crash(self, leaf) -> None:
        """End a leaf: its connections end without answers, and nobody listens."""
        script = self.scripts[leaf.leaf_id]
        if script.refuses_connections:
            return
        script.refuses_connections = True
        self.crashed.append((self._timers.now_ms(), leaf.leaf_id))
        self.reset(leaf)
        self.on_crash(leaf)

    def reset(self, leaf) -> None:
        """End all connections to a leaf without answers."""
        running = self._running.pop(leaf.leaf_id, {})
        for handle, done in list(running.values()):
            handle.cancel()
            self._timers.call_later(0.5, lambda done=done: done(CLOSED))


@attrs.define
class PostSample(ServingSample):
    """A request with a body."""

    body: bytes = b""


class CrashWorld(ServingWorld):
    """A gateway over leafs that crash, and start again with other ids."""

    def __init__(self) -> None:
        super().__init__()
        self.leafs = CrashingLeafs(self.timers)
        self.serving_context.leafs = self.leafs
        self.leafs.on_crash = self._restart
        self.starts = 0
        self.version = "v1"

    def start(self) -> None:
        """Start with seven leafs of the ledger."""
        super().start()
        scan = make_route("scan", ToAllShards(SHARDS, 5, 0.25))
        self.gateway.put_in_force(make_configuration(2, (*ROUTES, scan)))
        for number in range(4, 7):
            self.directory.put(make_leaf(f"ledger-{number}", "ledger"), 0.0)
        for number in range(7):
            self.leafs.scripts[f"ledger-{number}"].work_ms = 160.0

    def _restart(self, leaf) -> None:
        self.starts += 1
        started = make_leaf(
            f"{leaf.leaf_id.partition('+')[0]}+{self.starts}",
            leaf.service,
            leaf.zone,
            version=self.version,
            started_wall_ms=self.timers.now_ms() + DOWN_MS,
        )
        script = self.leafs.scripts[leaf.leaf_id]
        fresh = attrs.evolve(script, refuses_connections=False)

        def begin() -> None:
            self.leafs.scripts[started.leaf_id] = fresh
            self.directory.put(started, self.timers.now_ms())

        def lapse() -> None:
            self.directory.remove(leaf.leaf_id, self.timers.now_ms())

        self.timers.call_later(DOWN_MS, begin)
        self.timers.call_later(LAPSE_MS, lapse)

    def post(self, route: str, body: bytes) -> PostSample:
        """Submit a request with a body; its path is always the same."""
        sample = PostSample(f"r{len(self.samples)}", self.timers.now_ms(), body=body)
        self.samples.append(sample)
        request = ForwardRequest(
            sample.request_id, "POST", f"/{route}/a", HOST, (), body, 6000.0
        )

        def done(outcome) -> None:
            sample.outcome = outcome
            sample.elapsed_ms = self.timers.now_ms() - sample.started_ms

        sample.run = self.gateway.submit(request, done)
        return sample

    def post_poison(self, route: str, times: int, period_s: float) -> None:
        """Post the poison again and again, and look at the log and outcomes later."""
        for _ in range(times):
            self.post(route, POISON)
            self.run_for(period_s * 1000.0)

    def posted(self, poison: bool) -> list[PostSample]:
        """Return the samples of the poison, or the others."""
        return [s for s in self.samples if (s.body == POISON) == poison]

    def late_retries(self, contact_ms: float) -> set[str]:
        """Return the requests that reached leafs so long after the third crash."""
        if len(self.leafs.crashed) < 3:
            return set()
        after_ms = self.leafs.crashed[2][0] + contact_ms
        arrivals = self.leafs.poison_arrivals
        return {request for at_ms, _, request in arrivals if at_ms > after_ms}

    def keep_posting(self, route: str, body_of, period_ms: float) -> None:
        """Post requests of others from now on; `body_of` gets their number."""
        count = iter(range(10**9))

        def tick() -> None:
            self.post(route, body_of(next(count)))

        self.timers.call_every(period_ms, tick)


def is_refused(sample, reason: str) -> bool:
    """Return whether a request was refused for this reason."""
    outcome = sample.outcome
    return isinstance(outcome, RequestRefused) and outcome.reason.value == reason


__all__ = ["POISON", "SHARDS", "CrashWorld", "is_refused"]
