"""Runs one soak and summarizes its results."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..timers import LoopTimers
from .callers import Balancer, Caller
from .checks import check_safety, check_timing
from .configurations import configuration_violations
from .deployment import SoakDeployment
from .faults import FaultInjector, FaultKind

if TYPE_CHECKING:
    from pathlib import Path

    from .records import Records

CALLERS_PER_DAEMON = 3
READY_TIMEOUT_MS = 15_000.0
RECOVERY_MS = 9000.0  # time without faults at the end, to recover before the checks
POLL_PERIOD_MS = 50.0
MS_PER_S = 1000.0


@attrs.frozen
class SoakSummary:
    """Results of one soak.

    Parameters
    ----------
    seed : int
        Seed of the soak.
    requests : int
        Number of requests that callers sent.
    results : dict
        Number of requests by outcome and HTTP status.
    faults : dict
        Number of injected faults by kind.
    violations : tuple of str
        Violated guarantees that do not depend on time.
    time_violations : tuple of str
        Violated guarantees on rates and times.
    """

    seed: int
    requests: int
    results: dict[str, int]
    faults: dict[str, int]
    violations: tuple[str, ...]
    time_violations: tuple[str, ...]


async def run_soak(
    seed: int,
    fault_ms: float,
    daemons: int,
    folder: Path,
    kinds: tuple[FaultKind, ...] = tuple(FaultKind),
) -> SoakSummary:
    """Run daemons under load and faults; return the results and violations.

    Parameters
    ----------
    seed : int
        Seed of the faults and the requests.
    fault_ms : float
        Time during which faults are injected.
    daemons : int
        Number of daemons.
    folder : Path
        Directory for settings files and logs.
    kinds : tuple of FaultKind
        Kinds of faults.
    """
    random = Random(seed)
    timers = LoopTimers(asyncio.get_running_loop())
    deployment = SoakDeployment(timers, folder, daemons)
    balancer = Balancer(deployment, Random(random.random()))
    callers = [
        Caller(number, deployment, balancer, timers, Random(random.random()))
        for number in range(CALLERS_PER_DAEMON * daemons)
    ]
    faults = FaultInjector(deployment, timers, Random(random.random()), kinds)
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks.append(asyncio.ensure_future(balancer.run()))
        await _wait_until_ready(balancer, daemons, timers)
        tasks += [asyncio.ensure_future(caller.run()) for caller in callers]
        await faults.run(timers.now_ms() + fault_ms)
        await timers.sleep(RECOVERY_MS)
        outdated = await configuration_violations(deployment)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()
    return _summarize(seed, deployment.records, timers.now_ms(), outdated)


async def _wait_until_ready(
    balancer: Balancer, daemons: int, timers: LoopTimers
) -> None:
    end_ms = timers.now_ms() + READY_TIMEOUT_MS
    while len(balancer.ready) < daemons and timers.now_ms() < end_ms:
        await timers.sleep(POLL_PERIOD_MS)


def _summarize(
    seed: int, records: Records, end_ms: float, outdated: tuple[str, ...]
) -> SoakSummary:
    results = Counter(
        f"{r.outcome.value if r.outcome else 'running'}:{r.status}"
        for r in records.requests
    )
    return SoakSummary(
        seed,
        len(records.requests),
        dict(sorted(results.items())),
        dict(sorted(Counter(f.kind for f in records.faults).items())),
        (*check_safety(records), *outdated),
        tuple(check_timing(records, end_ms)),
    )


__all__ = ["SoakSummary", "run_soak"]
