"""After a return of the store at older revisions an order to evacuate is lost."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import bed_3 as bed

ZONES = ("north-a", "north-b", "north-c")
OUT = "north-b"
EVACUATE_S = 5.0
CONTACT_S = 4.0
COPY_AGE_S = 3.0  # "a copy some seconds old"
AWAY_S = 1.0  # "away for a moment"
WATCHED_S = 20.0  # after the order
GAP_S = 0.4  # between the manifests before the drill
STORM = 6
PERIOD_S = 0.1  # of the requests at each daemon


async def case(record: bed.Recorder, trouble: bool) -> bool:
    whole = bed.Bed(record, ZONES)
    whole.add_daemons("north-a", "north-a", "north-b", "north-c")
    for number in range(4):
        for zone in ZONES:
            leaf = bed.Leaf(whole, "finder", zone, f"{zone}-{number}")
            whole.leafs.append(leaf)
    store = whole.store
    routes = [bed.route("look", "idempotent", backend="finder")]
    asking = True
    statuses: dict[int, int] = {}

    async def requester(daemon: bed.Daemon) -> None:
        sent = 0
        while asking:
            sent += 1
            name = f"{daemon.name}-{sent}"
            answer = await bed.ask(whole, daemon, "GET", "/look/item", name)
            statuses[answer.status] = statuses.get(answer.status, 0) + 1
            await asyncio.sleep(PERIOD_S)

    def change_manifest() -> dict:
        spec = whole.manifest([{**routes[0], "timeout_ms": 6000 + whole.version}])
        revision = store.put("config", "main", spec)
        record(f"operator: manifest {spec['version']} at revision {revision}")
        return spec

    requesters = []
    try:
        await whole.start(routes)
        requesters = [asyncio.create_task(requester(d)) for d in whole.daemons]
        await asyncio.sleep(3.0)
        saved = store.copy()
        record(f"copy of the store at revision {store.revision}")
        taken_s = record.now()
        newest = {}
        for _ in range(STORM):
            newest = change_manifest()
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(max(0.0, taken_s + COPY_AGE_S - record.now()))
        if trouble:
            record(f"the store goes away at revision {store.revision}")
            await store.go_away()
            await asyncio.sleep(AWAY_S)
            await store.come_back_from(saved)
            record(f"the store is back from the copy, era {store.era}")
            # What the operator and the leafs wrote is written again.
            store.put("config", "main", newest)
            for leaf in whole.leafs:
                leaf.register()
        await asyncio.sleep(CONTACT_S + 4.0)
        record(f"the store has been stable for {CONTACT_S + 4.0} s")
        acked = store.put("evacuations", OUT, {})
        ordered_s = record.now()
        record(f"operator: {OUT} evacuated, acknowledged at revision {acked}")
        for leaf in whole.leafs:
            if leaf.zone == OUT:  # they have become cold
                leaf.more = {"cold_remaining_ms": 3000}
                leaf.register()
        record(f"the leafs of {OUT} are cold, revision {store.revision}")
        await asyncio.sleep(WATCHED_S)
        asking = False
        await asyncio.gather(*requesters)
        for daemon in whole.daemons:
            closed = daemon.log_lines("zones_closed")
            record(f"{daemon.name} has logged {len(closed)} zones_closed")
    finally:
        for task in requesters:
            task.cancel()
        whole.stop()
    late = [
        (at_s - ordered_s, name)
        for leaf in whole.leafs
        if leaf.zone == OUT
        for at_s, name in leaf.arrivals
        if at_s > ordered_s + EVACUATE_S
    ]
    record(f"answers by status: {statuses}")
    by_daemon = {d.name: 0 for d in whole.daemons}
    for _, name in late:
        by_daemon[name.rpartition("-")[0]] += 1
    record(f"requests at leafs of {OUT} later than {EVACUATE_S} s after the ack:")
    record(f"{len(late)} in all, by daemon: {by_daemon}")
    if late:
        record(f"the last one {max(late)[0]:.3f} s after the ack")
    if not statuses.get(200):
        raise bed.NotRunError("no request was served")
    return not late


bed.main(case)
