"""Slots of the leafs of one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...model.fleet import ServerLeaf


class LeafSlots:
    """Counts the exchanges that each leaf of a server is running.

    Parameters
    ----------
    leafs : Iterable of ServerLeaf
        Leafs of the server, one for each of its shards.
    """

    def __init__(self, leafs: Iterable[ServerLeaf]) -> None:
        self._slots = {leaf.shard: leaf.slots for leaf in leafs}
        self._in_flight = dict.fromkeys(self._slots, 0)

    def has_all(self, shards: Iterable[int]) -> bool:
        """Return whether the server has a leaf of each shard."""
        return all(shard in self._slots for shard in shards)

    def are_free(self, shards: Iterable[int], withheld_slots: int) -> bool:
        """Return whether the leafs of all shards have a slot beside those withheld."""
        return all(
            self._in_flight[shard] < self._slots[shard] - withheld_slots
            for shard in shards
        )

    def take(self, shards: Iterable[int]) -> None:
        """Count an exchange that starts at the leafs of these shards."""
        for shard in shards:
            self._in_flight[shard] += 1

    def give_back(self, shards: Iterable[int]) -> None:
        """Count the end of an exchange."""
        for shard in shards:
            self._in_flight[shard] -= 1


__all__ = ["LeafSlots"]
