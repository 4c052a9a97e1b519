"""Membership and failure detection of the daemons.

Combines heartbeats, reports of other daemons and the platform's listing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT_PERIOD_MS = 150.0
SUSPECT_AFTER_MS = 500.0
DEAD_AFTER_MS = 1200.0
PAUSE_DETECTION_MS = 350.0
SETTLE_MS = 800.0
DOWN_REPORT_TTL_MS = 5000.0


@attrs.frozen
class Member:
    """One daemon.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    host : str
        IP address.
    mesh_port : int
        Port of its mesh listener.
    leaving : bool
        Whether the platform lists it as leaving.
    """

    name: str
    zone: str
    host: str
    mesh_port: int
    leaving: bool = False


class Membership:
    """Known daemons and which of them are alive, as seen by one daemon.

    Only neighbours send heartbeats. Any other daemon counts as alive until one
    of its own neighbours reports it as down; such a report expires unless it is
    repeated.

    Parameters
    ----------
    own : Member
        This daemon.
    now_ms : float
        Time at which this daemon started.

    Attributes
    ----------
    generation : int
        Incremented whenever the set of daemons may have changed.
    """

    def __init__(self, own: Member, now_ms: float) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._ordered: tuple[Member, ...] = (own,)
        self.generation = 0
        self._last_heartbeat_ms: dict[str, float] = {}
        self._departed: set[str] = set()
        self._down_until_ms: dict[str, float] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._last_tick_ms = now_ms
        self._settled_from_ms = now_ms + SETTLE_MS

    @property
    def members(self) -> tuple[Member, ...]:
        """All daemons that have not left, alive or not, sorted by name."""
        return self._ordered

    def member(self, name: str) -> Member | None:
        """Return the daemon called `name`; None if unknown or departed."""
        return self._members.get(name)

    def tick(self, now_ms: float) -> bool:
        """Detect a pause of this process; return whether there was one.

        After a pause the heartbeats received before it are discarded, and the
        view is not settled until the settling time has passed again.
        """
        paused = now_ms - self._last_tick_ms > PAUSE_DETECTION_MS
        self._last_tick_ms = now_ms
        if paused:
            self._settled_from_ms = now_ms + SETTLE_MS
            self._last_heartbeat_ms.clear()
        return paused

    def apply_listing(self, listed: Iterable[Member], now_ms: float) -> None:
        """Apply the platform's listing; remove the daemons that it lacks.

        A daemon with a recent heartbeat is kept even if it is not listed, since
        the listing may be out of date.
        """
        names = {self.own.name}
        for member in listed:
            names.add(member.name)
            if member.name != self.own.name and member.name not in self._departed:
                self._members[member.name] = member
        for name in [n for n in self._members if n not in names]:
            if not self._has_recent_heartbeat(name, now_ms):
                del self._members[name]
        self._departed &= names
        self._members_changed()

    def record_heartbeat(self, member: Member, now_ms: float) -> None:
        """Record a heartbeat of another daemon."""
        if member.name == self.own.name:
            return
        self._departed.discard(member.name)
        self._last_heartbeat_ms[member.name] = now_ms
        self._down_until_ms.pop(member.name, None)
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._members_changed()

    def record_departure(self, name: str) -> None:
        """Remove a daemon that has reported its own stop."""
        self._departed.add(name)
        self._members.pop(name, None)
        self._last_heartbeat_ms.pop(name, None)
        self._members_changed()

    def is_settled(self, now_ms: float) -> bool:
        """Return whether the settling time since the start or a pause has passed."""
        return now_ms >= self._settled_from_ms

    def set_neighbours(self, names: frozenset[str], now_ms: float) -> None:
        """Expect heartbeats of the daemons in `names` from `now_ms` on."""
        for name in names - self._neighbours:
            self._last_heartbeat_ms.setdefault(name, now_ms)
        self._neighbours = names

    @property
    def neighbours(self) -> frozenset[str]:
        """Names of the daemons whose heartbeats are expected."""
        return self._neighbours

    def record_down_report(self, name: str, now_ms: float) -> None:
        """Record another daemon's report that `name` is down.

        Ignored while this daemon itself has recent heartbeats of `name`.
        """
        if name != self.own.name and not self._has_recent_heartbeat(name, now_ms):
            self._down_until_ms[name] = now_ms + DOWN_REPORT_TTL_MS

    def unresponsive_neighbours(self, now_ms: float) -> tuple[str, ...]:
        """Return the neighbours that count as dead, sorted by name."""
        names = (n for n in self._neighbours if n in self._members)
        return tuple(n for n in sorted(names) if not self.is_alive(n, now_ms))

    def is_alive(self, name: str, now_ms: float) -> bool:
        """Return whether `name` counts as alive; this daemon always does."""
        if name == self.own.name or self._has_recent_heartbeat(name, now_ms):
            return True
        if name in self._neighbours or name not in self._members:
            return False
        return now_ms >= self._down_until_ms.get(name, 0.0)

    def is_suspect(self, name: str, now_ms: float) -> bool:
        """Return whether heartbeats of a neighbour are overdue.

        A suspect daemon may still count as alive: the limit here is shorter than
        that of `is_alive`.
        """
        if name == self.own.name:
            return False
        return (
            now_ms - self._last_heartbeat_ms.get(name, -DEAD_AFTER_MS)
            > SUSPECT_AFTER_MS
        )

    def is_cut_off(self, now_ms: float) -> bool:
        """Return whether this daemon must assume that it is cut off.

        That is the case if more than half of the neighbours in its own zone are
        suspect, or if at most half of all zones are reachable, its own included.
        """
        same_zone: list[bool] = []
        other_zones: dict[str, bool] = {}
        for name in self._neighbours:
            member = self._members.get(name)
            if member is None:
                continue
            responsive = not self.is_suspect(name, now_ms)
            if member.zone == self.own.zone:
                same_zone.append(responsive)
            else:
                other_zones[member.zone] = (
                    other_zones.get(member.zone, False) or responsive
                )
        reachable_zones = 1 + sum(other_zones.values())
        same_zone_unresponsive = bool(same_zone) and 2 * sum(same_zone) < len(same_zone)
        return same_zone_unresponsive or 2 * reachable_zones <= 1 + len(other_zones)

    def _has_recent_heartbeat(self, name: str, now_ms: float) -> bool:
        return (
            now_ms - self._last_heartbeat_ms.get(name, -DEAD_AFTER_MS) < DEAD_AFTER_MS
        )

    def alive(self, now_ms: float) -> tuple[Member, ...]:
        """Return the daemons that count as alive, including this one."""
        return tuple(m for m in self.members if self.is_alive(m.name, now_ms))

    def _members_changed(self) -> None:
        """Sort the members again and start a new generation."""
        self._ordered = tuple(self._members[name] for name in sorted(self._members))
        self.generation += 1


__all__ = ["HEARTBEAT_PERIOD_MS", "Member", "Membership"]
