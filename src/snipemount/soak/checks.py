"""Guarantees that a soak checks against the records of callers and leafs."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from ..decisions.query.record_merge import greatest_records
from ..standins.platform_leaf import records_for
from .deployment import LEDGER, RECORDS_PER_LEAF, SHARDS, TOP_K
from .records import CallerOutcome

if TYPE_CHECKING:
    from .records import CallerRequest, LeafArrival, Records

NOT_RUN_STATUSES = (408, 421, 429, 503)
MAX_ATTEMPTS = 2
MIN_COVERAGE = 0.5
EXTRA_ATTEMPT_RATIO = 0.2
EXTRA_ATTEMPT_SLACK = 56.0
BUDGET_WINDOW_MS = 10_000.0
LEAF_DRAIN_MS = 3000.0
SETTLE_MS = 4000.0  # a fault may still have effects this long after its end
SHUTDOWN_GRACE_MS = 6000.0
MIN_SERVED_SHARE = 0.25


def check_safety(records: Records) -> list[str]:
    """Return one line for each violated guarantee that does not depend on time."""
    runs = records.runs_by_request()
    violations: list[str] = []
    for request in records.requests:
        violations += _response_violations(request, runs.get(request.request_id, []))
        violations += _execution_violations(request, runs.get(request.request_id, []))
    violations += _service_violations(records)
    return violations


def check_timing(records: Records, end_ms: float) -> list[str]:
    """Return one line for each violated guarantee on rates and times.

    Parameters
    ----------
    records : Records
        Records of the soak.
    end_ms : float
        End of the soak; service must have recovered from the last fault by then.
    """
    return [
        *_budget_violations(records),
        *_drain_violations(records),
        *_stop_violations(records),
        *_recovery_violations(records, end_ms),
    ]


def _response_violations(request: CallerRequest, runs: list[LeafArrival]) -> list[str]:
    if request.outcome is CallerOutcome.MALFORMED:
        return [f"{request.request_id}: the response is not valid HTTP"]
    if request.outcome is not CallerOutcome.ANSWERED or not 200 <= request.status < 300:
        return []
    services = {f"{run.leaf_id}.{run.request_id}": run.service for run in runs}
    if any(receipt not in services for receipt in request.receipts):
        return [
            f"{request.request_id}: a receipt that belongs to no run of this request"
        ]
    answering = [services[receipt] for receipt in request.receipts]
    if not answering or len(set(answering)) != len(answering):
        return [f"{request.request_id}: no receipt, or two receipts of one service"]
    if request.route == "find":
        return _query_violations(request, answering)
    if request.body != records_for(request.request_id, answering[0], RECORDS_PER_LEAF):
        return [f"{request.request_id}: the body is not that of the leaf"]
    return []


def _query_violations(request: CallerRequest, answering: list[str]) -> list[str]:
    if len(answering) + request.missing != len(SHARDS):
        return [
            f"{request.request_id}: parts and missing parts do not add up to all shards"
        ]
    if len(answering) < MIN_COVERAGE * len(SHARDS):
        return [f"{request.request_id}: fewer parts than the minimum coverage"]
    parts = (
        records_for(request.request_id, service, RECORDS_PER_LEAF)
        for service in answering
    )
    if request.body != greatest_records(parts, TOP_K):
        return [
            f"{request.request_id}: the body is not the greatest records of its parts"
        ]
    return []


def _execution_violations(request: CallerRequest, runs: list[LeafArrival]) -> list[str]:
    limit = 1 if request.route == "log" else MAX_ATTEMPTS
    counts = Counter(run.service for run in runs)
    violations = [
        f"{request.request_id}: ran {count} times at {service}"
        for service, count in counts.items()
        if count > limit
    ]
    refused = request.status in NOT_RUN_STATUSES
    if request.route == "log" and refused and runs:
        violations.append(
            f"{request.request_id}: reported as not executed, but executed"
        )
    return violations


def _service_violations(records: Records) -> list[str]:
    routes = {request.request_id: request.route for request in records.requests}
    violations = []
    for run in records.runs:
        route = routes.get(run.request_id)
        allowed = SHARDS if route == "find" else (LEDGER,)
        if route is None or run.service not in allowed:
            violations.append(f"{run.request_id}: ran at {run.service}, route {route}")
    return violations


def _budget_violations(records: Records) -> list[str]:
    """Check the budget in each window that ends with an extra attempt."""
    request_times: defaultdict[str, list[float]] = defaultdict(list)
    for request in records.requests:
        for service in SHARDS if request.route == "find" else (LEDGER,):
            request_times[service].append(request.sent_ms)
    seen: set[tuple[str, str]] = set()
    extra_times: defaultdict[str, list[float]] = defaultdict(list)
    for arrival in records.arrivals:
        key = (arrival.request_id, arrival.service)
        if key in seen:
            extra_times[arrival.service].append(arrival.at_ms)
        seen.add(key)
    violations = []
    for service, times in extra_times.items():
        for at_ms in times:
            extra_count = sum(at_ms - BUDGET_WINDOW_MS < t <= at_ms for t in times)
            request_count = sum(
                at_ms - BUDGET_WINDOW_MS < t <= at_ms for t in request_times[service]
            )
            if extra_count > EXTRA_ATTEMPT_RATIO * request_count + EXTRA_ATTEMPT_SLACK:
                violations.append(
                    f"{service}: {extra_count} extra attempts for "
                    f"{request_count} requests"
                )
                break
    return violations


def _fault_between(
    records: Records, start_ms: float, end_ms: float, except_kind: str = ""
) -> bool:
    return any(
        fault.start_ms <= end_ms and start_ms <= fault.end_ms + SETTLE_MS
        for fault in records.faults
        if fault.kind != except_kind
    )


def _drain_violations(records: Records) -> list[str]:
    violations = []
    for arrival in records.arrivals:
        drain_start_ms = records.drain_started_ms.get(arrival.leaf_id)
        if drain_start_ms is None or arrival.at_ms <= drain_start_ms + LEAF_DRAIN_MS:
            continue
        if not _fault_between(
            records, drain_start_ms, arrival.at_ms, except_kind="leaf_drains"
        ):
            violations.append(
                f"{arrival.request_id}: reached {arrival.leaf_id} after its drain time"
            )
    return violations


def _stop_violations(records: Records) -> list[str]:
    violations = []
    for stop in records.faults:
        if stop.kind != "daemon_stops":
            continue
        for request in records.requests:
            if (
                request.daemon != stop.subject
                or request.outcome is not CallerOutcome.CONNECTION_LOST
            ):
                continue
            within = (
                stop.start_ms <= request.ended_ms <= stop.start_ms + SHUTDOWN_GRACE_MS
            )
            only_fault = not _fault_between(
                records, request.sent_ms, request.ended_ms, except_kind="daemon_stops"
            )
            if within and only_fault:
                violations.append(
                    f"{request.request_id}: connection lost at a planned stop"
                )
    return violations


def _recovery_violations(records: Records, end_ms: float) -> list[str]:
    last_fault_ms = max((f.end_ms for f in records.faults), default=0.0)
    settled = [
        request
        for request in records.requests
        if request.sent_ms > last_fault_ms + SETTLE_MS
        and request.outcome
        in (
            CallerOutcome.ANSWERED,
            CallerOutcome.CONNECTION_LOST,
            CallerOutcome.UNREACHABLE,
        )
    ]
    served = sum(
        a.outcome is CallerOutcome.ANSWERED and a.status == 200 for a in settled
    )
    if end_ms > last_fault_ms + SETTLE_MS and served < MIN_SERVED_SHARE * len(settled):
        return [
            f"after the last fault only {served} of {len(settled)} requests were served"
        ]
    return []


__all__ = ["check_safety", "check_timing"]
