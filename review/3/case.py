"""Some responses with a garbled header make the daemon fail all requests from then on.

Ten leafs serve one service. Each of the first leafs that are asked, five at most, is
full and turns the request away, with its load in `X-Server-Load`. In these responses
the number of running requests is garbled: a long run of digits. All else that the leafs
send is sound.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

from bed import TROUBLE, Bed, Kind, manifest, route, run_case

REQUESTS = 200
PERIOD_S = 0.05
LEAFS = tuple(f"i-{number}" for number in range(10))
GARBLED = 5  # responses, each of another leaf
LOAD = "3,0,4"
GARBLED_LOAD = "3" * 400 + ",0,4"


async def play(bed: Bed) -> list[str]:
    """Send requests for ten seconds; broken if none of them is served."""
    await bed.start_store()
    bed.store.put(
        Kind.CONFIGURATION, "main", manifest(3, [route("look", "order-desk")])
    )
    leafs = [await bed.add_leaf(name, "order-desk", "zone-a") for name in LEAFS]
    daemon = bed.add_daemon("edge-a-1", "zone-a")
    await daemon.start(bed.store.port, [daemon])
    await bed.wait_until_ready()
    refusals = [
        {"X-Server-Load": GARBLED_LOAD if TROUBLE else LOAD} for _ in range(GARBLED)
    ]
    for leaf in leafs:
        leaf.refusals = refusals  # for the leafs that are asked first
    results: Counter[int] = Counter()
    for _ in range(REQUESTS):
        _, _, status, _ = await bed.request(daemon, "GET", "/look/1")
        results[status] += 1
        await asyncio.sleep(PERIOD_S)
    bed.record.note(f"answers by status: {dict(results)}")
    if results[200]:
        return []
    return [f"Fault: no request is served; answers by status: {dict(results)}"]


sys.exit(run_case(Path(__file__).parent, play))
