"""The promises that a soak checks, from what callers and leafs have seen."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from ..decisions.record_merge import greatest_records
from ..standins.platform_leaf import records_for
from .deployment import LEDGER, RECORDS, SHARDS, TOP_K
from .records import Ending

if TYPE_CHECKING:
    from .records import Attempt, LeafRun, Records

NOT_RUN_STATUSES = (408, 421, 429, 503)
MOST_ATTEMPTS = 2
LEAST_COVERAGE = 0.5
SECOND_SEND_RATIO = 0.2
SECOND_SEND_SLACK = 56.0
WINDOW_MS = 10_000.0
DRAIN_MS = 3000.0
SETTLE_MS = 4000.0  # a disturbance counts so long after its end
GRACE_MS = 6000.0
LEAST_SERVED = 0.25


def check(records: Records) -> list[str]:
    """Return the promises that were broken, one line each, without those of time."""
    runs = records.runs_by_request()
    found: list[str] = []
    for attempt in records.attempts:
        found += _answer(attempt, runs.get(attempt.request_id, []))
        found += _fate(attempt, runs.get(attempt.request_id, []))
    found += _places(records)
    return found


def check_times(records: Records, end_ms: float) -> list[str]:
    """Return the promises with a bound of time that were broken."""
    return [
        *_second_sends(records),
        *_drained(records),
        *_cut_by_stops(records),
        *_recovered(records, end_ms),
    ]


def _answer(attempt: Attempt, runs: list[LeafRun]) -> list[str]:
    if attempt.ending is not Ending.ANSWERED or not 200 <= attempt.status < 300:
        return []
    services = {f"{run.leaf_id}.{run.request_id}": run.service for run in runs}
    if any(receipt not in services for receipt in attempt.receipts):
        return [f"{attempt.request_id}: a receipt of no run of this request"]
    named = [services[receipt] for receipt in attempt.receipts]
    if not named or len(set(named)) != len(named):
        return [f"{attempt.request_id}: no receipt, or two of one service"]
    if attempt.route == "find":
        return _query(attempt, named)
    if attempt.body != records_for(attempt.request_id, named[0], RECORDS):
        return [f"{attempt.request_id}: not the leaf's body"]
    return []


def _query(attempt: Attempt, named: list[str]) -> list[str]:
    if len(named) + attempt.missing != len(SHARDS):
        return [f"{attempt.request_id}: parts and missing ones do not add up"]
    if len(named) < LEAST_COVERAGE * len(SHARDS):
        return [f"{attempt.request_id}: too few parts for a success"]
    parts = (records_for(attempt.request_id, service, RECORDS) for service in named)
    if attempt.body != greatest_records(parts, TOP_K):
        return [f"{attempt.request_id}: not the greatest records of its parts"]
    return []


def _fate(attempt: Attempt, runs: list[LeafRun]) -> list[str]:
    most = 1 if attempt.route == "log" else MOST_ATTEMPTS
    counts = Counter(run.service for run in runs)
    found = [
        f"{attempt.request_id}: ran {count} times at {service}"
        for service, count in counts.items()
        if count > most
    ]
    refused = attempt.status in NOT_RUN_STATUSES
    if attempt.route == "log" and refused and runs:
        found.append(f"{attempt.request_id}: said not to have run, and ran")
    return found


def _places(records: Records) -> list[str]:
    routes = {attempt.request_id: attempt.route for attempt in records.attempts}
    found = []
    for run in records.runs:
        route = routes.get(run.request_id)
        allowed = SHARDS if route == "find" else (LEDGER,)
        if route is None or run.service not in allowed:
            found.append(f"{run.request_id}: ran at {run.service}, route {route}")
    return found


def _second_sends(records: Records) -> list[str]:
    """Look at each window that ends with a second send."""
    asked: defaultdict[str, list[float]] = defaultdict(list)
    for attempt in records.attempts:
        for service in SHARDS if attempt.route == "find" else (LEDGER,):
            asked[service].append(attempt.sent_ms)
    seen: set[tuple[str, str]] = set()
    extra: defaultdict[str, list[float]] = defaultdict(list)
    for run in records.arrivals:
        key = (run.request_id, run.service)
        if key in seen:
            extra[run.service].append(run.at_ms)
        seen.add(key)
    found = []
    for service, times in extra.items():
        for at_ms in times:
            sent = sum(at_ms - WINDOW_MS < t <= at_ms for t in times)
            owed = sum(at_ms - WINDOW_MS < t <= at_ms for t in asked[service])
            if sent > SECOND_SEND_RATIO * owed + SECOND_SEND_SLACK:
                found.append(f"{service}: {sent} second sends for {owed} requests")
                break
    return found


def _disturbed(records: Records, from_ms: float, to_ms: float, but: str = "") -> bool:
    return any(
        fault.from_ms <= to_ms and from_ms <= fault.to_ms + SETTLE_MS
        for fault in records.disturbances
        if fault.kind != but
    )


def _drained(records: Records) -> list[str]:
    found = []
    for run in records.arrivals:
        left_ms = records.left_at_ms.get(run.leaf_id)
        if left_ms is None or run.at_ms <= left_ms + DRAIN_MS:
            continue
        if not _disturbed(records, left_ms, run.at_ms, but="leaf_drains"):
            found.append(f"{run.request_id}: reached {run.leaf_id}, which had left")
    return found


def _cut_by_stops(records: Records) -> list[str]:
    found = []
    for stop in records.disturbances:
        if stop.kind != "daemon_stops":
            continue
        for attempt in records.attempts:
            if attempt.daemon != stop.subject or attempt.ending is not Ending.CUT:
                continue
            within = stop.from_ms <= attempt.ended_ms <= stop.from_ms + GRACE_MS
            alone = not _disturbed(
                records, attempt.sent_ms, attempt.ended_ms, but="daemon_stops"
            )
            if within and alone:
                found.append(f"{attempt.request_id}: cut by a planned stop")
    return found


def _recovered(records: Records, end_ms: float) -> list[str]:
    last_ms = max((f.to_ms for f in records.disturbances), default=0.0)
    calm = [
        attempt
        for attempt in records.attempts
        if attempt.sent_ms > last_ms + SETTLE_MS
        and attempt.ending in (Ending.ANSWERED, Ending.CUT, Ending.UNREACHABLE)
    ]
    served = sum(a.ending is Ending.ANSWERED and a.status == 200 for a in calm)
    if end_ms > last_ms + SETTLE_MS and served < LEAST_SERVED * len(calm):
        return [f"after the last fault only {served} of {len(calm)} were served"]
    return []


__all__ = ["check", "check_times"]
