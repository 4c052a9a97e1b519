"""Which daemons exchange heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...model.fleet import BackendServer
    from .membership import Member
    from .ownership import Ownership


def neighbours(
    own: Member,
    members: tuple[Member, ...],
    servers: Iterable[BackendServer],
    ownership: Ownership,
) -> frozenset[str]:
    """Return the names of the daemons that `own` exchanges heartbeats with.

    These are the daemons that are first or second owner of a server together with it,
    the previous and the next daemon of its zone, and its partners in each other zone.
    The relation is symmetric: both daemons of a pair determine the same pair.

    Parameters
    ----------
    own : Member
        This daemon.
    members : tuple of Member
        All daemons, sorted by name.
    servers : Iterable of BackendServer
        Servers of this daemon's zone.
    ownership : Ownership
        Ranks the owners of each server.
    """
    names: set[str] = set()
    for server in servers:
        pair = ownership.owner_candidates(server)[:2]
        if own.name in pair:
            names.update(pair)
    names |= _adjacent(own, [m.name for m in members if m.zone == own.zone])
    for zone in {m.zone for m in members} - {own.zone}:
        names |= _partners(own, members, zone)
    return frozenset(names - {own.name})


def _adjacent(own: Member, names: list[str]) -> set[str]:
    position = names.index(own.name)
    return {names[position - 1], names[(position + 1) % len(names)]}


def _partners(own: Member, members: tuple[Member, ...], zone: str) -> set[str]:
    """Return the daemons of `zone` at the same position by name as `own`.

    Positions are taken modulo the size of the smaller zone.
    """
    own_names = [m.name for m in members if m.zone == own.zone]
    other_names = [m.name for m in members if m.zone == zone]
    pairs = min(len(own_names), len(other_names))
    position = own_names.index(own.name) % pairs
    return {name for index, name in enumerate(other_names) if index % pairs == position}


__all__ = ["neighbours"]
