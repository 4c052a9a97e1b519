"""Level of admission: how much of each rank's requests start."""

from __future__ import annotations

import math

STEP_MS = 100.0
TARGET_ROUNDS = 1.0
# Leafs still have room at this wait; all but the most urgent rank are held back.
URGENT_TARGET_ROUNDS = 2.5
FULL_ROUNDS = 4.0  # leafs refuse: their queues hold 3 to 8 rounds
# The next rank is held back only if holding the ranks below it does not help, which
# shows at the leafs after some hundred milliseconds.
RISE_PER_S = 5.0  # for the least urgent rank
NEXT_RISE_FACTOR = 0.1  # for each more urgent one
URGENT_RISE_PER_S = 0.2  # for the most urgent one
FALL_PER_S = 1.0  # while only the least urgent rank is held back
NEXT_FALL_PER_S = 2.0
MAX_RISE_MS = 300.0  # counted at once, after a time without requests
FLOOR_SHARE = 0.05
RANK_VALID_MS = 60_000.0  # a daemon may get few requests of a rank
MS_PER_S = 1000.0


class AdmissionLevel:
    """Holds back requests of a service, the least urgent ones first.

    The level is a number of ranks that are held back: at 1.5 the least urgent rank is
    held back as a whole and half of the next one. A floor of each rank always starts.
    It follows the wait at the leafs and not the daemon's own decisions, so daemons that
    see the same leafs have the same level: one that grew while the wait was too long
    spread from 0 to 3 ranks over 86 daemons.

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

    def update(self, rounds: float, now_ms: float) -> None:
        """Follow the wait at the leafs.

        Parameters
        ----------
        rounds : float
            Wait at the leafs, in rounds.
        now_ms : float
            Current time.
        """
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        wanted = self._wanted(rounds)
        if wanted >= self.held_ranks:
            rise = self._rise_per_s() * min(MAX_RISE_MS, elapsed_ms) / MS_PER_S
            self.held_ranks = min(wanted, self.held_ranks + rise)
        else:
            fall_per_s = FALL_PER_S if self.held_ranks <= 1.0 else NEXT_FALL_PER_S
            fall = fall_per_s * elapsed_ms / MS_PER_S
            self.held_ranks = max(wanted, self.held_ranks - fall)

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

    def holds_more_urgent(self, rank: int) -> bool:
        """Return whether requests more urgent than a rank are held back too."""
        return self.held_ranks > self._less_urgent(rank) + 1

    def _less_urgent(self, rank: int) -> int:
        return sum(seen > rank for seen in self._seen_ms)

    def _rise_per_s(self) -> float:
        held = int(self.held_ranks)
        if held >= len(self._seen_ms) - 1:
            return URGENT_RISE_PER_S
        return RISE_PER_S * NEXT_RISE_FACTOR**held

    def _wanted(self, rounds: float) -> float:
        if rounds <= TARGET_ROUNDS or not self._seen_ms:
            return 0.0
        others = len(self._seen_ms) - 1.0
        if rounds <= URGENT_TARGET_ROUNDS:
            span = URGENT_TARGET_ROUNDS - TARGET_ROUNDS
            return others * (rounds - TARGET_ROUNDS) / span
        span = FULL_ROUNDS - URGENT_TARGET_ROUNDS
        return others + min(1.0, (rounds - URGENT_TARGET_ROUNDS) / span)


__all__ = ["FLOOR_SHARE", "FULL_ROUNDS", "STEP_MS", "TARGET_ROUNDS", "AdmissionLevel"]
