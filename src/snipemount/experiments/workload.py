"""Load on one service of a deployment, and profiles without one mechanism each."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from ..node.sharing import OwnedSharing
from ..standins.deployments import Deployment
from .report import summarize
from .world import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.fleet.membership import Membership
    from ..model.profile import Profile
    from ..node.sharing import Sharing
    from ..standins.backend_model import Behaviour
    from .report import RunStatistics

SEED = 11
RUN_MS = 10_000.0
WARM_UP_MS = 2000.0
DRAIN_MS = 1500.0
# The service time is log-normal with sigma 0.35: exp(0.35 ** 2 / 2).
MEAN_TO_MEDIAN_SERVICE_TIME = 1.063


@attrs.frozen
class Workload:
    """One service of a deployment, put under load alone.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose zones, daemons and servers are simulated.
    service : str
        Service that the queries go to.
    """

    deployment: Deployment
    service: str

    @property
    def capacity_per_s(self) -> float:
        """Queries per second at which all slots of the warm servers are busy."""
        plan = self.deployment.value
        service = next(s for s in plan.services if s.name == self.service)
        mean_service_s = service.service_ms * MEAN_TO_MEDIAN_SERVICE_TIME / 1000.0
        return service.slots / mean_service_s * len(plan.zones)

    def make_world(
        self,
        behaviour: Behaviour | None = None,
        adjust: Callable[[Profile], Profile] = lambda profile: profile,
        make_sharing: Callable[[Membership], Sharing] = OwnedSharing,
        seed: int = SEED,
    ) -> World:
        """Return a new simulation of the deployment with this service alone.

        Parameters
        ----------
        behaviour : Behaviour, optional
            Speed and faults of the servers; defaults to healthy servers.
        adjust : Callable
            Changes the service's profile.
        make_sharing : Callable
            Returns how daemons share the limits of the servers.
        seed : int
            Seed of every random choice.
        """
        plan = self.deployment.value
        services = tuple(s for s in plan.services if s.name == self.service)
        return World(
            attrs.evolve(plan, services=services),
            seed,
            make_sharing,
            adjust,
            behaviour,
        )


WORKLOADS = (
    Workload(Deployment.AJLOUN, "fleet-finder"),
    Workload(Deployment.YILAN, "bench-finder"),
)


def without_hedges(profile: Profile) -> Profile:
    """Return the profile without hedging."""
    return attrs.evolve(profile, hedging=False)


def without_queue_limits(profile: Profile) -> Profile:
    """Return the profile with practically unbounded queues and waits."""
    queue = attrs.evolve(
        profile.queue,
        length=100_000,
        wait_ms=math.inf,
        admission_wait_ms=math.inf,
        target_wait_ms=math.inf,
    )
    return attrs.evolve(profile, queue=queue)


def without_cold_start_limits(profile: Profile) -> Profile:
    """Return the profile that gives a cold server full concurrency at once."""
    cold = attrs.evolve(profile.cold_start, initial_fraction=1.0)
    return attrs.evolve(profile, cold_start=cold)


def without_proving_servers(profile: Profile) -> Profile:
    """Return the profile that sends a new query to all its servers at once."""
    return attrs.evolve(profile, proving_servers=0)


def without_extra_load_limits(profile: Profile) -> Profile:
    """Return the profile whose budget of extra attempts never runs out."""
    limits = attrs.evolve(
        profile.extra_load, ordinary=10.0, faulty=10.0, burst=math.inf
    )
    return attrs.evolve(profile, extra_load=limits)


def run_load(
    world: World,
    workload: Workload,
    share: float,
    label: str,
    varied_value: float = 0.0,
    note: Callable[[World], str] = lambda world: "",
    run_ms: float = RUN_MS,
) -> RunStatistics:
    """Load the service with a share of its capacity and return the statistics.

    After the load, requests get time to finish.

    Parameters
    ----------
    world : World
        Simulation to run.
    workload : Workload
        Service under load.
    share : float
        Load as a share of the service's capacity.
    label : str
        Label of the row.
    varied_value : float
        Value of the parameter that differs between the runs.
    note : Callable
        Returns the note of the row after the run.
    run_ms : float
        Duration of the load.
    """
    world.start_load(workload.service, workload.capacity_per_s * share, run_ms)
    world.run_for(run_ms + DRAIN_MS)
    extra = world.extra_load(workload.service)
    return summarize(label, varied_value, world.samples, extra, note(world))


def warm_up(world: World, workload: Workload, share: float = 0.3) -> None:
    """Let daemons record latencies before the measured load; discard the samples."""
    world.start_load(workload.service, workload.capacity_per_s * share, WARM_UP_MS)
    world.run_for(WARM_UP_MS + DRAIN_MS)
    world.samples.clear()


__all__ = [
    "RUN_MS",
    "WORKLOADS",
    "Workload",
    "run_load",
    "warm_up",
    "without_cold_start_limits",
    "without_extra_load_limits",
    "without_hedges",
    "without_proving_servers",
    "without_queue_limits",
]
