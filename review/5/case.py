"""A leaf that is gone keeps its requests after watches were cut off.

The entry of a leaf is removed, as that of a leaf that never reports `draining`. The
leaf serves on. The store cuts off the waiting watch of the leafs' entries, and once
more the one that follows; two seconds later it does so again. It answers all else at
once.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from bed import BOUNDS, TROUBLE, Bed, Daemon, Kind, manifest, route, run_case

BEFORE_S = 1.0
REMOVAL_AFTER_CUT_S = 0.05  # before the daemon calls the store again
SECOND_CUT_AFTER_S = 2.0
AFTER_REMOVAL_S = 7.0
AT_ONCE = 4  # so that all leafs of the service are used
PERIOD_S = 0.1


async def play(bed: Bed) -> list[str]:
    """Send requests all the while; return those that reached the leaf too late."""
    await bed.start_store()
    bed.store.put(
        Kind.CONFIGURATION, "main", manifest(3, [route("look", "order-desk")])
    )
    leafs = [
        await bed.add_leaf(name, "order-desk", "zone-a") for name in ("i-a", "i-b")
    ]
    gone = leafs[0]
    daemon = bed.add_daemon("edge-a-1", "zone-a")
    await daemon.start(bed.store.port, [daemon])
    await bed.wait_until_ready()
    await send_for(bed, daemon, BEFORE_S)
    if TROUBLE:
        await cut_off_twice(bed)
        await asyncio.sleep(REMOVAL_AFTER_CUT_S)
    bed.store.remove(Kind.LEAF, gone.leaf_id)
    removed_s = bed.record.now_s()
    sending = asyncio.create_task(send_for(bed, daemon, AFTER_REMOVAL_S))
    if TROUBLE:
        await asyncio.sleep(SECOND_CUT_AFTER_S)
        await cut_off_twice(bed)
    sent_s = await sending
    due_s = removed_s + BOUNDS["drain_ms"] / 1000.0
    return [
        f"DRAIN: request {request_id} reached {gone.leaf_id} {ran_s - removed_s:.3f} s "
        "after its removal was acknowledged"
        for request_id, ran_s in gone.runs
        if ran_s > due_s and sent_s.get(request_id, 0.0) > due_s
    ]


async def cut_off_twice(bed: Bed) -> None:
    """Cut off the waiting watch of the leafs, and the one that follows at once."""
    await bed.store.cut_off_watch(Kind.LEAF)
    await bed.store.cut_off_watch(Kind.LEAF)


async def send_for(bed: Bed, daemon: Daemon, span_s: float) -> dict[str, float]:
    """Send requests for a time; return when each was sent."""
    end_s = bed.record.now_s() + span_s
    sent_s = {}
    while bed.record.now_s() < end_s:
        requests = (bed.request(daemon, "GET", "/look/1") for _ in range(AT_ONCE))
        sent_s |= {name: at_s for name, at_s, *_ in await asyncio.gather(*requests)}
        await asyncio.sleep(PERIOD_S)
    return sent_s


sys.exit(run_case(Path(__file__).parent, play))
