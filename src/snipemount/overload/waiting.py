"""Bounded queue of the requests that wait for the level."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .request import AdmissionRequest
    from .service_group import ServiceGroup

MAX_WAITING = 32  # bounds memory: bodies of 262,144 bytes at most


@attrs.define(eq=False)
class WaitingRequest:
    """A request that waits.

    Parameters
    ----------
    ticket : int
        Identifies it.
    request : AdmissionRequest
        The request.
    group : ServiceGroup
        Services that it asks.
    position : float
        Its position among its rank's requests; lower ones start first.
    refuse_at_ms : float
        Time at which it is refused if it has not started.
    displaced : bool
        Whether a more urgent request has taken its place, so that it is refused.
    """

    ticket: int
    request: AdmissionRequest
    group: ServiceGroup
    position: float
    refuse_at_ms: float
    displaced: bool = False


class WaitingRequests:
    """Requests in the order in which they start: by rank, deadline and served share."""

    def __init__(self) -> None:
        self._waiting: dict[int, WaitingRequest] = {}
        self._tickets = count()

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Return the waiting requests in the order of their arrival."""
        return iter(list(self._waiting.values()))

    def make_room(self, rank: int) -> bool:
        """Return whether a request of a rank may wait.

        If the queue is full it takes the place of the last one of a less urgent rank.
        """
        waiting = [entry for entry in self._waiting.values() if not entry.displaced]
        if len(waiting) < MAX_WAITING:
            return True
        last = max(waiting, key=_displacement_order)
        last.displaced = last.request.rank > rank
        return last.displaced

    def add(
        self,
        request: AdmissionRequest,
        group: ServiceGroup,
        position: float,
        refuse_at_ms: float,
    ) -> int:
        """Let a request wait; return its ticket."""
        ticket = next(self._tickets)
        self._waiting[ticket] = WaitingRequest(
            ticket, request, group, position, refuse_at_ms
        )
        return ticket

    def remove(self, ticket: int) -> None:
        """Drop a request if it waits."""
        self._waiting.pop(ticket, None)

    def take_startable(self) -> list[WaitingRequest]:
        """Remove and return the requests that start at the present levels.

        As many of a rank start as have a position within its share; the ones with the
        earliest deadlines get the lowest positions.
        """
        by_rank: dict[tuple[int, int], list[WaitingRequest]] = {}
        for waiting in self._waiting.values():
            if waiting.displaced:
                continue
            key = waiting.request.rank, id(waiting.group)
            by_rank.setdefault(key, []).append(waiting)
        startable: list[WaitingRequest] = []
        for key in sorted(by_rank):
            startable += self._startable_of(by_rank[key])
        for waiting in startable:
            del self._waiting[waiting.ticket]
        return startable

    @staticmethod
    def _startable_of(waiting: Iterable[WaitingRequest]) -> list[WaitingRequest]:
        ordered = sorted(waiting, key=_start_order)
        positions = sorted(entry.position for entry in ordered)
        for entry, position in zip(ordered, positions, strict=True):
            entry.position = position
        return [
            entry
            for entry in ordered
            if entry.position <= entry.group.level.share(entry.request.rank)
        ]


def _displacement_order(waiting: WaitingRequest) -> tuple[int, float]:
    return waiting.request.rank, waiting.request.deadline_at_ms


def _start_order(waiting: WaitingRequest) -> tuple[float, float]:
    request = waiting.request
    share = waiting.group.level.share(request.rank)
    return (
        request.deadline_at_ms,
        waiting.group.served.share(request.organisation, share),
    )


__all__ = ["WaitingRequest", "WaitingRequests"]
