"""Version moves, which shift a service's traffic from one version to another."""

from __future__ import annotations

from enum import IntEnum

import attrs


class MoveState(IntEnum):
    """State of a version move."""

    RUNNING = 0
    HELD = 1  # stopped at its present share of traffic
    DONE = 2
    TAKEN_BACK = 3  # rolled back to the old version

    @property
    def final(self) -> bool:
        """Whether the move has ended."""
        return self in (MoveState.DONE, MoveState.TAKEN_BACK)


@attrs.frozen
class MoveRecord:
    """A version move, stored by the platform under the name of its service.

    Parameters
    ----------
    service : str
        Name of the service whose traffic is moved.
    move_id : str
        Unique id of this move.
    from_version : str
        Version that gets the traffic before the move.
    to_version : str
        Version that gets the traffic after the move.
    started_wall_ms : float
        Wall-clock time at which the move started.
    finish_wall_ms : float
        Wall-clock time by which the move has to be complete.
    state : MoveState
        State of the move.
    held_share : float
        Share of the traffic, 0 to 1, that the new version gets while the move is
        held.
    reason : str
        Why the move has ended or is held.
    ended_by : str
        Daemon or operator that ended the move.
    operation : str
        Id of the write that stored the record. A writer that got no reply compares
        it to find out whether its write took effect.
    """

    service: str
    move_id: str
    from_version: str
    to_version: str
    started_wall_ms: float
    finish_wall_ms: float
    state: MoveState = MoveState.RUNNING
    held_share: float = 0.0
    reason: str = ""
    ended_by: str = ""
    operation: str = ""


@attrs.frozen
class EventRecord:
    """An event that is reported to the operators once.

    Parameters
    ----------
    subject : str
        Name of the service, zone or profile that the event concerns.
    what : str
        What happened.
    reason : str
        Why it happened.
    reported_by : str
        Daemon that wrote the event.
    wall_ms : float
        Wall-clock time of the event.
    """

    subject: str
    what: str
    reason: str
    reported_by: str
    wall_ms: float


__all__ = ["EventRecord", "MoveRecord", "MoveState"]
