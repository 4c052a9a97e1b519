"""Which daemons coordinate queries over all shards, by what their VMs bear.

A query is run by a daemon whose VM bears at least half as much as the largest one; the
other daemons delegate it. Where all VMs are alike every daemon coordinates.
"""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...model.leaf import Leaf
    from ...ports.relay import DaemonAddress

MIN_CAPACITY_SHARE = 0.5  # of the largest VM
MIN_SHARD_SHARE = 0.8  # of the shards in the zone that holds most
HASH_RANGE = 2.0**64


def coordinator_names(daemons: Iterable[DaemonAddress]) -> frozenset[str]:
    """Return the names of the daemons that run queries themselves.

    A daemon that states no capacity runs its own queries, as earlier builds do.
    """
    known = list(daemons)
    largest = max((daemon.legs_per_s for daemon in known), default=0.0)
    least = MIN_CAPACITY_SHARE * largest
    return frozenset(
        daemon.name
        for daemon in known
        if daemon.legs_per_s >= least or not daemon.accepts_queries
    )


def zones_with_most_shards(
    leafs: Iterable[Leaf], shards: frozenset[str]
) -> frozenset[str]:
    """Return the availability zones that hold leafs of about as many shards as any."""
    shards_by_zone: dict[str, set[str]] = {}
    for leaf in leafs:
        if leaf.service in shards:
            shards_by_zone.setdefault(leaf.zone, set()).add(leaf.service)
    most = max((len(held) for held in shards_by_zone.values()), default=0)
    return frozenset(
        zone
        for zone, held in shards_by_zone.items()
        if len(held) >= MIN_SHARD_SHARE * most
    )


def ranked_coordinators(
    daemons: Iterable[DaemonAddress], own: DaemonAddress, zones: frozenset[str]
) -> list[DaemonAddress]:
    """Return the daemons to delegate queries to, the preferred one first.

    First come those of the own zone if it holds many shards, then those of other such
    zones, so that few parts cross zones, then the rest. Within each group the order
    is by rendezvous hashing, weighted by capacity. Daemons that are no coordinators but
    bear at least twice as much as this one come last: where one VM exceeds all others,
    they replace it when it is lost.

    Parameters
    ----------
    daemons : Iterable of DaemonAddress
        Known daemons of all zones.
    own : DaemonAddress
        This daemon, which is left out.
    zones : frozenset of str
        Zones that hold leafs of the most shards.
    """
    known = list(daemons)
    names = coordinator_names(known)

    def is_candidate(daemon: DaemonAddress) -> bool:
        if not daemon.accepts_queries or daemon.name == own.name:
            return False
        is_larger = own.legs_per_s <= MIN_CAPACITY_SHARE * daemon.legs_per_s
        return daemon.name in names or is_larger

    def order(daemon: DaemonAddress) -> tuple[bool, bool, bool, float]:
        return (
            daemon.name not in names,
            daemon.zone not in zones,
            daemon.zone != own.zone,
            -_score(own.name, daemon),
        )

    return sorted(filter(is_candidate, known), key=order)


def _score(subject: str, daemon: DaemonAddress) -> float:
    text = f"{subject}/{daemon.name}".encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    uniform = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return -daemon.legs_per_s / math.log(uniform)


__all__ = ["coordinator_names", "ranked_coordinators", "zones_with_most_shards"]
