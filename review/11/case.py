"""A late additional refusal without an id: a request that may run once runs twice."""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import bed_3 as bed

SECONDS = 20.0
SPOILT_SHARE = 0.03  # of the answers of a faulty leaf
CLIENTS = 4
EXTRA = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class FaultyLeaf(bed.Leaf):
    """Sends additional bytes after some complete answers, late."""

    random = random.Random(1)
    extras = 0

    async def handle(self, head, reader, writer) -> bool:
        if not getattr(writer, "owes_extra", False):
            await super().handle(head, reader, writer)
            writer.owes_extra = self.random.random() < SPOILT_SHARE
            return True
        # What is left of the answer before arrives where the next one is expected.
        writer.owes_extra = False
        await bed.read_body(reader, head)
        request_id = head.get("x-request-id")
        self.note_run(request_id)
        await asyncio.sleep(0.005)
        type(self).extras += 1
        self.bed.record(f"{self.id} sends the additional bytes, {request_id} runs")
        writer.write(EXTRA)
        await asyncio.sleep(self.work_s)
        body = bed.records(request_id, self.service)
        self.write(writer, 200, request_id, body, self.receipt(request_id))
        return True


async def case(record: bed.Recorder, trouble: bool) -> bool:
    whole = bed.Bed(record)
    whole.add_daemons("north-a")
    kinds = (FaultyLeaf, FaultyLeaf, bed.Leaf) if trouble else (bed.Leaf,) * 3
    for number, kind in enumerate(kinds):
        whole.leafs.append(kind(whole, "ledger", "north-a", number))
    try:
        await whole.start([bed.route("log", "non_idempotent", backend="ledger")])
        ends = record.now() + SECONDS
        statuses: Counter[int] = Counter()

        async def client(number: int) -> None:
            sent = 0
            while record.now() < ends:
                sent += 1
                name = f"c{number}-{sent}"
                answer = await bed.ask(
                    whole, whole.daemons[0], "POST", "/log/item", name, body=b"return"
                )
                statuses[answer.status] += 1
                await asyncio.sleep(0.01)

        await asyncio.gather(*(client(n) for n in range(CLIENTS)))
        await asyncio.sleep(0.5)
    finally:
        whole.stop()
    runs = Counter(name for leaf in whole.leafs for _, name in leaf.runs)
    twice = [name for name, count in runs.items() if count > 1]
    record(f"answers by status: {dict(statuses)}")
    record(f"requests run: {len(runs)}; additional bytes sent: {FaultyLeaf.extras}")
    record(f"requests run more than once: {len(twice)}: {', '.join(twice)}")
    if not statuses[200]:
        raise bed.NotRunError("no request was served")
    return not twice


bed.main(case)
