"""Control traffic, CPU and memory of a daemon by number of daemons.

All daemons run in this process in virtual time and serve no queries. The CPU time is
an upper bound, as it includes the fakes. Bytes are counted as encoded by the mesh
codec.
"""

from __future__ import annotations

import gc
import resource
import sys
import time

import attrs

from snipemount.adapters.mesh_codec import FrameEncoder
from snipemount.decisions.fleet.membership import Member
from snipemount.experiments.world import World
from snipemount.ports.peer import PeerMessage
from snipemount.standins.deployments import DeploymentPlan, ServicePlan

DAEMON_COUNTS = (8, 24, 48, 96)
SERVERS_PER_DAEMON = 2.7
MEASURED_S = 10.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
BYTES_PER_KIB = 1024.0


@attrs.frozen
class ControlCostRow:
    """Results for one number of daemons.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    servers : int
        Number of backend servers.
    messages_per_s : float
        Messages sent by one daemon per virtual second.
    bytes_per_s : float
        Bytes sent by one daemon per virtual second.
    cpu_percent : float
        CPU time of one daemon as a percentage of virtual time.
    memory_kib : float
        Growth of the peak resident memory, divided by the number of daemons.
    """

    daemons: int
    servers: int
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float
    memory_kib: float


def make_plan(daemons: int) -> DeploymentPlan:
    """Return a deployment whose servers are in proportion to its daemons."""
    per_zone = max(1, round(daemons * SERVERS_PER_DAEMON / len(ZONES)))
    service = ServicePlan("finder", per_zone, 2, 2, 25, 6.0, 20.0)
    return DeploymentPlan("bench", ZONES, daemons, 0.5, 1.0, (service,))


def measure(daemons: int) -> ControlCostRow:
    """Simulate a deployment of `daemons` daemons and return its results.

    Messages and CPU time are measured one after the other, so that the encoding
    for the count does not add to the CPU time.
    """
    plan = make_plan(daemons)
    gc.collect()
    baseline_kib = _peak_resident_kib()
    world = World(plan, 1)
    world.run_for(3000.0)
    totals = {"messages": 0, "bytes": 0}
    deliver = world.mesh.deliver

    def count_and_deliver(
        sender: Member, receiver: Member, message: PeerMessage
    ) -> bool:
        encoder = FrameEncoder()
        encoder.add(message)
        totals["messages"] += 1
        totals["bytes"] += len(encoder.take())
        return deliver(sender, receiver, message)

    world.mesh.deliver = count_and_deliver  # type: ignore[method-assign]
    world.run_for(MEASURED_S * 1000.0)
    world.mesh.deliver = deliver  # type: ignore[method-assign]
    started_s = time.process_time()
    world.run_for(MEASURED_S * 1000.0)
    cpu_s = time.process_time() - started_s
    seconds = MEASURED_S * daemons
    return ControlCostRow(
        daemons=daemons,
        servers=len(world.models),
        messages_per_s=totals["messages"] / seconds,
        bytes_per_s=totals["bytes"] / seconds,
        cpu_percent=100.0 * cpu_s / seconds,
        memory_kib=max(0.0, _peak_resident_kib() - baseline_kib) / daemons,
    )


def _peak_resident_kib() -> float:
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return peak / BYTES_PER_KIB if sys.platform == "darwin" else float(peak)


def fit_line(rows: list[ControlCostRow], name: str) -> tuple[float, float]:
    """Fit a line through a column of the rows by least squares.

    Returns
    -------
    tuple of float
        Intercept, and slope per daemon.
    """
    xs = [float(row.daemons) for row in rows]
    ys = [float(getattr(row, name)) for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    slope = covariance / sum((x - mean_x) ** 2 for x in xs)
    return mean_y - slope * mean_x, slope


def main() -> None:
    """Print the table, the fitted lines and their extrapolation to 830 daemons."""
    rows = [measure(daemons) for daemons in DAEMON_COUNTS]
    print(
        f"{'daemons':>8} {'servers':>8} {'msg/s':>8} {'B/s':>9} {'cpu %':>7} {'KiB':>8}"
    )
    for row in rows:
        print(
            f"{row.daemons:8d} {row.servers:8d} {row.messages_per_s:8.1f} "
            f"{row.bytes_per_s:9.0f} {row.cpu_percent:7.2f} {row.memory_kib:8.0f}"
        )
    for name in ("messages_per_s", "bytes_per_s", "cpu_percent", "memory_kib"):
        intercept, slope = fit_line(rows, name)
        print(
            f"{name:16} {intercept:10.2f} + {slope:8.4f} a daemon; 830: "
            f"{intercept + 830 * slope:12.1f}"
        )


if __name__ == "__main__":
    main()
