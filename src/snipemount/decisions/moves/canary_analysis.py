"""Canary analysis: sequential test of a new version against the old one.

Each exchange adds the log-likelihood ratio of a bad to a good version to a
cumulative sum (CUSUM).
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from enum import IntEnum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

ALARM_THRESHOLD = 12.0
CLEAN_THRESHOLD = 6.0
COMPLETION_THRESHOLD = 2.0
MAX_EVIDENCE = 24.0
MIN_FAILURE_RATE = 0.005
MIN_BAD_FAILURE_RATE = 0.05
BAD_FAILURE_RATIO = 4.0
SLOW_QUANTILE = 0.9
GOOD_SLOW_RATE = 0.1
BAD_SLOW_RATE = 0.35
SLOW_LATENCY_RATIO = 1.15
MIN_BASELINE_SAMPLES = 10
LATENCY_WINDOW_SAMPLES = 200
MIN_FAILURE_WEIGHT = 0.01


class Suspicion(IntEnum):
    """Kind of evidence against the new version."""

    FAILURES = 0
    SLOWNESS = 1


@attrs.frozen
class Observation:
    """Result of one exchange with a backend server of either version.

    Parameters
    ----------
    route : str
        Route of the request.
    zone : str
        Availability zone of the server.
    failed : bool
        Whether the exchange failed by the fault of the server.
    latency_ms : float
        Latency without the queueing time at the owner; undefined if it failed.
    excluded : bool
        Whether the server was warming up, so that the exchange counts neither as
        a sample nor as evidence against the version.
    """

    route: str
    zone: str
    failed: bool
    latency_ms: float
    excluded: bool = False


@attrs.frozen
class EvidenceReport:
    """Evidence that one daemon has gathered since its previous report.

    Sent to all other daemons.

    Parameters
    ----------
    move_id : str
        Move to which the evidence belongs.
    route : str
        Route of the exchanges.
    zone : str
        Availability zone of the servers.
    seen : int
        Exchanges with the new version.
    samples : int
        Exchanges that were evaluated, without those of servers warming up.
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
    """Failure rate and latencies of one version on one route.

    Covers the exchanges of this daemon only.

    Attributes
    ----------
    samples : int
        Exchanges recorded.
    failure_rate : float
        Smoothed share of failed exchanges.
    zones : set of str
        Zones of the servers that took part.
    """

    def __init__(self) -> None:
        self.samples = 0
        self.failure_rate = 0.0
        self.zones: set[str] = set()
        self._latencies_ms: deque[float] = deque(maxlen=LATENCY_WINDOW_SAMPLES)
        self._slow_ms: float | None = None

    def add(self, observation: Observation) -> None:
        """Record an exchange unless its server was warming up."""
        if observation.excluded:
            return
        self.samples += 1
        self.zones.add(observation.zone)
        weight = max(MIN_FAILURE_WEIGHT, 1.0 / self.samples)
        self.failure_rate += weight * (observation.failed - self.failure_rate)
        if not observation.failed:
            self._latencies_ms.append(observation.latency_ms)
            self._slow_ms = None

    @property
    def slow_ms(self) -> float:
        """Latency in milliseconds that one in ten recent exchanges exceeds."""
        if self._slow_ms is None:
            ordered = sorted(self._latencies_ms)
            self._slow_ms = ordered[int(len(ordered) * SLOW_QUANTILE)]
        return self._slow_ms

    def failure_ratio(self, failed: bool) -> float:
        """Return the log-likelihood ratio of a bad to a good version.

        A bad version fails `BAD_FAILURE_RATIO` times as often as this baseline, and
        at least `MIN_BAD_FAILURE_RATE` of all exchanges.
        """
        good = max(MIN_FAILURE_RATE, self.failure_rate)
        bad = min(0.9, max(MIN_BAD_FAILURE_RATE, BAD_FAILURE_RATIO * good))
        if failed:
            return math.log(bad / good)
        return math.log((1.0 - bad) / (1.0 - good))

    def slow_ratio(self, latency_ms: float) -> float:
        """Return the log-likelihood ratio of a slow version to one that is not.

        0 while the baseline holds too few latencies.
        """
        if len(self._latencies_ms) < MIN_BASELINE_SAMPLES:
            return 0.0
        if latency_ms > SLOW_LATENCY_RATIO * self.slow_ms:
            return math.log(BAD_SLOW_RATE / GOOD_SLOW_RATE)
        return math.log((1.0 - BAD_SLOW_RATE) / (1.0 - GOOD_SLOW_RATE))


@attrs.define(eq=False)
class UnsentEvidence:
    """Evidence not yet sent to the other daemons."""

    seen: int = 0
    samples: int = 0
    failures: float = 0.0
    slowness: float = 0.0


class CanaryAnalysis:
    """Evidence against the new version of a move, from all daemons.

    Keeps a cumulative sum (CUSUM) for each kind of evidence, route and zone. No
    sum falls below zero, so that a version that turns bad late is detected as
    fast as one that is bad from the start. The version is judged bad if the sum
    over all zones but the worst one exceeds the alarm threshold: the failure of
    a single zone does not roll a version back.

    Parameters
    ----------
    move_id : str
        Move under evaluation.
    baseline_of : Callable
        Returns the old version's baseline for a route.

    Attributes
    ----------
    seen : int
        Exchanges with the new version, over all daemons.
    samples : int
        Exchanges that were evaluated, without those of servers warming up.
    """

    def __init__(self, move_id: str, baseline_of: Callable[[str], Baseline]) -> None:
        self.move_id = move_id
        self._baseline_of = baseline_of
        self.seen = 0
        self.samples = 0
        self._unsent: defaultdict[tuple[str, str], UnsentEvidence] = defaultdict(
            UnsentEvidence
        )
        self._sums: defaultdict[tuple[Suspicion, str], dict[str, float]] = defaultdict(
            dict
        )
        self._zones: set[str] = set()

    def observe_new(self, observation: Observation) -> None:
        """Add the evidence of one exchange with the new version."""
        baseline = self._baseline_of(observation.route)
        self._zones |= baseline.zones
        unsent = self._unsent[observation.route, observation.zone]
        unsent.seen += 1
        self.seen += 1
        if observation.excluded:
            self._add(
                observation.route,
                observation.zone,
                0,
                baseline.failure_ratio(False),
                0.0,
            )
            return
        unsent.samples += 1
        failures = baseline.failure_ratio(observation.failed)
        slowness = (
            0.0 if observation.failed else baseline.slow_ratio(observation.latency_ms)
        )
        unsent.failures += failures
        unsent.slowness += slowness
        self._add(observation.route, observation.zone, 1, failures, slowness)

    def take_reports(self) -> tuple[EvidenceReport, ...]:
        """Return the evidence since the previous call, to be sent to other daemons."""
        reports = tuple(
            EvidenceReport(
                self.move_id,
                route,
                zone,
                p.seen,
                p.samples,
                p.failures,
                p.slowness,
            )
            for (route, zone), p in self._unsent.items()
        )
        self._unsent.clear()
        return reports

    def merge_report(self, report: EvidenceReport) -> None:
        """Add the evidence of another daemon; ignored if it is for another move."""
        if report.move_id == self.move_id:
            self.seen += report.seen
            self._add(
                report.route,
                report.zone,
                report.samples,
                report.failures,
                report.slowness,
            )

    @property
    def bad(self) -> bool:
        """Whether the new version is judged bad."""
        return any(
            self._evidence_without_worst_zone(sums) > ALARM_THRESHOLD
            for sums in self._sums.values()
        )

    @property
    def clean(self) -> bool:
        """Whether there is little evidence against it outside the worst zone."""
        return all(
            self._evidence_without_worst_zone(s) < CLEAN_THRESHOLD
            for s in self._sums.values()
        )

    @property
    def evidence_negligible(self) -> bool:
        """Whether the evidence against it is low enough to complete the move."""
        return all(
            self._evidence_without_worst_zone(s) < COMPLETION_THRESHOLD
            for s in self._sums.values()
        )

    @property
    def reason(self) -> str:
        """Kind and route with the most evidence against the new version."""
        if not self._sums:
            return "no exchanges observed"
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
            sums[zone] = min(MAX_EVIDENCE, max(0.0, total))

    def _evidence_without_worst_zone(self, sums: dict[str, float]) -> float:
        total = sum(sums.values())
        if len(self._zones) < 2:
            return total
        return total - max(sums.values())


__all__ = ["Baseline", "CanaryAnalysis", "EvidenceReport", "Observation", "Suspicion"]
