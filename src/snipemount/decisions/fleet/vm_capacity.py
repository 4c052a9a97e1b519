"""How many legs of queries over all shards a VM bears."""

from __future__ import annotations

LEG_CORE_MS = 0.165  # processor time of a leg on one core
LEG_BYTES = 1200  # a part of 1,000 bytes with its headers
BYTES_PER_S_AND_MBPS = 125_000.0
MS_PER_S = 1000.0
# Legs that have waited so long are no use for a query with a usual latency objective.
MAX_WAIT_S = 0.1


def legs_per_s(cores: float, link_mbps: float) -> float:
    """Return how many legs a second the processor and the link of a VM bear.

    Parameters
    ----------
    cores : float
        Processor time per second for one thread, in cores of the usual speed.
    link_mbps : float
        Bandwidth of the link in Mbit/s; 0 when it is not known, so that the processor
        alone counts.
    """
    by_processor = cores * MS_PER_S / LEG_CORE_MS
    if link_mbps <= 0.0:
        return by_processor
    return min(by_processor, link_mbps * BYTES_PER_S_AND_MBPS / LEG_BYTES)


def max_running_legs(capacity_legs_per_s: float) -> int:
    """Return with how many running legs a VM takes no further delegated query."""
    return int(capacity_legs_per_s * MAX_WAIT_S)


__all__ = ["legs_per_s", "max_running_legs"]
