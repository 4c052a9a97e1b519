"""A daemon in touch serves an old manifest: the one that relays the store is cut off.

Two daemons share a zone. The first follows the store, the second follows the first. The
link between the first one and the store falls silent, for as long as the site file of
lanyang-search says; nothing happens to the second one. Then the operator moves a route.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from bed import (
    BOUNDS,
    TROUBLE,
    Bed,
    CaseNotRun,
    Kind,
    LinkMode,
    manifest,
    route,
    run_case,
)

CUT_S = 5.5
CUT_AFTER_CONFIRMATION_S = 0.1  # a watch of the evacuations has just ended
MANIFEST_AFTER_CUT_S = 0.2
PERIOD_S = 0.04
CONFIRMATION_TIMEOUT_S = 8.0
OLD, NEW = "order-desk", "stock-ledger"


async def play(bed: Bed) -> list[str]:
    """Move a route; return the requests that the old service ran too late."""
    await bed.start_store()
    bed.store.put(Kind.CONFIGURATION, "main", manifest(3, [route("look", OLD)]))
    for service in (OLD, NEW):
        await bed.add_leaf(f"i-{service}", service, "zone-a")
    link = await bed.add_proxy()
    first = bed.add_daemon("edge-a-1", "zone-a")
    second = bed.add_daemon("edge-a-2", "zone-a")
    await first.start(link.port, [first, second])
    await second.start(bed.store.port, [first, second])
    await bed.wait_until_ready()
    await asyncio.sleep(1.0)
    if "relay_followed" not in second.log():
        raise CaseNotRun("the second daemon does not follow the first")
    await wait_for_confirmation(bed)
    await asyncio.sleep(CUT_AFTER_CONFIRMATION_S)
    if TROUBLE:
        bed.record.note("the link between edge-a-1 and the store falls silent")
        link.set_mode(LinkMode.ALL_DROPPED)
    cut_s = bed.record.now_s()
    await asyncio.sleep(MANIFEST_AFTER_CUT_S)
    bed.store.put(Kind.CONFIGURATION, "main", manifest(6, [route("look", NEW)]))
    acked_s = bed.record.now_s()
    due_s = acked_s + BOUNDS["config_apply_ms"] / 1000.0
    broken = []
    while bed.record.now_s() < cut_s + CUT_S:
        request_id, sent_s, status, text = await bed.request(second, "GET", "/look/1")
        if sent_s > due_s and status == 200 and text.startswith(OLD):
            broken.append(
                f"CONFIG: {request_id}, sent to edge-a-2 {sent_s - acked_s:.3f} s "
                f"after the ack of version 6, was run by {OLD}"
            )
        await asyncio.sleep(PERIOD_S)
    link.set_mode(LinkMode.NORMAL)
    bed.record.note("the link works again")
    return broken


async def wait_for_confirmation(bed: Bed) -> None:
    """Wait until the store answers the next watch of the evacuations."""
    kind = Kind.ZONE_ORDER.value
    before_s = bed.store.watch_ended_s.get(kind, 0.0)
    end_s = bed.record.now_s() + CONFIRMATION_TIMEOUT_S
    while bed.store.watch_ended_s.get(kind, 0.0) == before_s:
        if bed.record.now_s() > end_s:
            raise CaseNotRun("no watch of the evacuations ended")
        await asyncio.sleep(0.01)


sys.exit(run_case(Path(__file__).parent, play))
