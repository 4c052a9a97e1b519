"""Daemons of several zones that count and report usage, in virtual time."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random

import structlog

from snipemount.adapters.usage_codec import decode_usage, encode_usage
from snipemount.entry_usage import EntryUsage
from snipemount.experiments.fake_platform import FakePlatform, PlatformFaults
from snipemount.platform.node_file import DutySettings
from snipemount.ports.relay import RelayPort
from snipemount.ports.usage import (
    ReportAccepted,
    ReportRejected,
    ReportUnanswered,
    UsageCall,
    UsagePort,
)
from snipemount.standins.object_store import ObjectStore
from snipemount.timers import Timer, TimerService, VirtualTimers

WINDOW_MS = 5000.0
DUE_MS = 10_000.0
CALLS_PER_S = 2.0
ORGANISATIONS = ("org-a", "tuma4", "quo8")
REQUEST_PERIOD_MS = 40.0
RUN_MS = 30.0  # of a request
ONE_WAY_MS = 1.0


class DaemonTimers(TimerService):
    """Timers of one process: they end with it, and its time of day may be stepped."""

    def __init__(self, shared: VirtualTimers) -> None:
        self._shared = shared
        self.wall_step_ms = 0.0
        self.is_running = True

    def now_ms(self) -> float:
        """Return the shared monotonic time."""
        return self._shared.now_ms()

    def boot_ms(self) -> float:
        """Return the shared boot time."""
        return self._shared.boot_ms()

    def wall_ms(self) -> float:
        """Return this process's time of day."""
        return self._shared.wall_ms() + self.wall_step_ms

    def call_later(self, delay_ms, callback) -> Timer:
        """Call back, unless the process has ended meanwhile."""
        return self._shared.call_later(
            delay_ms, lambda: callback() if self.is_running else None
        )


class ReportService(UsagePort):
    """Takes reports as the platform does, with faults."""

    def __init__(self, world: UsageWorld) -> None:
        self._world = world
        self.calls: list[tuple[float, str]] = []
        self.taken: dict[int, list[dict[str, int]]] = defaultdict(list)
        self.fences: list[int] = []
        self.lose_responses = 0
        self.status = 200
        self.unreachable_from: set[str] = set()
        self.is_mute = False
        self.last_call = LocalCall()

    def send(self, holder, fence, window, counts, timeout_ms, done) -> UsageCall:
        """Take a report, or fail as the faults say."""
        timers = self._world.timers
        lease = next(d.lease for d in self._world.daemons if d.name == holder)
        assert lease.fence == fence, "the lease is not held"
        assert lease.remaining_ms() > timeout_ms, lease.remaining_ms()
        call = self.last_call = LocalCall()
        self.calls.append((timers.now_ms(), holder))

        def end(result) -> None:
            if not call.cancelled:
                done(result)

        if holder in self.unreachable_from or self.is_mute:
            timers.call_later(timeout_ms, lambda: end(ReportUnanswered("timeout")))
            return call
        if self.status != 200:
            rejected = ReportRejected(self.status)
            timers.call_later(2 * ONE_WAY_MS, lambda: end(rejected))
            return call
        self.taken[window].append(dict(counts))
        self.fences.append(fence)
        late_ms = timers.now_ms() - (window + 1) * WINDOW_MS
        assert late_ms <= DUE_MS, f"window {window} was sent {late_ms} ms after its end"
        if self.lose_responses > 0:
            self.lose_responses -= 1
            timers.call_later(timeout_ms, lambda: end(ReportUnanswered("timeout")))
        else:
            timers.call_later(2 * ONE_WAY_MS, lambda: end(ReportAccepted()))
        return call


class LocalCall(UsageCall):
    """A pending call."""

    cancelled = False

    def cancel(self) -> None:
        """Abort the call."""
        self.cancelled = True


class LocalReports(RelayPort):
    """Sends counts from a follower to the collector of its zone."""

    def __init__(self, world: UsageWorld, daemon: UsageDaemon) -> None:
        self._world = world
        self._daemon = daemon

    def follow(self, daemon, on_message, on_end) -> None:
        """Not used."""

    def unfollow(self) -> None:
        """Not used."""

    def publish(self, message) -> None:
        """Not used."""

    def report(self, message) -> None:
        """Send a message to the daemon that is followed, as on the wire."""
        followed = self._daemon.followed
        frame = encode_usage(message)

        def arrive() -> None:
            if followed.timers.is_running:
                followed.on_usage(decode_usage(frame))

        self._world.timers.call_later(ONE_WAY_MS, arrive)


class UsageDaemon:
    """One process, whose callers send requests of several organisations."""

    def __init__(self, world: UsageWorld, name: str, zone: str, number: int) -> None:
        self.world = world
        self.name = name
        self.zone = zone
        self.random = Random(number)
        self.timers = DaemonTimers(world.timers)
        self.followed: UsageDaemon | None = None
        self.followed_since_ms: float | None = None
        self.lines: list[dict] = []
        self.is_stopping = False
        logger = structlog.wrap_logger(None, processors=[self._capture])
        self.platform = FakePlatform(world.store, self.timers, world.faults)
        self.usage = EntryUsage(
            name,
            DutySettings(calls_per_s=CALLS_PER_S),
            world.service,
            self.timers,
            self.platform,
            LocalReports(world, self),
            self,
            self.random,
            logger,
        )
        self.lease = self.usage.lease

    @property
    def follows_store(self) -> bool:
        """Whether no other daemon is followed."""
        return self.followed is None

    @property
    def registered_names(self) -> frozenset[str]:
        """Names of all daemons that were started and not stopped as planned."""
        return self.world.registered

    def _capture(self, logger, method, event):
        self.lines.append(event)
        raise structlog.DropEvent

    def start(self) -> None:
        """Start to count, collect and stand for the duty."""
        self.usage.start()
        self.timers.call_later(
            self.random.uniform(0.0, REQUEST_PERIOD_MS), self._send_requests
        )

    def _send_requests(self) -> None:
        self.timers.call_later(REQUEST_PERIOD_MS, self._send_requests)
        if self.is_stopping:
            return
        organisation = self.random.choice(ORGANISATIONS)
        began_ms = self.timers.now_ms()
        number = self.usage.requests.opened(organisation, lambda: began_ms)

        def end() -> None:
            self.usage.requests.ended(number, began_ms)
            window = int(began_ms // WINDOW_MS)
            self.world.truth[window][organisation] += 1

        self.timers.call_later(RUN_MS, end)

    def stop(self) -> None:
        """Stop as planned: no more callers, and the last counts are passed on."""
        self.is_stopping = True
        self.usage.prepare_stop()
        self.world.run_for(RUN_MS)
        self.usage.finish()

    def follow(self, followed: UsageDaemon | None) -> None:
        """Follow another daemon, or the store."""
        self.followed = followed
        since_ms = self.timers.now_ms()
        self.followed_since_ms = None if followed is None else since_ms


class UsageWorld:
    """Three zones of four daemons; the first of a zone follows the store."""

    def __init__(self) -> None:
        self.timers = VirtualTimers()
        self.store = ObjectStore()
        self.faults = PlatformFaults()
        self.service = ReportService(self)
        self.truth: dict[int, Counter[str]] = defaultdict(Counter)
        self.daemons: list[UsageDaemon] = []
        self.started = 0
        for zone in ("zone-a", "zone-b", "zone-c"):
            for number in range(4):
                self.add(f"{zone}-{number}", zone)
        self.registered = frozenset(daemon.name for daemon in self.daemons)

    def add(self, name: str, zone: str) -> UsageDaemon:
        """Start a process; it follows the first daemon of its zone."""
        self.started += 1
        daemon = UsageDaemon(self, name, zone, self.started)
        daemon.follow(self.first_of(zone))
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def first_of(self, zone: str) -> UsageDaemon | None:
        """Return the daemon of a zone that follows the store."""
        return next((d for d in self.daemons if d.zone == zone), None)

    def kill(self, daemon: UsageDaemon) -> None:
        """End a process at once; its followers follow the next daemon soon."""
        daemon.timers.is_running = False
        self.daemons.remove(daemon)
        followers = [d for d in self.daemons if d.followed is daemon]
        for follower in followers:
            follower.follow(None)
        if followers:
            self.timers.call_later(300.0, lambda: self._follow_next(followers))

    def _follow_next(self, followers) -> None:
        for follower in followers[1:]:
            follower.follow(followers[0])

    @property
    def holder(self) -> UsageDaemon | None:
        """The daemon that holds the duty."""
        return next((d for d in self.daemons if d.lease.is_held), None)

    def lines(self, event: str) -> list[dict]:
        """Return the log lines of an event, of all daemons that run."""
        lines = (line for d in self.daemons for line in d.lines)
        return [line for line in lines if line["event"] == event]

    def run_for(self, span_ms: float) -> None:
        """Advance virtual time."""
        self.timers.run_until(self.timers.now_ms() + span_ms)


__all__ = [
    "DUE_MS",
    "ORGANISATIONS",
    "WINDOW_MS",
    "UsageWorld",
]
