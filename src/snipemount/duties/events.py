"""Events of the election of a duty's holder, and the actions it asks for."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.store_version import StoreVersion
    from ..ports.platform import ReadResult, WriteResult


@attrs.frozen(eq=False)
class Save:
    """A checkpoint to store, and whom to tell whether it is confirmed."""

    checkpoint: dict[str, Any]
    done: Callable[[bool], None]


@attrs.frozen
class Woken:
    """Event: the wake-up time may have come."""


@attrs.frozen
class ReadEnded:
    """Event: the pending read has a result."""

    result: ReadResult


@attrs.frozen
class WriteEnded:
    """Event: the pending write has a result."""

    result: WriteResult


@attrs.frozen
class SaveRequested:
    """Event: the duty has a checkpoint to store."""

    save: Save


@attrs.frozen
class StandBackRequested:
    """Event: this daemon cannot perform the duty for now."""

    reason: str


@attrs.frozen
class StopRequested:
    """Event: the daemon stops."""


@attrs.frozen
class SendRead:
    """Action: read the object."""


@attrs.frozen
class SendWrite:
    """Action: write the object if it has this version; None creates it."""

    spec: dict[str, Any]
    version: StoreVersion | None


@attrs.frozen
class NotifyAcquired:
    """Action: the lease was acquired."""

    fence: int
    checkpoint: dict[str, Any]


@attrs.frozen
class NotifyLost:
    """Action: the lease is no longer held."""

    fence: int
    reason: str


@attrs.frozen
class EndSave:
    """Action: tell whether a checkpoint is confirmed."""

    save: Save
    confirmed: bool


@attrs.frozen
class ReportStoodBack:
    """Action: log that this daemon is no candidate for a time."""

    reason: str


@attrs.frozen
class ReportUnreadable:
    """Action: log that the object is malformed, as another writer left it."""

    version: StoreVersion


Event = (
    Woken | ReadEnded | WriteEnded | SaveRequested | StandBackRequested | StopRequested
)
Action = (
    SendRead
    | SendWrite
    | NotifyAcquired
    | NotifyLost
    | EndSave
    | ReportStoodBack
    | ReportUnreadable
)


__all__ = [
    "Action",
    "EndSave",
    "Event",
    "NotifyAcquired",
    "NotifyLost",
    "ReadEnded",
    "ReportStoodBack",
    "ReportUnreadable",
    "Save",
    "SaveRequested",
    "SendRead",
    "SendWrite",
    "StandBackRequested",
    "StopRequested",
    "Woken",
    "WriteEnded",
]
