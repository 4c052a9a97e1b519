"""A request crashes each leaf that runs it and comes again: it must reach few leafs."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from bed_2 import TROUBLE, Bed, Caller, Leaf, route, run_case  # noqa: E402
from snipemount.ports.platform import Kind  # noqa: E402

LEAFS = 7
WORK_S = 0.16
TIME_LIMIT_MS = 6000
DOWN_S = 3.0
LAPSE_S = 3.6  # three heartbeats
CONTACT_S = 4.0
RETRY_EVERY_S = 2.0
RETRIES = 15
MAX_RETRIES = 3  # that reach leafs later than CONTACT_S after the third crash
LOGS_PER_S = 60.0
POISON = b"returned: chain 0x00"


class Hub:
    """What the leafs of the service have run and how often they have crashed."""

    def __init__(self, bed: Bed) -> None:
        self.bed = bed
        self.crashed_at: list[float] = []
        self.poison_runs: list[tuple[float, str]] = []
        self.starts = 0
        self.tasks: set[asyncio.Task] = set()

    async def start_leaf(self) -> HubLeaf:
        self.starts += 1
        return await self.bed.add_leaf(HubLeaf(self, f"i-{self.starts}"))

    def spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class HubLeaf(Leaf):
    def __init__(self, hub: Hub, name: str) -> None:
        super().__init__(hub.bed, name, "returns-hub", 3)
        self.hub = hub
        self.connections: set[asyncio.StreamWriter] = set()

    async def _serve(self, reader, writer) -> None:
        self.connections.add(writer)
        try:
            await super()._serve(reader, writer)
        finally:
            self.connections.discard(writer)

    async def answer(self, head, body, reader, writer) -> bool:
        self.note_run(head)
        if body == POISON:
            self.hub.poison_runs.append((time.monotonic(), head.request_id))
            if TROUBLE:
                self.hub.spawn(self.crash())
                return False
        await asyncio.sleep(WORK_S)
        writer.write(self.ok(head, b"noted"))
        return True

    async def crash(self) -> None:
        """End without a word; the entry lapses, and a new start follows."""
        self.bed.record.write(f"leaf {self.name} crashes")
        self.hub.crashed_at.append(time.monotonic())
        await self.stop()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        await self.hub.start_leaf()
        await asyncio.sleep(LAPSE_S - DOWN_S)
        self.bed.store.delete(Kind.LEAF, self.name)


async def play(bed: Bed) -> bool | None:
    hub = Hub(bed)
    for _ in range(LEAFS):
        await hub.start_leaf()
    bed.configure(
        [
            route("log", "returns-hub", idempotent=False, timeout_ms=TIME_LIMIT_MS),
            route("find", "returns-hub", timeout_ms=TIME_LIMIT_MS),
        ]
    )
    daemon = await bed.add_daemon("edge-1")
    if not await daemon.wait_ready():
        return None
    await asyncio.sleep(CONTACT_S)
    statuses: dict[str, int] = {}
    ended = False

    async def log(number: int) -> None:
        caller = await Caller(bed, daemon).open()
        request_id = f"a{number:015x}"
        caller.send("/log/a", request_id, "POST", b"chain %d" % number, TIME_LIMIT_MS)
        statuses[request_id] = (await caller.receive(request_id)).status
        caller.close()

    async def log_all() -> None:
        number = 0
        while not ended:
            hub.spawn(log(number))
            number += 1
            await asyncio.sleep(1.0 / LOGS_PER_S)

    logging = asyncio.ensure_future(log_all())
    for number in range(RETRIES):
        caller = await Caller(bed, daemon).open()
        request_id = f"b{number:015x}"
        caller.send("/find/a", request_id, "POST", POISON, TIME_LIMIT_MS)
        await caller.receive(request_id)
        caller.close()
        await asyncio.sleep(RETRY_EVERY_S)
    ended = True
    await logging
    await asyncio.sleep(1.0)
    late: set[str] = set()
    if len(hub.crashed_at) >= 3:
        after = hub.crashed_at[2] + CONTACT_S
        late = {request_id for at, request_id in hub.poison_runs if at > after}
    lost = sum(status not in (200, 503) for status in statuses.values())
    bed.record.write(
        f"crashes {len(hub.crashed_at)}, leafs reached {len(hub.poison_runs)}"
    )
    bed.record.write(
        f"retries that reached leafs late: {len(late)}, allowed {MAX_RETRIES}"
    )
    bed.record.write(f"non_idempotent requests of others: {len(statuses)}, lost {lost}")
    return len(late) <= MAX_RETRIES


run_case("9", play)
