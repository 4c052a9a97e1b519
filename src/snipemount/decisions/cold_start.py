"""How much of its capacity a backend server is given after a cold start."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.profile import ColdStartLimits
    from .latency_reference import LatencyReference

SLOW_RATIO = 2.0
SLOW_SETBACK = 2
SLOWNESS_DRIFT = 0.55
MOST_LOG_RATIO = 1.2
SLOWNESS_LIMIT = 1.7
SHED_FACTOR = 0.7


class ColdStartGuard:
    """Fraction of full concurrency that a server may be given now.

    The fall to the cold fraction is immediate; the climb needs time and good
    answers. A new start id, a run of slow answers or a lost server are taken
    as a cold start, whatever the health endpoint says.

    Parameters
    ----------
    server : str
        Backend server's name.
    limits : ColdStartLimits
        Initial fraction, ramp time and answers for each step.
    reference : LatencyReference
        What an exchange takes on a warm server of the service.
    cold : bool
        Whether the server starts out cold.
    now_ms : float
        Time of creation.
    """

    def __init__(
        self,
        server: str,
        limits: ColdStartLimits,
        reference: LatencyReference,
        cold: bool,
        now_ms: float,
    ) -> None:
        self._server = server
        self._limits = limits
        self._reference = reference
        self._start_id: str | None = None
        self._slowness = 0.0
        self._answers = 0
        self._stepped_at_ms = now_ms
        self.fraction = limits.initial_fraction if cold else 1.0
        reference.servers.add(server)

    @property
    def cold(self) -> bool:
        """Whether the server is not yet given its full load."""
        return self.fraction < 1.0

    def turn_cold(self, now_ms: float) -> None:
        """Fall to the cold fraction at once."""
        self.fraction = self._limits.initial_fraction
        self._answers = 0
        self._slowness = 0.0
        self._stepped_at_ms = now_ms

    def see_start_id(self, start_id: str, now_ms: float) -> None:
        """Take a changed start id as a cold start."""
        changed = self._start_id is not None and start_id != self._start_id
        self._start_id = start_id
        if changed:
            self.turn_cold(now_ms)

    def see_answer(self, latency_ms: float, now_ms: float) -> None:
        """Climb on good answers, fall on a run of slow ones."""
        median_ms = self._reference.median_ms
        ratio = 1.0 if median_ms is None else latency_ms / median_ms
        if self.cold:
            self._see_while_cold(ratio, now_ms)
        else:
            self._see_while_warm(ratio, latency_ms, now_ms)

    def see_shed(self, now_ms: float) -> None:
        """Give less to a server that refuses for lack of room."""
        lower = self.fraction * SHED_FACTOR
        self.fraction = max(self._limits.initial_fraction, lower)
        self._answers = 0
        self._stepped_at_ms = now_ms

    def _see_while_cold(self, ratio: float, now_ms: float) -> None:
        if ratio <= SLOW_RATIO:
            self._climb(now_ms)
        else:
            self._answers = max(0, self._answers - SLOW_SETBACK)

    def _see_while_warm(self, ratio: float, latency_ms: float, now_ms: float) -> None:
        log_ratio = min(MOST_LOG_RATIO, math.log(max(ratio, 0.01)))
        self._slowness = max(0.0, self._slowness + log_ratio - SLOWNESS_DRIFT)
        if self._slowness > SLOWNESS_LIMIT:
            if self._reference.may_call_slow(self._server):
                self.turn_cold(now_ms)
                return
            self._slowness = SLOWNESS_LIMIT
        self._reference.add(latency_ms)

    def _climb(self, now_ms: float) -> None:
        self._answers += 1
        rested = now_ms - self._stepped_at_ms >= self._limits.step_ms
        if not rested or self._answers < self._answers_needed():
            return
        self.fraction = min(1.0, self.fraction * self._limits.growth)
        self._answers = 0
        self._stepped_at_ms = now_ms
        if not self.cold:
            self._reference.called_warm(self._server)

    def _answers_needed(self) -> int:
        if self._reference.median_ms is None:
            return self._limits.answers
        return self._limits.proven_answers


__all__ = ["ColdStartGuard"]
