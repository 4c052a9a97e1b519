"""What this daemon is to a lease, and the call to the store that is under way."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from .events import Save
    from .record import LeaseRecord


class LeaseState(Enum):
    """What this daemon is to the lease."""

    CANDIDATE = "candidate"
    ACQUIRING = "acquiring"
    HELD = "held"
    STOOD_BACK = "stood_back"
    STOPPED = "stopped"


@attrs.frozen
class PendingRead:
    """A read without a result yet."""

    started_ms: float


@attrs.frozen
class PendingWrite:
    """A write without a result yet.

    Parameters
    ----------
    started_ms : float
        Time at which the write was asked for; the validity counts from here.
    record : LeaseRecord
        Content written.
    written_as : LeaseState
        State in which it was written: a candidate creates the object, without
        acquiring the lease.
    save : Save or None
        Request to store the checkpoint of `record`.
    """

    started_ms: float
    record: LeaseRecord
    written_as: LeaseState
    save: Save | None


__all__ = ["LeaseState", "PendingRead", "PendingWrite"]
