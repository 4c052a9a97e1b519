"""Steps on the choice of coordinators and on their shares of limits."""

from __future__ import annotations

from behave import then
from fleet_world import LEAF_ZONES, SHARDS
from hypothesis import given as for_any
from hypothesis import strategies as st
from serving_world import make_leaf

from snipemount.decisions.fleet.coordinators import (
    coordinator_names,
    ranked_coordinators,
    zones_with_most_shards,
)
from snipemount.decisions.fleet.limit_shares import LimitShares
from snipemount.ports.relay import DaemonAddress

ZONES = (*LEAF_ZONES, "zone-d")


def address(name, zone="zone-a", legs_per_s=10.0, query_port=2):
    """Return the address of a daemon."""
    return DaemonAddress(name, zone, name, 1, query_port, legs_per_s)


@then("of VMs with 10, 9, 4 and 1 those with 10 and 9 coordinate")
def step_classes(context):
    daemons = [address(f"vm-{size}", legs_per_s=size) for size in (10.0, 9.0, 4.0, 1.0)]
    assert coordinator_names(daemons) == {"vm-10.0", "vm-9.0"}


@then("of equal VMs all coordinate")
def step_equal(context):
    daemons = [address(f"vm-{n}") for n in range(5)]
    assert coordinator_names(daemons) == {daemon.name for daemon in daemons}


@then("a daemon that states no capacity runs its own queries and gets no others")
def step_unstated(context):
    old, new = DaemonAddress("old", "zone-a", "old", 1), address("new")
    assert coordinator_names([old, new]) == {"old", "new"}
    assert ranked_coordinators([old, new], address("own"), frozenset()) == [new]


@then(
    "a daemon with 1 prefers the VM with 40, then those with 10, and not another with 1"
)
def step_outlier(context):
    sizes = (1.0, 10.0, 40.0, 10.0, 1.0)
    daemons = [address(f"vm-{n}", legs_per_s=size) for n, size in enumerate(sizes)]
    ranked = ranked_coordinators(daemons, daemons[0], frozenset())
    assert [daemon.legs_per_s for daemon in ranked] == [40.0, 10.0, 10.0]
    assert ranked_coordinators(daemons, daemons[1], frozenset()) == [daemons[2]]


def ranked_zones(own_zone, zones):
    """Return the zones of the coordinators in the order a daemon prefers them."""
    daemons = [address(f"vm-{zone}", zone) for zone in ZONES]
    own = address("own", own_zone, 1.0)
    return [d.zone for d in ranked_coordinators([*daemons, own], own, zones)]


@then(
    "a daemon prefers coordinators of its own zone, then those of zones with all shards"
)
def step_zones(context):
    leafs = [make_leaf(f"{s}-{z}", s, z) for s in SHARDS for z in LEAF_ZONES]
    zones = zones_with_most_shards(leafs, frozenset([*SHARDS, "not-started"]))
    assert zones == set(LEAF_ZONES)
    ranked = ranked_zones("zone-b", zones)
    assert ranked[0] == "zone-b" and ranked[-1] == "zone-d", ranked


@then("without its own zone's leafs it prefers zones with all shards")
def step_other_zones(context):
    ranked = ranked_zones("zone-d", frozenset(LEAF_ZONES))
    assert ranked[-1] == "zone-d", ranked


@then("without one of {count:d} coordinators only its own queries move")
def step_moves(context, count):
    daemons = [address(f"vm-{n}") for n in range(count)]
    for number in range(200):
        own = address(f"own-{number}", legs_per_s=1.0)
        before = ranked_coordinators(daemons, own, frozenset())
        after = ranked_coordinators(daemons[1:], own, frozenset())
        assert [d for d in before if d != daemons[0]] == after


@then("for any daemons the shares of a limit add up to it at most")
def step_shares(context):
    names = st.sets(st.integers(0, 99).map(str), min_size=1, max_size=70)

    @for_any(names, st.data(), st.integers(1, 200))
    def check(daemons, data, limit):
        coordinators = data.draw(st.sets(st.sampled_from(sorted(daemons))))
        shares = [
            LimitShares(name, frozenset(daemons), frozenset(coordinators))
            for name in daemons
        ]
        for kind in ("of_shard", "of_service"):
            total = sum(getattr(share, kind)(limit, "leaf") for share in shares)
            assert total <= limit + 1e-6, (kind, total)

    check()
