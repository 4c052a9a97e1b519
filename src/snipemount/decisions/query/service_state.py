"""State that all queries of one service share in an entry daemon."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...model.exchange import Fate
from ..estimates.quantile import QuantileEstimate
from ..servers.fleet_view import FAILURE_REASONS, FleetView
from ..servers.placement import Placer
from .admission import Admission
from .extra_load import ExtraLoadBudget

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from ...model.exchange import ExchangeReply
    from ...model.fleet import ShardMap
    from ...model.profile import Profile

INITIAL_HEDGE_DELAY_MS = 60.0
INITIAL_MEDIAN_MS = 20.0
MIN_HEDGE_DELAY_MS = 2.0
STRAGGLER_RATIO = 4.0
STRAGGLER_SMOOTHING = 0.002
FAULTY_STRAGGLER_RATE = 0.03


class ServiceState:
    """Server load and health, budget and latencies of one service.

    Parameters
    ----------
    profile : Profile
        Profile in force.
    zone : str
        Availability zone of the daemon.
    exchange_ids : Iterator of int
        Source of exchange ids, unique in the daemon.
    random : Random
        Seeded generator; breaks ties between servers.
    """

    def __init__(
        self,
        profile: Profile,
        zone: str,
        exchange_ids: Iterator[int],
        random: Random,
    ) -> None:
        self.profile = profile
        self.exchange_ids = exchange_ids
        self.fleet = FleetView()
        self.placer = Placer(zone, self.fleet, random)
        self.budget = ExtraLoadBudget(profile.extra_load)
        self.admission = Admission(profile.queue)
        self._hedge_delay = QuantileEstimate(
            profile.hedge_quantile, INITIAL_HEDGE_DELAY_MS
        )
        self._median_latency = QuantileEstimate(0.5, INITIAL_MEDIAN_MS)
        self._straggler_rate = 0.0

    @property
    def hedge_delay_ms(self) -> float:
        """Time in milliseconds after which an exchange counts as slow."""
        return max(MIN_HEDGE_DELAY_MS, self._hedge_delay.value_ms)

    def has_capacity(self, shard_map: ShardMap, now_ms: float) -> bool:
        """Return whether every shard of a map has a server within the target wait."""
        shards = range(shard_map.shard_count)
        placement = self.placer.place(shard_map, shards, now_ms)
        max_wait_ms = self.profile.queue.target_wait_ms
        return not placement.unassigned and placement.expected_wait_ms <= max_wait_ms

    def exchanges_for(self, shard_map: ShardMap, now_ms: float) -> int:
        """Return how many exchanges a query on all shards of this map takes."""
        shards = range(shard_map.shard_count)
        return len(self.placer.place(shard_map, shards, now_ms).assignments)

    def observe(
        self, sent_ms: float, hedged: bool, reply: ExchangeReply, now_ms: float
    ) -> None:
        """Update load, health, latencies and budget from the end of an exchange.

        The latency of a hedge is not recorded, nor that of a hedged exchange,
        which was recorded as slow when the hedge was due.
        """
        self.fleet.note_reply(reply, now_ms)
        if reply.load is not None:
            self.admission.observe(reply.waited_ms)
        if reply.reason in FAILURE_REASONS:
            self.budget.note_fault(now_ms)
        if reply.fate is Fate.ANSWERED and not hedged:
            self._observe_latency(now_ms - sent_ms, now_ms)

    def observe_slow_exchange(self, now_ms: float) -> None:
        """Record that an exchange has exceeded the hedge delay."""
        self._observe_latency(math.inf, now_ms)

    def _observe_latency(self, latency_ms: float, now_ms: float) -> None:
        self._hedge_delay.add(latency_ms)
        self._median_latency.add(latency_ms)
        is_straggler = latency_ms > STRAGGLER_RATIO * self._median_latency.value_ms
        self._straggler_rate += STRAGGLER_SMOOTHING * (
            is_straggler - self._straggler_rate
        )
        if self._straggler_rate > FAULTY_STRAGGLER_RATE:
            self.budget.note_fault(now_ms)


__all__ = ["ServiceState"]
