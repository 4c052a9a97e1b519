"""Sequential judgement of a new version against the old one."""

from __future__ import annotations

import math
from collections import defaultdict, deque
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

ALARM = 12.0
CLEAN_BELOW = 6.0
SPOTLESS_BELOW = 2.0
MOST_EVIDENCE = 24.0
LEAST_FAILURE_RATE = 0.005
LEAST_BAD_FAILURE_RATE = 0.05
BAD_FAILURE_RATIO = 4.0
SLOW_QUANTILE = 0.9
SLOW_RATE = 0.1
BAD_SLOW_RATE = 0.35
SLOW_MARGIN = 1.15
BASELINE_SAMPLES = 10
WINDOW = 200
FAILURE_SMOOTHING = 0.01


class Suspicion(IntEnum):
    """What speaks against the new version."""

    FAILURES = 0
    SLOWNESS = 1


@attrs.frozen
class Observation:
    """One exchange with a backend server of either version.

    Parameters
    ----------
    route : str
        Route of the request.
    zone : str
        Availability zone of the server.
    failed : bool
        Whether the server failed it.
    latency_ms : float
        Time without the wait at the owner; meaningless when it failed.
    excused : bool
        Whether the server was warming up, so that the exchange tells nothing.
    """

    route: str
    zone: str
    failed: bool
    latency_ms: float
    excused: bool = False


@attrs.frozen
class EvidenceShare:
    """Evidence of one daemon since it last told, for all others.

    Parameters
    ----------
    move_id : str
        Move it concerns.
    route : str
        Route.
    zone : str
        Availability zone of the servers.
    seen : int
        Exchanges with the new version.
    samples : int
        Those of them that were judged.
    failures : float
        Sum of log-likelihood ratios for failures.
    slowness : float
        Sum of log-likelihood ratios for slowness.
    """

    move_id: str
    route: str
    zone: str
    seen: int
    samples: int
    failures: float
    slowness: float


class Baseline:
    """What one version does on one route, as this daemon sees it."""

    def __init__(self) -> None:
        self.samples = 0
        self.failure_rate = 0.0
        self.zones: set[str] = set()
        self._latencies_ms: deque[float] = deque(maxlen=WINDOW)
        self._slow_ms: float | None = None

    def add(self, seen: Observation) -> None:
        """Learn from an exchange; a server warming up tells nothing."""
        if seen.excused:
            return
        self.samples += 1
        self.zones.add(seen.zone)
        weight = max(FAILURE_SMOOTHING, 1.0 / self.samples)
        self.failure_rate += weight * (seen.failed - self.failure_rate)
        if not seen.failed:
            self._latencies_ms.append(seen.latency_ms)
            self._slow_ms = None

    @property
    def slow_ms(self) -> float:
        """Latency that one in ten exchanges exceeds."""
        if self._slow_ms is None:
            ordered = sorted(self._latencies_ms)
            self._slow_ms = ordered[int(len(ordered) * SLOW_QUANTILE)]
        return self._slow_ms

    def failure_ratio(self, failed: bool) -> float:
        """Return the log-likelihood ratio of bad to good."""
        good = max(LEAST_FAILURE_RATE, self.failure_rate)
        bad = min(0.9, max(LEAST_BAD_FAILURE_RATE, BAD_FAILURE_RATIO * good))
        if failed:
            return math.log(bad / good)
        return math.log((1.0 - bad) / (1.0 - good))

    def slow_ratio(self, latency_ms: float) -> float:
        """Return the log-likelihood ratio of slow to as fast as the old one."""
        if len(self._latencies_ms) < BASELINE_SAMPLES:
            return 0.0
        if latency_ms > SLOW_MARGIN * self.slow_ms:
            return math.log(BAD_SLOW_RATE / SLOW_RATE)
        return math.log((1.0 - BAD_SLOW_RATE) / (1.0 - SLOW_RATE))


@attrs.define(eq=False)
class Pending:
    """Evidence not yet told to the other daemons."""

    seen: int = 0
    samples: int = 0
    failures: float = 0.0
    slowness: float = 0.0


class MoveJudge:
    """Cumulative sums of evidence, by route and zone, over all daemons.

    Each sum starts anew at zero, so that a version that turns bad late shows as
    soon as one that is bad at once. The version is judged bad when the alarm is
    passed even without the zone that speaks against it most: the failure of one
    zone alone takes no version back.

    Parameters
    ----------
    move_id : str
        Move that is judged.
    baseline_of : Callable
        Gives the old version's baseline on a route.
    """

    def __init__(self, move_id: str, baseline_of: Callable[[str], Baseline]) -> None:
        self.move_id = move_id
        self._baseline_of = baseline_of
        self.seen = 0
        self.samples = 0
        self._pending: defaultdict[tuple[str, str], Pending] = defaultdict(Pending)
        self._sums: defaultdict[tuple[Suspicion, str], dict[str, float]] = defaultdict(
            dict
        )
        self._zones: set[str] = set()

    def see_new(self, seen: Observation) -> None:
        """Judge one exchange with the new version."""
        baseline = self._baseline_of(seen.route)
        self._zones |= baseline.zones
        pending = self._pending[seen.route, seen.zone]
        pending.seen += 1
        self.seen += 1
        if seen.excused:
            self._add(seen.route, seen.zone, 0, baseline.failure_ratio(False), 0.0)
            return
        pending.samples += 1
        failures = baseline.failure_ratio(seen.failed)
        slowness = 0.0 if seen.failed else baseline.slow_ratio(seen.latency_ms)
        pending.failures += failures
        pending.slowness += slowness
        self._add(seen.route, seen.zone, 1, failures, slowness)

    def take_shares(self) -> tuple[EvidenceShare, ...]:
        """Return what has been seen since the last call, for the others."""
        shares = tuple(
            EvidenceShare(
                self.move_id,
                route,
                zone,
                p.seen,
                p.samples,
                p.failures,
                p.slowness,
            )
            for (route, zone), p in self._pending.items()
        )
        self._pending.clear()
        return shares

    def hear(self, share: EvidenceShare) -> None:
        """Take the evidence of another daemon."""
        if share.move_id == self.move_id:
            self.seen += share.seen
            self._add(
                share.route, share.zone, share.samples, share.failures, share.slowness
            )

    @property
    def bad(self) -> bool:
        """Whether the new version is judged bad."""
        return any(self._strength(sums) > ALARM for sums in self._sums.values())

    @property
    def clean(self) -> bool:
        """Whether nothing but one zone speaks against the new version just now."""
        return all(self._strength(s) < CLEAN_BELOW for s in self._sums.values())

    @property
    def spotless(self) -> bool:
        """Whether next to nothing speaks against it, so that it may be done."""
        return all(self._strength(s) < SPOTLESS_BELOW for s in self._sums.values())

    @property
    def reason(self) -> str:
        """One line on what speaks against the new version most."""
        if not self._sums:
            return "nothing seen"
        suspicion, route = max(
            self._sums, key=lambda key: sum(self._sums[key].values())
        )
        return f"{suspicion.name.lower()} on route {route}"

    def _add(
        self, route: str, zone: str, samples: int, failures: float, slowness: float
    ) -> None:
        self.samples += samples
        self._zones.add(zone)
        for suspicion, ratio in (
            (Suspicion.FAILURES, failures),
            (Suspicion.SLOWNESS, slowness),
        ):
            sums = self._sums[suspicion, route]
            total = sums.get(zone, 0.0) + ratio
            sums[zone] = min(MOST_EVIDENCE, max(0.0, total))

    def _strength(self, sums: dict[str, float]) -> float:
        total = sum(sums.values())
        if len(self._zones) < 2:
            return total
        return total - max(sums.values())


__all__ = ["Baseline", "EvidenceShare", "MoveJudge", "Observation", "Suspicion"]
