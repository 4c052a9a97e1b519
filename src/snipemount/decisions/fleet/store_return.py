"""What stays known of a kind's objects when the store returns from an older copy.

The copy lacks what was written after it, until the writers write it again. A listing of
the new era may so lack objects that exist, hold earlier states of others, and hold some
that are gone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from ...ports.platform import StoredObject

    # Orders the states of one object by what its writer states, or returns None.
    Rank = Callable[[StoredObject], Any]


@attrs.frozen
class TakeListing:
    """A listing of the new era replaces all that is known."""


@attrs.frozen
class KeepNewest:
    """A known object stays until a newer one comes, as its own version tells.

    Parameters
    ----------
    rank : Callable
        Returns the object's own version; None if it cannot be read.
    """

    rank: Rank


@attrs.frozen
class KeepForGrace:
    """The known state of an object stays for a grace time.

    Parameters
    ----------
    rank : Callable
        Returns what orders the states of an object; None if nothing does.
    kept_ms : float
        Time for which objects stay that the store lacks, or holds in an earlier state.
    gone_ms : float
        Time for which objects stay removed that the store holds again.
    """

    rank: Rank
    kept_ms: float
    gone_ms: float


ReturnRule = TakeListing | KeepNewest | KeepForGrace


@attrs.frozen
class UnsettledObject:
    """What the store holds of an object whose known state stays for now.

    Parameters
    ----------
    stored : StoredObject or None
        The object in the store; None if the store lacks it.
    until_ms : float
        Time from which the store's state holds.
    """

    stored: StoredObject | None
    until_ms: float


@attrs.frozen
class MergedListing:
    """A listing, merged with what was known before.

    Parameters
    ----------
    objects : tuple of StoredObject
        Objects that hold now.
    unsettled : dict of str to UnsettledObject
        By name, objects whose known state stays for a grace time.
    """

    objects: tuple[StoredObject, ...]
    unsettled: dict[str, UnsettledObject]


def merge_listing(
    rule: ReturnRule,
    known: Mapping[str, StoredObject],
    removed: Mapping[str, StoredObject],
    listed: Iterable[StoredObject],
    since_ms: float,
) -> MergedListing:
    """Merge the first listing of an era with what was known before.

    Parameters
    ----------
    rule : ReturnRule
        What stays known of the kind's objects.
    known : mapping of str to StoredObject
        Known objects by name.
    removed : mapping of str to StoredObject
        Objects removed lately, by name.
    listed : iterable of StoredObject
        The listing.
    since_ms : float
        Time from which the grace times count.
    """
    by_name = {stored.name: stored for stored in listed}
    match rule:
        case TakeListing():
            return MergedListing(tuple(by_name.values()), {})
        case KeepNewest(rank):
            newest = {
                name: old
                for name, old in known.items()
                if name not in by_name or outranks(rank, old, by_name[name])
            }
            return MergedListing(tuple((by_name | newest).values()), {})
        case KeepForGrace():
            return _merge_for_grace(rule, known, removed, by_name, since_ms)


def _merge_for_grace(
    rule: KeepForGrace,
    known: Mapping[str, StoredObject],
    removed: Mapping[str, StoredObject],
    listed: dict[str, StoredObject],
    since_ms: float,
) -> MergedListing:
    kept_until_ms, gone_until_ms = since_ms + rule.kept_ms, since_ms + rule.gone_ms
    objects = dict(listed)
    unsettled = {}
    for name, old in known.items():
        stored = listed.get(name)
        if stored is None or outranks(rule.rank, old, stored):
            objects[name] = old
            unsettled[name] = UnsettledObject(stored, kept_until_ms)
    for name, stored in listed.items():
        old_removed = removed.get(name)
        if name in known or old_removed is None:
            continue
        # The copy's object is the removed one, or an earlier state of it.
        is_same = stored.version.number == old_removed.version.number
        if is_same or outranks(rule.rank, old_removed, stored):
            del objects[name]
            unsettled[name] = UnsettledObject(stored, gone_until_ms)
    return MergedListing(tuple(objects.values()), unsettled)


def outranks(rank: Rank, one: StoredObject, other: StoredObject) -> bool:
    """Return whether an object is newer than another, by what both state."""
    one_rank, other_rank = rank(one), rank(other)
    if one_rank is None or other_rank is None:
        return False
    return bool(one_rank > other_rank)


__all__ = [
    "KeepForGrace",
    "KeepNewest",
    "MergedListing",
    "ReturnRule",
    "TakeListing",
    "UnsettledObject",
    "merge_listing",
    "outranks",
]
