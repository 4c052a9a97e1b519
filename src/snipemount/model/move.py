"""Moves of a service's traffic from one version to another."""

from __future__ import annotations

from enum import IntEnum

import attrs


class MoveState(IntEnum):
    """Where a move stands."""

    RUNNING = 0
    HELD = 1
    DONE = 2
    TAKEN_BACK = 3

    @property
    def final(self) -> bool:
        """Whether the move has ended."""
        return self in (MoveState.DONE, MoveState.TAKEN_BACK)


@attrs.frozen
class MoveRecord:
    """A version move as the platform stores it, under the service's name.

    Parameters
    ----------
    service : str
        Service whose traffic moves.
    move_id : str
        Unique id of this move.
    from_version : str
        Version that carries the traffic at first.
    to_version : str
        Version that is to carry it.
    started_wall_ms : float
        Wall-clock time of the start.
    finish_wall_ms : float
        Wall-clock time by which the move is to be done.
    state : MoveState
        Where it stands.
    held_share : float
        Share of the new version while the move is held.
    reason : str
        Why it ended or is held.
    ended_by : str
        Daemon or operator that ended it.
    operation : str
        Id of the operation that wrote it last; settles lost replies.
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
    """Something that operators are told once.

    Parameters
    ----------
    subject : str
        Service, zone or profile concerned.
    what : str
        What happened.
    reason : str
        Why.
    reported_by : str
        Daemon that wrote the event.
    wall_ms : float
        Wall-clock time.
    """

    subject: str
    what: str
    reason: str
    reported_by: str
    wall_ms: float


__all__ = ["EventRecord", "MoveRecord", "MoveState"]
