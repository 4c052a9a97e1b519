"""A leaf that is gone keeps its requests while waiting watches are cut off.

The entry of a leaf is removed, as that of a leaf that never reports `draining`. The
leaf serves on. The store cuts off each watch of the leafs' entries that has waited for
half a second, and answers all else at once.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from bed import BOUNDS, TROUBLE, Bed, Daemon, Kind, manifest, route, run_case

CUT_AFTER_S = 0.5
BEFORE_REMOVAL_S = 6.0
AFTER_REMOVAL_S = 9.0
PERIOD_S = 0.05


async def play(bed: Bed) -> list[str]:
    """Send requests all the while; return those that reached the leaf too late."""
    await bed.start_store()
    bed.store.put(Kind.CONFIGURATION, "main", manifest(3, [route("look", "order-desk")]))
    leafs = [await bed.add_leaf(name, "order-desk", "zone-a") for name in ("i-a", "i-b")]
    daemon = bed.add_daemon("edge-a-1", "zone-a")
    await daemon.start(bed.store.port, [daemon])
    await bed.wait_until_ready()
    if TROUBLE:
        bed.store.cut_watches_after_s = CUT_AFTER_S
    await send_for(bed, daemon, BEFORE_REMOVAL_S)
    gone = leafs[0]
    bed.store.remove(Kind.LEAF, gone.leaf_id)
    removed_s = bed.record.now_s()
    sent_s = await send_for(bed, daemon, AFTER_REMOVAL_S)
    late_s = removed_s + BOUNDS["drain_ms"] / 1000.0
    late = [
        (request_id, ran_s)
        for request_id, ran_s in gone.runs
        if ran_s > late_s and sent_s.get(request_id, 0.0) > late_s
    ]
    return [
        f"DRAIN: request {request_id} reached {gone.leaf_id} {ran_s - removed_s:.3f} s "
        "after its removal was acknowledged"
        for request_id, ran_s in late
    ]


async def send_for(bed: Bed, daemon: Daemon, span_s: float) -> dict[str, float]:
    """Send requests for a time; return when each was sent."""
    end_s = bed.record.now_s() + span_s
    sent_s = {}
    while bed.record.now_s() < end_s:
        request_id, at_s, *_ = await bed.request(daemon, "GET", "/look/1")
        sent_s[request_id] = at_s
        await asyncio.sleep(PERIOD_S)
    return sent_s


sys.exit(run_case(Path(__file__).parent, play))
