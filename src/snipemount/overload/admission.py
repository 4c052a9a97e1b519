"""Admission: decides which requests start, wait or are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .level import FLOOR_SHARE
from .request import Admitted, Queued, Refused
from .service_group import ServiceGroup
from .signal import ServiceSignal
from .waiting import WaitingRequests

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from ..model.forwarding import LoadReport
    from .request import AdmissionRequest, Decision
    from .waiting import WaitingRequest

# A refused caller retries after at most a third of its remaining time.
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
MAX_WAIT_SHARE = 0.5  # of the time left; the rest is for an answer, or a retry
MIN_RETRY_AFTER_MS = 50.0
MAX_GROUPS = 256
MAX_SERVICES = 4096


class Admission:
    """Decides for the requests of one daemon by the load that leafs report.

    Parameters
    ----------
    random : Random
        Source of the positions of requests and of the spread of retries.
    leaf_count : Callable
        Returns how many leafs of a service may be asked.
    """

    def __init__(self, random: Random, leaf_count: Callable[[str], int]) -> None:
        self._random = random
        self._leaf_count = leaf_count
        self._signals: dict[str, ServiceSignal] = {}
        self._groups: dict[tuple[tuple[str, ...], float], ServiceGroup] = {}
        self._waiting = WaitingRequests()

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @property
    def groups(self) -> Iterable[ServiceGroup]:
        """The services and groups of shards that requests have asked."""
        return self._groups.values()

    def note_report(
        self, service: str, leaf_id: str, load: LoadReport, now_ms: float
    ) -> None:
        """Record the load that a leaf reports."""
        self._signal(service).note_report(leaf_id, load, now_ms)

    def note_refusal(self, service: str, leaf_id: str, now_ms: float) -> None:
        """Record that a leaf refused a request for lack of capacity."""
        self._signal(service).note_refusal(leaf_id, now_ms)

    def decide(self, request: AdmissionRequest, now_ms: float) -> Decision:
        """Return whether a request starts, waits or is refused."""
        group = self._group(request)
        level = group.level
        level.note_rank(request.rank, now_ms)
        group.served.note_arrived(request.organisation, now_ms)
        group.update(now_ms)
        left_ms = request.deadline_at_ms - now_ms
        expected_ms = group.expected_ms(request.typical_ms)
        if group.is_over_target and expected_ms > left_ms:
            return Refused(self._retry_after_ms(expected_ms, left_ms))
        share = level.share(request.rank)
        if share >= 1.0:
            return self._admit(request, group, now_ms)
        position = self._random.random()
        least_share = group.served.min_share(request.organisation, share)
        if position < max(share, least_share):
            return self._admit(request, group, now_ms)
        wait_ms = level.ms_until(request.rank, position)
        max_wait_ms = min(MAX_WAIT_SHARE * left_ms, left_ms - expected_ms)
        if wait_ms > max_wait_ms or not self._waiting.make_room(request.rank):
            return Refused(self._retry_after_ms(wait_ms, left_ms))
        refuse_at_ms = now_ms + max_wait_ms
        return Queued(self._waiting.add(request, group, position, refuse_at_ms))

    def leave(self, ticket: int) -> None:
        """Drop a waiting request, as its caller has left."""
        self._waiting.remove(ticket)

    def release(self, now_ms: float) -> list[tuple[int, Admitted | Refused]]:
        """Return the tickets of requests that do not wait any more."""
        for group in {waiting.group for waiting in self._waiting}:
            group.update(now_ms)
        released: list[tuple[int, Admitted | Refused]] = []
        for waiting in self._waiting.take_startable():
            self._admit(waiting.request, waiting.group, now_ms)
            released.append((waiting.ticket, Admitted()))
        for waiting in self._waiting:
            if now_ms < waiting.refuse_at_ms and not waiting.displaced:
                continue
            self._waiting.remove(waiting.ticket)
            request = waiting.request
            if self._is_worth_trying(waiting, now_ms):
                self._admit(request, waiting.group, now_ms)
                released.append((waiting.ticket, Admitted()))
                continue
            wait_ms = waiting.group.level.ms_until(request.rank, waiting.position)
            left_ms = request.deadline_at_ms - now_ms
            refused = Refused(self._retry_after_ms(wait_ms, left_ms))
            released.append((waiting.ticket, refused))
        return released

    @staticmethod
    def _is_worth_trying(waiting: WaitingRequest, now_ms: float) -> bool:
        """Return whether a request starts that has waited as long as it may."""
        request, group = waiting.request, waiting.group
        left_ms = request.deadline_at_ms - now_ms
        if waiting.displaced or group.expected_ms(request.typical_ms) > left_ms:
            return False
        return not group.level.holds_more_urgent(request.rank)

    def refuse_all(self, now_ms: float) -> list[tuple[int, Refused]]:
        """Return the tickets of all waiting requests, as the process stops."""
        refused = []
        for waiting in self._waiting:
            self._waiting.remove(waiting.ticket)
            left_ms = waiting.request.deadline_at_ms - now_ms
            refused.append(
                (waiting.ticket, Refused(self._retry_after_ms(0.0, left_ms)))
            )
        return refused

    def retry_after_ms(self, request: AdmissionRequest, now_ms: float) -> float:
        """Return when to repeat a request that all leafs have refused."""
        group = self._group(request)
        group.update(now_ms)
        wait_ms = max(
            group.expected_ms(request.typical_ms),
            group.level.ms_until(request.rank, 1.0 - FLOOR_SHARE),
        )
        return self._retry_after_ms(wait_ms, request.deadline_at_ms - now_ms)

    def update(self, now_ms: float) -> None:
        """Let the levels fall of services that no request asks any more."""
        for group in self._groups.values():
            if group.level.held_ranks:
                group.update(now_ms)

    def _admit(
        self, request: AdmissionRequest, group: ServiceGroup, now_ms: float
    ) -> Admitted:
        group.served.note_started(request.organisation, now_ms)
        return Admitted()

    def _retry_after_ms(self, wait_ms: float, left_ms: float) -> float:
        """Return a time spread over once to twice the wait, within its bound."""
        wait_ms = max(MIN_RETRY_AFTER_MS, wait_ms)
        most_ms = max(0.0, MAX_RETRY_AFTER_SHARE * left_ms)
        spread_from_ms = min(wait_ms, most_ms / 2.0)
        spread_to_ms = min(2.0 * wait_ms, most_ms)
        return self._random.uniform(spread_from_ms, spread_to_ms)

    def _signal(self, service: str) -> ServiceSignal:
        found = self._signals.get(service)
        if found is None:
            if len(self._signals) >= MAX_SERVICES:
                self._signals.clear()
            found = self._signals[service] = ServiceSignal()
        return found

    def _group(self, request: AdmissionRequest) -> ServiceGroup:
        key = request.services, request.min_share
        found = self._groups.get(key)
        if found is None:
            if len(self._groups) >= MAX_GROUPS:
                self._groups.clear()
            found = self._groups[key] = ServiceGroup(
                request.services, request.min_share, self._signals, self._leaf_count
            )
        return found


__all__ = ["Admission"]
