"""Level of admission: how much of each rank's requests start."""

from __future__ import annotations

import math

TARGET_ROUNDS = 1.0
# The most urgent rank is held back only when leafs are about to refuse.
URGENT_TARGET_ROUNDS = 2.5
STEP_MS = 100.0
MAX_STEPS = 3.0  # at once, after a time without requests
RISE_FACTOR = 1.25
FIRST_RISE = 0.1
FALL_PER_S = 0.5
IDLE_FALL_PER_S = 2.0  # with no queue at the leafs
FLOOR_SHARE = 0.05
RANK_VALID_MS = 10_000.0
MS_PER_S = 1000.0


class AdmissionLevel:
    """Holds back requests of a service, the least urgent ones first.

    The level is a number of ranks that are held back: at 1.5 the least urgent rank is
    held back as a whole and half of the next one. A floor of each rank always starts.

    Attributes
    ----------
    held_ranks : float
        The level; 0 while everything starts.
    """

    def __init__(self) -> None:
        self.held_ranks = 0.0
        self._updated_ms = -math.inf
        self._seen_ms: dict[int, float] = {}

    def note_rank(self, rank: int, now_ms: float) -> None:
        """Record that a request of a rank has arrived."""
        self._seen_ms[rank] = now_ms
        oldest_ms = now_ms - RANK_VALID_MS
        if any(seen_ms < oldest_ms for seen_ms in self._seen_ms.values()):
            self._seen_ms = {r: t for r, t in self._seen_ms.items() if t >= oldest_ms}

    def update(self, rounds: float, reported_ms: float, now_ms: float) -> None:
        """Follow the load of the leafs.

        Parameters
        ----------
        rounds : float
            Wait at the leafs, in rounds.
        reported_ms : float
            Time of their latest response; without a newer one the level does not rise.
        now_ms : float
            Current time.
        """
        elapsed_ms = now_ms - self._updated_ms
        is_newer = reported_ms > self._updated_ms
        self._updated_ms = now_ms
        if rounds > TARGET_ROUNDS:
            if is_newer:
                self._rise(rounds, min(MAX_STEPS, elapsed_ms / STEP_MS))
        elif self.held_ranks:
            idle = 1.0 - rounds / TARGET_ROUNDS
            fall_per_s = FALL_PER_S + idle * (IDLE_FALL_PER_S - FALL_PER_S)
            fall = fall_per_s * elapsed_ms / MS_PER_S
            self.held_ranks = max(0.0, self.held_ranks - fall)

    def release_all(self) -> None:
        """Hold nothing back, as nothing is known of the leafs."""
        self.held_ranks = 0.0

    def share(self, rank: int) -> float:
        """Return the share of a rank's requests that start."""
        held = self.held_ranks - self._less_urgent(rank)
        return min(1.0, max(FLOOR_SHARE, 1.0 - held))

    def ms_until(self, rank: int, position: float) -> float:
        """Return the time until a request starts if the load falls below the target.

        Parameters
        ----------
        rank : int
            Rank of the request.
        position : float
            Its position among its rank's requests, 0 to 1.
        """
        excess = self.held_ranks - self._less_urgent(rank) - (1.0 - position)
        return max(0.0, excess) / FALL_PER_S * MS_PER_S

    def _less_urgent(self, rank: int) -> int:
        return sum(seen > rank for seen in self._seen_ms)

    def _rise(self, rounds: float, steps: float) -> None:
        ranks = len(self._seen_ms)
        most = float(ranks if rounds > URGENT_TARGET_ROUNDS else ranks - 1)
        raised = max(FIRST_RISE, self.held_ranks * RISE_FACTOR**steps)
        self.held_ranks = max(min(raised, most), min(self.held_ranks, float(ranks)))


__all__ = ["FLOOR_SHARE", "STEP_MS", "TARGET_ROUNDS", "AdmissionLevel"]
