"""Memory and CPU of the roles of a daemon, by amount of state.

Each role is filled to three sizes in this process. Memory is measured with
tracemalloc, CPU as the process time of one step.
"""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from itertools import count
from random import Random

import attrs

from snipemount.decisions.fleet.membership import Member, Membership
from snipemount.decisions.fleet.ownership import Ownership
from snipemount.decisions.moves.canary_analysis import (
    Baseline,
    CanaryAnalysis,
    Observation,
)
from snipemount.decisions.query.service_state import ServiceState
from snipemount.decisions.requests.claims import ClaimBucket, ClaimRecord, PendingClaim
from snipemount.decisions.requests.quarantine import Quarantine
from snipemount.decisions.servers.latency_reference import LatencyReference
from snipemount.decisions.servers.server_owner import ServerOwner
from snipemount.model.fleet import BackendServer, ServerLeaf, ShardMap, Snapshot
from snipemount.model.profile import Profile
from snipemount.node.proof_gate import ProofGate

BYTES_PER_KIB = 1024.0
US_PER_S = 1e6


@attrs.frozen
class RoleCost:
    """Memory and CPU of one role by size.

    Parameters
    ----------
    role : str
        Role of a daemon.
    unit : str
        What the size counts.
    sizes : tuple of int
        Measured sizes, in ascending order.
    kib : tuple of float
        Memory at each size.
    step_us : tuple of float
        CPU time of one step at each size.
    """

    role: str
    unit: str
    sizes: tuple[int, ...]
    kib: tuple[float, ...]
    step_us: tuple[float, ...]

    def kib_per_unit(self) -> float:
        """Return the memory that each further unit takes, in KiB."""
        return (self.kib[-1] - self.kib[0]) / (self.sizes[-1] - self.sizes[0])

    def us_per_unit(self) -> float:
        """Return the CPU time that each further unit adds to a step, in us."""
        return (self.step_us[-1] - self.step_us[0]) / (self.sizes[-1] - self.sizes[0])


def measure(
    role: str,
    unit: str,
    sizes: tuple[int, ...],
    fill: Callable[[int], Callable[[], object]],
) -> RoleCost:
    """Measure a role at each size.

    Parameters
    ----------
    role : str
        Role of a daemon.
    unit : str
        What the size counts.
    sizes : tuple of int
        Sizes to measure.
    fill : Callable
        Fills the role to a size and returns the step whose CPU time is measured.
    """
    kib, step_us = [], []
    for size in sizes:
        tracemalloc.start()
        step = fill(size)
        kib.append(tracemalloc.get_traced_memory()[0] / BYTES_PER_KIB)
        tracemalloc.stop()
        started_s = time.process_time()
        rounds = 0
        while time.process_time() - started_s < 0.2:
            step()
            rounds += 1
        step_us.append((time.process_time() - started_s) * US_PER_S / rounds)
    return RoleCost(role, unit, sizes, tuple(kib), tuple(step_us))


def make_shard_map(servers: int) -> ShardMap:
    """Return a map of 58 shards on `servers` servers with 2 leafs each."""
    backend_servers = tuple(
        BackendServer(
            f"finder-v1-zone-{n % 8}-{n}",
            f"zone-{n % 8}",
            "127.0.0.1",
            20_000 + n % 40_000,
            (ServerLeaf(2 * n % 58, 2), ServerLeaf((2 * n + 1) % 58, 2)),
            25,
        )
        for n in range(servers)
    )
    return ShardMap(Snapshot("finder", "v1", "i1", 1), 58, backend_servers)


def fill_entry(servers: int) -> Callable[[], object]:
    """Fill an entry daemon's view of the servers; a step places one query."""
    shard_map = make_shard_map(servers)
    state = ServiceState(Profile("p"), "zone-0", count(1), Random(1))
    for server in shard_map.servers:
        state.fleet.view(server.name)
    return lambda: state.placer.place(shard_map, range(58), 0.0)


def fill_owner(servers: int) -> Callable[[], object]:
    """Fill the owner role; a step is one tick of each idle server."""
    reference = LatencyReference()
    ids = count(1)
    owners = [
        ServerOwner(server, Profile("p"), reference, False, 0.0, ids)
        for server in make_shard_map(servers).servers
    ]
    return lambda: [owner.tick(1.0) for owner in owners]


def fill_member(daemons: int) -> Callable[[], object]:
    """Fill the member role; a step computes the owner candidates of one server."""
    own = Member("entry-0", "zone-0", "127.0.0.1", 1)
    membership = Membership(own, 0.0)
    members = [
        Member(f"entry-{n}", f"zone-{n % 8}", "127.0.0.1", n) for n in range(daemons)
    ]
    membership.apply_listing(members, 0.0)
    ownership = Ownership(membership)
    server = make_shard_map(1).servers[0]

    def step() -> object:
        membership.generation += 1
        return ownership.owner_candidates(server)

    return step


def fill_canary_analysis(routes: int) -> Callable[[], object]:
    """Fill the canary analysis; a step observes one exchange."""
    baselines = {f"route-{n}": Baseline() for n in range(routes)}
    for name, baseline in baselines.items():
        for number in range(200):
            baseline.add(Observation(name, f"zone-{number % 8}", False, 20.0))
    analysis = CanaryAnalysis("m", baselines.__getitem__)
    observation = Observation("route-0", "zone-0", False, 21.0)
    return lambda: analysis.observe_new(observation)


def fill_claims(records: int) -> Callable[[], object]:
    """Fill a claim bucket; a step adds a claim and prepares the grouped write."""
    bucket = ClaimBucket(1e12)
    existing = tuple(
        ClaimRecord(f"hotel/key-{n}", "f" * 24, f"entry.1.{n}", 0.0)
        for n in range(records)
    )
    bucket.was_read(existing, 1, 0.0, 0.0)
    sequence = count()

    def step() -> object:
        record = ClaimRecord(f"hotel/new-{next(sequence)}", "f" * 24, "c", 0.0)
        actions = bucket.claim(PendingClaim(record, 0.0, lambda result: None))
        bucket.was_read(existing, 1, 0.0, 0.0)
        return actions

    return step


def fill_quarantine(fingerprints: int) -> Callable[[], object]:
    """Fill the set of fingerprints known to be harmless; a step adds one more."""
    gate = ProofGate(Quarantine())
    for number in range(fingerprints):
        gate.mark_proven(f"{number:024x}", "v1")
    sequence = count(10**9)
    return lambda: gate.mark_proven(f"{next(sequence):024x}", "v1")


def main() -> None:
    """Print the cost of each role as a table."""
    costs = (
        measure("entry", "server in the map", (58, 580, 2250), fill_entry),
        measure("owner", "owned server", (4, 16, 64), fill_owner),
        measure("member", "daemon", (8, 104, 830), fill_member),
        measure("move judge", "route", (1, 10, 50), fill_canary_analysis),
        measure("claim keeper", "record", (20, 200, 2000), fill_claims),
        measure("quarantine", "fingerprint", (200, 2000, 20_000), fill_quarantine),
    )
    print(
        f"{'role':13} {'unit':18} {'sizes':>18} {'KiB':>24} {'KiB each':>9} "
        f"{'step us':>26} {'us each':>8}"
    )
    for cost in costs:
        sizes = "/".join(str(size) for size in cost.sizes)
        kib = "/".join(f"{value:.0f}" for value in cost.kib)
        step = "/".join(f"{value:.1f}" for value in cost.step_us)
        print(
            f"{cost.role:13} {cost.unit:18} {sizes:>18} {kib:>24} "
            f"{cost.kib_per_unit():9.3f} {step:>26} {cost.us_per_unit():8.3f}"
        )


if __name__ == "__main__":
    main()
