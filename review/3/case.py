"""Two responses with a garbled header make the daemon fail all requests from then on.

Four leafs serve one service. The first request finds two of them full and is turned away
by both, with their load in `X-Server-Load`. In these two responses the number of running
requests is garbled: a long run of digits. All else that the leafs send is sound.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

from bed import TROUBLE, Bed, Kind, manifest, route, run_case

REQUESTS = 200
PERIOD_S = 0.05
LEAFS = ("i-a", "i-b", "i-c", "i-d")
LOAD = "3,0,4"
GARBLED_LOAD = "3" * 400 + ",0,4"


async def play(bed: Bed) -> list[str]:
    """Send requests for ten seconds; broken if none of them is served."""
    await bed.start_store()
    bed.store.put(Kind.CONFIGURATION, "main", manifest(3, [route("look", "order-desk")]))
    leafs = [await bed.add_leaf(name, "order-desk", "zone-a") for name in LEAFS]
    daemon = bed.add_daemon("edge-a-1", "zone-a")
    await daemon.start(bed.store.port, [daemon])
    await bed.wait_until_ready()
    refusals = [{"X-Server-Load": GARBLED_LOAD if TROUBLE else LOAD} for _ in range(2)]
    for leaf in leafs:
        leaf.refusals = refusals  # for the two leafs that are asked first
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
