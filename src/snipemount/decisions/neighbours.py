"""Which daemons send one another heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.fleet import BackendServer
    from .membership import Member
    from .ownership import Ownership


def neighbours(
    own: Member,
    members: tuple[Member, ...],
    servers: Iterable[BackendServer],
    ownership: Ownership,
) -> frozenset[str]:
    """Return the names of the daemons that `own` exchanges heartbeats with.

    These are the daemons that share a server with it as first and second owner,
    the two beside it in its zone, and its partners in each other zone. The
    relation is symmetric: both sides work out the same pairs.

    Parameters
    ----------
    own : Member
        This daemon.
    members : tuple of Member
        All daemons, in order of name.
    servers : Iterable of BackendServer
        Servers of this daemon's zone.
    ownership : Ownership
        Order of the owners of each server.
    """
    found: set[str] = set()
    for server in servers:
        pair = ownership.order(server)[:2]
        if own.name in pair:
            found.update(pair)
    found |= _beside(own, [m.name for m in members if m.zone == own.zone])
    for zone in {m.zone for m in members} - {own.zone}:
        found |= _partners(own, members, zone)
    return frozenset(found - {own.name})


def _beside(own: Member, names: list[str]) -> set[str]:
    place = names.index(own.name)
    return {names[place - 1], names[(place + 1) % len(names)]}


def _partners(own: Member, members: tuple[Member, ...], zone: str) -> set[str]:
    """Pair the daemons of two zones by their places in order of name."""
    ours = [m.name for m in members if m.zone == own.zone]
    theirs = [m.name for m in members if m.zone == zone]
    pairs = min(len(ours), len(theirs))
    place = ours.index(own.name) % pairs
    return {name for other, name in enumerate(theirs) if other % pairs == place}


__all__ = ["neighbours"]
