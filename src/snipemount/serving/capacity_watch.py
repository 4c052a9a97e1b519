"""Events and figures that show the learnt capacity of leafs to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

    from structlog.typing import FilteringBoundLogger

    from ..decisions.leafs.leaf_directory import LeafDirectory
    from ..decisions.leafs.leaf_state import LeafState
    from ..timers import TimerService

CHECK_PERIOD_MS = 5000.0  # a check of 4,500 leafs takes about 20 ms
MAX_LINES_PER_CHECK = 10
# The limit is never below 1, so with two slots half of them is the least; as a moving
# average it only comes near that.
LOW_SHARE = 0.55
RECOVERED_SHARE = 0.75
LIMITED_SHARE = 0.9  # of the slots; latencies scatter, so a limit is rarely all of them


class CapacityWatch:
    """Logs leafs whose learnt limit is low, at most a few lines at a check.

    Parameters
    ----------
    directory : LeafDirectory
        Known leafs.
    timers : TimerService
        Clock.
    logger : FilteringBoundLogger
        Receives the events.

    Attributes
    ----------
    limited_count : int
        Leafs with a learnt limit under their slots.
    slowest_ratio : float
        Highest service time of a leaf relative to the typical latency; 0 if none has a
        learnt capacity.
    """

    def __init__(
        self,
        directory: LeafDirectory,
        timers: TimerService,
        logger: FilteringBoundLogger,
    ) -> None:
        self._directory = directory
        self._timers = timers
        self._logger = logger
        self._low: set[Hashable] = set()
        self.limited_count = 0
        self.slowest_ratio = 0.0

    def start(self) -> None:
        """Check periodically."""
        self._timers.call_every(CHECK_PERIOD_MS, self.check)

    def check(self) -> None:
        """Update the figures, and log leafs whose limit has fallen or recovered.

        Changes beyond the bound on lines are logged at a later check, if they last.
        """
        now_ms = self._timers.now_ms()
        limited_count, slowest_ratio = 0, 0.0
        lines = 0
        low: set[Hashable] = set()
        for state in self._directory.all_states():
            capacity = state.capacity
            if capacity is None:
                continue
            share = capacity.limit(now_ms) / capacity.slots
            limited_count += share < LIMITED_SHARE
            slowest_ratio = max(slowest_ratio, capacity.service_ratio(now_ms))
            incarnation = state.leaf.incarnation
            was_low = is_low = incarnation in self._low
            if _is_low(share, capacity.slots, was_low) != was_low:
                lines += 1
                if lines <= MAX_LINES_PER_CHECK:
                    is_low = not was_low
                    self._log(state, is_low, now_ms)
            if is_low:
                low.add(incarnation)
        self._low = low
        self.limited_count, self.slowest_ratio = limited_count, slowest_ratio

    def _log(self, state: LeafState, is_low: bool, now_ms: float) -> None:
        assert state.capacity is not None
        self._logger.info(
            "leaf_capacity_low" if is_low else "leaf_capacity_recovered",
            leaf=state.leaf.leaf_id,
            service=state.leaf.service,
            limit=round(state.capacity.limit(now_ms), 1),
            slots=state.capacity.slots,
            service_ratio=round(state.capacity.service_ratio(now_ms), 2),
        )


def _is_low(share: float, slots: int, was_low: bool) -> bool:
    """Return whether a limit, as a share of the slots, is low; with hysteresis."""
    if was_low:
        return share < RECOVERED_SHARE
    return slots > 1 and share < LOW_SHARE


__all__ = ["CapacityWatch"]
