"""One response with a garbled header makes the daemon fail all requests from then on.

Four leafs serve one service. After many sound answers, one leaf spoils one of its
answers: in `X-Server-Load` the number of running requests is a long run of digits. All
else that the leafs send is sound, before and after it.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from bed import (
    TROUBLE,
    Bed,
    CaseNotRun,
    Daemon,
    Kind,
    manifest,
    route,
    run_case,
)

LEAFS = ("i-a", "i-b", "i-c", "i-d")
MIN_ANSWERS = 70  # of the leaf before: one of 71 is below 0.015 of its answers
MAX_FAILED_SHARE = 0.6  # of all requests, as the gate says
AT_ONCE = 4
PERIOD_S = 0.05
MAX_ROUNDS = 300
ROUNDS_PER_ROUND_BEFORE = 3  # requests after the spoilt answer, to those before it
GARBLED_LOAD = "3" * 400 + ",0,4"


async def play(bed: Bed) -> list[str]:
    """Send requests before and after the spoilt answer; count those not served."""
    await bed.start_store()
    bed.store.put(
        Kind.CONFIGURATION, "main", manifest(3, [route("look", "order-desk")])
    )
    leafs = [await bed.add_leaf(name, "order-desk", "zone-a") for name in LEAFS]
    daemon = bed.add_daemon("edge-a-1", "zone-a")
    await daemon.start(bed.store.port, [daemon])
    await bed.wait_until_ready()
    statuses: list[int] = []
    rounds = 0
    while max(leaf.answers for leaf in leafs) < MIN_ANSWERS:
        rounds += 1
        if rounds > MAX_ROUNDS:
            raise CaseNotRun("no leaf gets enough requests")
        statuses += await send(bed, daemon)
    if set(statuses) != {200}:
        raise CaseNotRun("not all requests before the disruption were served")
    if TROUBLE:
        leaf = max(leafs, key=lambda leaf: leaf.answers)
        leaf.next_headers = {"X-Server-Load": GARBLED_LOAD}
    for _ in range(ROUNDS_PER_ROUND_BEFORE * rounds):
        statuses += await send(bed, daemon)
    if 0 in statuses:
        raise CaseNotRun("the daemon could not be reached")
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    failed_share = 1.0 - counts.get(200, 0) / len(statuses)
    summary = f"{failed_share:.2f} of {len(statuses)} requests failed: {counts}"
    bed.record.note(summary)
    return [f"Gate: {summary}"] if failed_share > MAX_FAILED_SHARE else []


async def send(bed: Bed, daemon: Daemon) -> list[int]:
    """Send some requests at once; return their statuses."""
    requests = (bed.request(daemon, "GET", "/look/1") for _ in range(AT_ONCE))
    answers = await asyncio.gather(*requests)
    await asyncio.sleep(PERIOD_S)
    return [status for _, _, status, _ in answers]


sys.exit(run_case(Path(__file__).parent, play))
