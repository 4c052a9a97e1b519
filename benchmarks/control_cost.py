"""Control traffic, CPU and memory of a daemon by number of daemons.

All daemons run in this process in virtual time without any query; so the CPU
includes the fakes, and is an upper bound. Bytes are those of the mesh codec.
"""

from __future__ import annotations

import gc
import resource
import sys
import time

import attrs

from snipemount.adapters.mesh_codec import FrameEncoder
from snipemount.decisions.membership import Member
from snipemount.experiments.world import World
from snipemount.ports.peer import PeerMessage
from snipemount.standins.deployments import DeploymentPlan, ServicePlan

SIZES = (8, 24, 48, 96)
SERVERS_PER_DAEMON = 2.7
VIRTUAL_S = 10.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
KIB = 1024.0


@attrs.frozen
class Row:
    """Figures of one size, each for one daemon."""

    daemons: int
    servers: int
    messages_per_s: float
    bytes_per_s: float
    cpu_percent: float
    memory_kib: float


def plan_of(daemons: int) -> DeploymentPlan:
    """Return a deployment that grows in step with its daemons."""
    per_zone = max(1, round(daemons * SERVERS_PER_DAEMON / len(ZONES)))
    service = ServicePlan("finder", per_zone, 2, 2, 25, 6.0, 20.0)
    return DeploymentPlan("bench", ZONES, daemons, 0.5, 1.0, (service,))


def measure(daemons: int) -> Row:
    """Run one size for a while and return its figures."""
    plan = plan_of(daemons)
    gc.collect()
    before_kib = _resident_kib()
    world = World(plan, 1)
    world.run_for(3000.0)
    counted = {"messages": 0, "bytes": 0}
    deliver = world.mesh.deliver

    def counting(sender: Member, receiver: Member, message: PeerMessage) -> bool:
        encoder = FrameEncoder()
        encoder.add(message)
        counted["messages"] += 1
        counted["bytes"] += len(encoder.take())
        return deliver(sender, receiver, message)

    world.mesh.deliver = counting  # type: ignore[method-assign]
    world.run_for(VIRTUAL_S * 1000.0)
    world.mesh.deliver = deliver  # type: ignore[method-assign]
    started_s = time.process_time()
    world.run_for(VIRTUAL_S * 1000.0)
    cpu_s = time.process_time() - started_s
    seconds = VIRTUAL_S * daemons
    return Row(
        daemons=daemons,
        servers=len(world.models),
        messages_per_s=counted["messages"] / seconds,
        bytes_per_s=counted["bytes"] / seconds,
        cpu_percent=100.0 * cpu_s / seconds,
        memory_kib=max(0.0, _resident_kib() - before_kib) / daemons,
    )


def _resident_kib() -> float:
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return peak / KIB if sys.platform == "darwin" else float(peak)


def slope(rows: list[Row], name: str) -> tuple[float, float]:
    """Return intercept and slope by daemon of a figure, by least squares."""
    xs = [float(row.daemons) for row in rows]
    ys = [float(getattr(row, name)) for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    over = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    rate = over / sum((x - mean_x) ** 2 for x in xs)
    return mean_y - rate * mean_x, rate


def main() -> None:
    """Print the table, the slopes and what they make of 830 daemons."""
    rows = [measure(daemons) for daemons in SIZES]
    print(
        f"{'daemons':>8} {'servers':>8} {'msg/s':>8} {'B/s':>9} {'cpu %':>7} {'KiB':>8}"
    )
    for row in rows:
        print(
            f"{row.daemons:8d} {row.servers:8d} {row.messages_per_s:8.1f} "
            f"{row.bytes_per_s:9.0f} {row.cpu_percent:7.2f} {row.memory_kib:8.0f}"
        )
    for name in ("messages_per_s", "bytes_per_s", "cpu_percent", "memory_kib"):
        base, rate = slope(rows, name)
        print(
            f"{name:16} {base:10.2f} + {rate:8.4f} a daemon; 830: "
            f"{base + 830 * rate:12.1f}"
        )


if __name__ == "__main__":
    main()
