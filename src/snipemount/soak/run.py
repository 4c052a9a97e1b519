"""One soak from its start to its summary."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import attrs

from ..timers import LoopTimers
from .callers import Balancer, Caller
from .checks import check, check_times
from .deployment import SoakDeployment
from .faults import Faults

if TYPE_CHECKING:
    from pathlib import Path

    from .records import Records

CALLERS_A_DAEMON = 3
FIRST_READY_MS = 15_000.0
CALM_MS = 9000.0  # after the last fault, until what is left has settled
POLL_MS = 50.0
MS_PER_S = 1000.0


@attrs.frozen
class SoakSummary:
    """What a soak has found.

    Parameters
    ----------
    seed : int
        Its seed.
    requests : int
        Requests that callers sent.
    results : dict
        How many ended how.
    faults : dict
        How many of each kind were brought about.
    violations : tuple of str
        Promises that were broken.
    time_violations : tuple of str
        Promises with a bound of time that were broken.
    """

    seed: int
    requests: int
    results: dict[str, int]
    faults: dict[str, int]
    violations: tuple[str, ...]
    time_violations: tuple[str, ...]


async def run_soak(
    seed: int, span_ms: float, daemons: int, folder: Path
) -> SoakSummary:
    """Run daemons under load and faults; return what was found.

    Parameters
    ----------
    seed : int
        Decides the course of faults and requests.
    span_ms : float
        How long faults are brought about.
    daemons : int
        How many daemons.
    folder : Path
        Takes settings and logs.
    """
    random = Random(seed)
    timers = LoopTimers(asyncio.get_running_loop())
    deployment = SoakDeployment(timers, folder, daemons)
    balancer = Balancer(deployment, Random(random.random()))
    callers = [
        Caller(number, deployment, balancer, timers, Random(random.random()))
        for number in range(CALLERS_A_DAEMON * daemons)
    ]
    faults = Faults(deployment, timers, Random(random.random()))
    tasks: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        tasks.append(asyncio.ensure_future(balancer.run()))
        await _wait_until_ready(balancer, daemons, timers)
        tasks += [asyncio.ensure_future(caller.run()) for caller in callers]
        await faults.run(timers.now_ms() + span_ms)
        await timers.sleep(CALM_MS)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await deployment.stop()
    return _summarize(seed, deployment.records, timers.now_ms())


async def _wait_until_ready(
    balancer: Balancer, daemons: int, timers: LoopTimers
) -> None:
    end_ms = timers.now_ms() + FIRST_READY_MS
    while len(balancer.ready) < daemons and timers.now_ms() < end_ms:
        await timers.sleep(POLL_MS)


def _summarize(seed: int, records: Records, end_ms: float) -> SoakSummary:
    results = Counter(
        f"{a.ending.value if a.ending else 'running'}:{a.status}"
        for a in records.attempts
    )
    return SoakSummary(
        seed,
        len(records.attempts),
        dict(sorted(results.items())),
        dict(sorted(Counter(f.kind for f in records.disturbances).items())),
        tuple(check(records)),
        tuple(check_times(records, end_ms)),
    )


__all__ = ["SoakSummary", "run_soak"]
