"""Which daemons are alive, as heartbeats and the platform's list tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

HEARTBEAT_PERIOD_MS = 150.0
DOUBT_AFTER_MS = 500.0
DEAD_AFTER_MS = 1200.0
PAUSE_MS = 350.0
SETTLE_MS = 800.0
DOWN_MARK_MS = 5000.0


@attrs.frozen
class Member:
    """One daemon of the system.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    host : str
        IP number.
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
    """View of the daemons, from one of them.

    Heartbeats come from neighbours only. Any other daemon counts as alive
    until one of its own neighbours says that it is down; that mark fades
    unless it is renewed.

    Parameters
    ----------
    own : Member
        This daemon.
    now_ms : float
        Time of its start.

    Attributes
    ----------
    generation : int
        Grows whenever the set of daemons may have changed.
    """

    def __init__(self, own: Member, now_ms: float) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._ordered: tuple[Member, ...] = (own,)
        self.generation = 0
        self._heard_ms: dict[str, float] = {}
        self._left: set[str] = set()
        self._down_until_ms: dict[str, float] = {}
        self._neighbours: frozenset[str] = frozenset()
        self._last_tick_ms = now_ms
        self._settled_from_ms = now_ms + SETTLE_MS

    @property
    def members(self) -> tuple[Member, ...]:
        """All daemons that have not left, alive or not, in order of name."""
        return self._ordered

    def member(self, name: str) -> Member | None:
        """Return the daemon called `name` unless it has left."""
        return self._members.get(name)

    def tick(self, now_ms: float) -> bool:
        """Notice a pause of this process; return True when there was one.

        After a pause nothing that the daemon knew counts until its view has
        settled anew.
        """
        paused = now_ms - self._last_tick_ms > PAUSE_MS
        self._last_tick_ms = now_ms
        if paused:
            self._settled_from_ms = now_ms + SETTLE_MS
            self._heard_ms.clear()
        return paused

    def take_list(self, listed: Iterable[Member], now_ms: float) -> None:
        """Take the platform's list; who is missing from it has gone.

        A daemon heard just now stays although the list lacks it, since the
        list lags.
        """
        names = {self.own.name}
        for member in listed:
            names.add(member.name)
            if member.name != self.own.name and member.name not in self._left:
                self._members[member.name] = member
        for name in [n for n in self._members if n not in names]:
            if not self._heard_lately(name, now_ms):
                del self._members[name]
        self._left &= names
        self._reorder()

    def heard(self, member: Member, now_ms: float) -> None:
        """Take a heartbeat of another daemon."""
        if member.name == self.own.name:
            return
        self._left.discard(member.name)
        self._heard_ms[member.name] = now_ms
        self._down_until_ms.pop(member.name, None)
        if self._members.get(member.name) != member:
            self._members[member.name] = member
            self._reorder()

    def left(self, name: str) -> None:
        """Take a daemon's word that it has stopped."""
        self._left.add(name)
        self._members.pop(name, None)
        self._heard_ms.pop(name, None)
        self._reorder()

    def is_settled(self, now_ms: float) -> bool:
        """Return whether the view is old enough to act on."""
        return now_ms >= self._settled_from_ms

    def set_neighbours(self, names: frozenset[str], now_ms: float) -> None:
        """Expect heartbeats of these daemons, beginning now."""
        for name in names - self._neighbours:
            self._heard_ms.setdefault(name, now_ms)
        self._neighbours = names

    @property
    def neighbours(self) -> frozenset[str]:
        """Names of the daemons whose heartbeats are expected."""
        return self._neighbours

    def mark_down(self, name: str, now_ms: float) -> None:
        """Take a neighbour's word that a daemon is silent."""
        if name != self.own.name and not self._heard_lately(name, now_ms):
            self._down_until_ms[name] = now_ms + DOWN_MARK_MS

    def silent_neighbours(self, now_ms: float) -> tuple[str, ...]:
        """Return the neighbours that count as dead."""
        names = (n for n in self._neighbours if n in self._members)
        return tuple(n for n in sorted(names) if not self.is_alive(n, now_ms))

    def is_alive(self, name: str, now_ms: float) -> bool:
        """Return whether `name` counts as alive; this daemon always does."""
        if name == self.own.name or self._heard_lately(name, now_ms):
            return True
        if name in self._neighbours or name not in self._members:
            return False
        return now_ms >= self._down_until_ms.get(name, 0.0)

    def is_doubtful(self, name: str, now_ms: float) -> bool:
        """Return whether heartbeats of a neighbour are missing."""
        if name == self.own.name:
            return False
        return now_ms - self._heard_ms.get(name, -DEAD_AFTER_MS) > DOUBT_AFTER_MS

    def is_cut_off(self, now_ms: float) -> bool:
        """Return whether most neighbours here, or most other zones, are silent."""
        here: list[bool] = []
        zones: dict[str, bool] = {}
        for name in self._neighbours:
            member = self._members.get(name)
            if member is None:
                continue
            heard = not self.is_doubtful(name, now_ms)
            if member.zone == self.own.zone:
                here.append(heard)
            else:
                zones[member.zone] = zones.get(member.zone, False) or heard
        heard_zones = 1 + sum(zones.values())
        silent_here = bool(here) and 2 * sum(here) < len(here)
        return silent_here or 2 * heard_zones <= 1 + len(zones)

    def _heard_lately(self, name: str, now_ms: float) -> bool:
        return now_ms - self._heard_ms.get(name, -DEAD_AFTER_MS) < DEAD_AFTER_MS

    def alive(self, now_ms: float) -> tuple[Member, ...]:
        """Return the daemons that were heard lately, this one among them."""
        return tuple(m for m in self.members if self.is_alive(m.name, now_ms))

    def _reorder(self) -> None:
        """Take note that the set of daemons may have changed."""
        self._ordered = tuple(self._members[name] for name in sorted(self._members))
        self.generation += 1


__all__ = ["HEARTBEAT_PERIOD_MS", "Member", "Membership"]
