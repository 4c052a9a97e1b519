"""The store comes back from an older copy: an acknowledged manifest is never in force."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import bed_3 as bed

ZONES = ("north-a", "north-b", "north-c")
CONFIG_APPLY_S = 3.0
MAX_SKEW_S = 12.0  # by which an unstable core stretches the bound
COPY_AGE_S = 3.0  # "a copy some seconds old"
AWAY_S = 0.5  # "away for a moment"
CHANGES = 2  # manifests in the seconds that the store loses
WATCHED_S = 10.0  # after the stretched bound
PERIOD_S = 0.1  # of the requests at each daemon


async def case(record: bed.Recorder, trouble: bool) -> bool:
    whole = bed.Bed(record, ZONES)
    whole.add_daemons("north-a", "north-a", "north-b", "north-c")
    for service in ("old", "new"):
        for zone in ZONES:
            whole.leafs.append(bed.Leaf(whole, service, zone, zone))
    store = whole.store
    to_old = bed.route("look", "idempotent", backend="old")
    to_new = bed.route("look", "idempotent", backend="new")
    asking = True
    answers: list[tuple[bed.Daemon, bed.Answer]] = []

    async def requester(daemon: bed.Daemon) -> None:
        sent = 0
        while asking:
            sent += 1
            name = f"{daemon.name}-{sent}"
            answer = await bed.ask(whole, daemon, "GET", "/look/item", name)
            answers.append((daemon, answer))
            await asyncio.sleep(PERIOD_S)

    def change_manifest(route: dict) -> dict:
        spec = whole.manifest([route])
        revision = store.put("config", "main", spec)
        service = route["backend"]
        record(f"operator: manifest {spec['version']} ({service}), revision {revision}")
        return spec

    requesters = []
    try:
        await whole.start([to_old])
        requesters = [asyncio.create_task(requester(d)) for d in whole.daemons]
        await asyncio.sleep(3.0)
        saved = store.copy()
        taken_s = record.now()
        record(f"copy of the store at revision {store.revision}")
        newest = {}
        for number in range(CHANGES):
            newest = change_manifest({**to_old, "timeout_ms": 5000 + number})
            await asyncio.sleep(COPY_AGE_S / (CHANGES + 1))
        await asyncio.sleep(max(0.0, taken_s + COPY_AGE_S - record.now()))
        if trouble:
            record(f"the store goes away at revision {store.revision}")
            await store.go_away()
            await asyncio.sleep(AWAY_S)
            await store.come_back_from(saved)
            record(f"back from the copy, era {store.era}, revision {store.revision}")
            # What the operator and the leafs wrote is written again.
            for leaf in whole.leafs:
                leaf.register()
            revision = store.put("config", "main", newest)
            record(f"operator: manifest {newest['version']} again, revision {revision}")
        last = change_manifest(to_new)
        acked_s = record.now()
        due_s = acked_s + CONFIG_APPLY_S + (MAX_SKEW_S if trouble else 0.0)
        await asyncio.sleep(due_s + WATCHED_S - record.now())
        asking = False
        await asyncio.gather(*requesters)
        for daemon in whole.daemons:
            lines = daemon.log_lines("configuration_in_force")
            record(f"{daemon.name}: {lines[-1] if lines else 'no manifest in force'}")
    finally:
        for task in requesters:
            task.cancel()
        whole.stop()
    old = {d.name: 0 for d in whole.daemons}
    for daemon, answer in answers:
        stamp = answer.head.get("x-server-stamp") if answer.head else ""
        if answer.sent_s > due_s and stamp.startswith("i-old"):
            old[daemon.name] += 1
    served = sum(answer.status == 200 for _, answer in answers)
    record(f"requests: {len(answers)}, served: {served}")
    record(f"manifest {last['version']} was acknowledged at {acked_s:.3f} s")
    record(f"run by the old service, sent later than {due_s:.3f} s: {old}")
    if not served:
        raise bed.NotRunError("no request was served")
    return not any(old.values())


bed.main(case)
