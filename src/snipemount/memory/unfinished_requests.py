"""Requests that callers have not finished: which are overdue, and which to shed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

from .byte_budget import ByteBudget

if TYPE_CHECKING:
    from collections.abc import Hashable

# Shedding frees this share of the budget in addition: choosing sorts all requests.
SHED_SHARE = 1 / 16

Owner = TypeVar("Owner", bound="Hashable")


class Stage(Enum):
    """What a caller's connection holds memory for."""

    HEAD = "head"  # the head is incomplete
    BODY = "body"  # the body is incomplete
    SERVED = "served"  # the request is being served
    QUEUED = "queued"  # further requests wait behind the one being served
    RESPONSE = "response"  # the caller has not read its response


class Overdue(Enum):
    """Why a request is cut off for lack of progress."""

    HEAD = "header_timeout"
    BODY = "body_timeout"
    RESPONSE = "response_timeout"


@attrs.frozen
class ProgressTimeouts:
    """Times within which callers have to make progress.

    Parameters
    ----------
    body_ms : float
        Maximum time for a whole body.
    stall_ms : float
        Maximum time without progress of a body, or of reading a response.
    """

    body_ms: float = 30_000.0
    stall_ms: float = 5_000.0


@attrs.define
class _Record:
    stage: Stage
    held: int
    started_ms: float
    progress_ms: float


class UnfinishedRequests(Generic[Owner]):
    """Keeps what each owner holds, for how long, and since when without progress.

    Parameters
    ----------
    budget : ByteBudget
        Budget that all of them share.
    timeouts : ProgressTimeouts
        Bounds on slow callers.
    """

    def __init__(self, budget: ByteBudget, timeouts: ProgressTimeouts) -> None:
        self._budget = budget
        self._timeouts = timeouts
        self._records: dict[Owner, _Record] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, owner: Owner) -> bool:
        return owner in self._records

    def note(
        self, owner: Owner, stage: Stage, held: int, progressed: bool, now_ms: float
    ) -> bool:
        """Record what an owner holds now; return whether the budget allows it."""
        record = self._records.get(owner)
        if record is None or record.stage is not stage:
            record = self._records[owner] = _Record(stage, held, now_ms, now_ms)
        elif progressed:
            record.progress_ms = now_ms
        record.held = held
        return self._budget.reserve(owner, held)

    def end(self, owner: Owner) -> int:
        """Forget an owner; return the bytes that it held."""
        self._records.pop(owner, None)
        return self._budget.release(owner)

    def in_stage(self, stage: Stage) -> list[Owner]:
        """Return the owners in a stage."""
        return [o for o, record in self._records.items() if record.stage is stage]

    def overdue(
        self, now_ms: float, header_timeout_ms: float
    ) -> list[tuple[Owner, Overdue]]:
        """Return the owners that are too slow, each with the reason."""
        found = []
        for owner, record in self._records.items():
            reason = self._reason(record, now_ms, header_timeout_ms)
            if reason is not None:
                found.append((owner, reason))
        return found

    def _reason(
        self, record: _Record, now_ms: float, header_timeout_ms: float
    ) -> Overdue | None:
        age_ms = now_ms - record.started_ms
        is_stalled = now_ms - record.progress_ms >= self._timeouts.stall_ms
        match record.stage:
            case Stage.HEAD if age_ms >= header_timeout_ms:
                return Overdue.HEAD
            case Stage.BODY if is_stalled or age_ms >= self._timeouts.body_ms:
                return Overdue.BODY
            case Stage.RESPONSE if is_stalled:
                return Overdue.RESPONSE
        return None

    def to_shed(self, wanted_by: Owner, now_ms: float) -> list[Owner]:
        """Return the owners to shed so that one that exceeds the budget has room.

        Chosen by bytes times age: one that holds much for long goes first, and a caller
        that sends at the speed of its link only after all that have stopped. The one
        that asks goes too if the others do not make enough room.
        """
        limit = self._budget.limit_bytes
        spare = int(SHED_SHARE * limit)
        added = self._records[wanted_by].held - self._budget.held_by(wanted_by)
        excess = self._budget.held + added - limit + spare
        chosen: list[Owner] = []
        for owner, record in sorted(
            self._records.items(), key=lambda item: -self._cost(item[1], now_ms)
        ):
            if excess <= 0:
                break
            if record.stage is not Stage.SERVED:
                chosen.append(owner)
                excess -= record.held
        if excess > spare and wanted_by not in chosen:
            chosen.append(wanted_by)
        return chosen

    def oldest_unfinished(self, now_ms: float, min_age_ms: float) -> Owner | None:
        """Return the owner whose head or body is incomplete for the longest time."""
        for owner, record in self._records.items():
            is_old = now_ms - record.started_ms >= min_age_ms
            if is_old and record.stage in (Stage.HEAD, Stage.BODY):
                return owner
        return None

    def _cost(self, record: _Record, now_ms: float) -> float:
        return record.held * (now_ms - record.started_ms + 1.0)


__all__ = ["Overdue", "ProgressTimeouts", "Stage", "UnfinishedRequests"]
