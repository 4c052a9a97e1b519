"""Level of the services that a request asks together."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from .level import STEP_MS, TARGET_ROUNDS, AdmissionLevel
from .served_shares import ServedShares

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from .signal import ServiceSignal

CALM_ROUNDS = 0.25  # up to this wait latencies count as those without load
# From so many shards on, the leafs that were asked are a sample of all leafs. A daemon
# that runs one query a second never hears of most of the others.
MIN_SAMPLED_SHARDS = 8
MIN_OBSERVED_SHARE = 0.25  # of the shards of a query, to judge by the observed ones


class ServiceGroup:
    """One service, or the shards of a query, whose requests share one level.

    Parameters
    ----------
    services : tuple of str
        The services.
    min_share : float
        Share of them that has to answer.
    signals : Mapping
        Load by service.
    leaf_count : Callable
        Returns how many leafs of a service may be asked.

    Attributes
    ----------
    level : AdmissionLevel
        What is held back.
    served : ServedShares
        Shares of the requests that started.
    rounds : float
        Wait at the leafs, as of the last update.
    """

    def __init__(
        self,
        services: tuple[str, ...],
        min_share: float,
        signals: Mapping[str, ServiceSignal],
        leaf_count: Callable[[str], int],
    ) -> None:
        self.services = services
        self._min_share = min_share
        self._signals = signals
        self._leaf_count = leaf_count
        self._typical_ms: float | None = None
        self._computed_ms = -math.inf
        self.level = AdmissionLevel()
        self.served = ServedShares()
        self.rounds = 0.0

    @property
    def name(self) -> str:
        """Name for the log."""
        others = len(self.services) - 1
        return f"{self.services[0]}+{others}" if others else self.services[0]

    @property
    def is_over_target(self) -> bool:
        """Whether requests wait at the leafs longer than they should."""
        return self.rounds > TARGET_ROUNDS

    def update(self, now_ms: float) -> None:
        """Compute the load of the leafs and the level, at most every `STEP_MS`."""
        if now_ms - self._computed_ms < STEP_MS:
            return
        self._computed_ms = now_ms
        known = self._signals
        services = [service for service in self.services if service in known]
        signals = {s: known[s] for s in services if known[s].is_observed(now_ms)}
        if not signals or len(signals) < MIN_OBSERVED_SHARE * len(self.services):
            self.rounds = 0.0
            self.level.update(0.0, now_ms)
            return
        waits = sorted(
            signal.rounds(now_ms, partial(self._leafs_to_count, service))
            for service, signal in signals.items()
        )
        # The query is answered once enough shards have room for it.
        needed = max(1, math.ceil(self._min_share * len(waits)))
        self.rounds = waits[min(needed, len(waits)) - 1]
        self.level.update(self.rounds, now_ms)

    def _leafs_to_count(self, service: str) -> int:
        is_sampled = len(self.services) >= MIN_SAMPLED_SHARDS
        return 0 if is_sampled else self._leaf_count(service)

    def expected_ms(self, typical_ms: float) -> float:
        """Return the time that an answer takes at the present load.

        Parameters
        ----------
        typical_ms : float
            Time that it usually takes now; remembered while nothing waits, as it grows
            with the load.
        """
        if self._typical_ms is None or self.rounds <= CALM_ROUNDS:
            self._typical_ms = typical_ms
        return min(self._typical_ms, typical_ms) * (1.0 + self.rounds)


__all__ = ["ServiceGroup"]
