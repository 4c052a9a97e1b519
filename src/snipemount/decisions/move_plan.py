"""The share of the new version in the course of a move."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.move import MoveState

if TYPE_CHECKING:
    from ..model.move import MoveRecord

TRIAL_SHARE = 0.045
TRIAL_SAMPLES = 60
FEW_SAMPLES = 4
TRIAL_END = 0.3
NO_SAMPLES_END = 0.6
LAST_CHANCE = 0.7
FEW_SEEN = 4
SAMPLES_TO_END = 12
FULL_SHARE_AT = 0.8
DONE_AT = 0.95
RISE_PER_S = 0.1
MOST_STEP_MS = 1000.0


@attrs.frozen
class MoveEvidence:
    """What the judge has seen of the new version.

    Parameters
    ----------
    seen : int
        Exchanges with the new version, over all daemons.
    samples : int
        Those of them that were judged: servers warming up are excused.
    clean : bool
        Whether nothing speaks against it just now.
    bad : bool
        Whether it has been judged bad.
    spotless : bool
        Whether next to nothing speaks against it.
    """

    seen: int
    samples: int
    clean: bool
    bad: bool
    spotless: bool = True


class MovePlan:
    """Works out this daemon's share from the move object and fresh evidence.

    The share falls at once on anyone's evidence. It rises only while the
    evidence is clean and the daemon knows that it is not cut off; until enough
    exchanges have been judged it stays at the trial share.

    Parameters
    ----------
    record : MoveRecord
        The move.
    """

    def __init__(self, record: MoveRecord) -> None:
        self.record = record
        self.share = 0.0
        self._last_ms: float | None = None
        self._judged_bad = False

    def update(
        self, evidence: MoveEvidence, confirmed: bool, wall_ms: float, now_ms: float
    ) -> float:
        """Return the share for now.

        Parameters
        ----------
        evidence : MoveEvidence
            What the judge has seen.
        confirmed : bool
            Whether this daemon knows that it is not cut off.
        wall_ms : float
            Wall-clock time.
        now_ms : float
            Monotonic time.
        """
        step_ms = 0.0 if self._last_ms is None else now_ms - self._last_ms
        self._last_ms = now_ms
        self._judged_bad = self._judged_bad or evidence.bad
        self.share = self._next(evidence, confirmed, wall_ms, step_ms)
        return self.share

    def is_due(self, evidence: MoveEvidence, wall_ms: float) -> bool:
        """Return whether the move may be called done."""
        ended = self._progress(wall_ms) >= DONE_AT and self.share >= 1.0
        judged = evidence.seen == 0 or evidence.samples >= SAMPLES_TO_END
        return ended and judged and evidence.spotless and not evidence.bad

    def is_overdue(self, wall_ms: float) -> bool:
        """Return whether the finishing time has passed without proof."""
        running = self.record.state is MoveState.RUNNING
        return running and wall_ms > self.record.finish_wall_ms and self.share < 1.0

    def _next(
        self, evidence: MoveEvidence, confirmed: bool, wall_ms: float, step_ms: float
    ) -> float:
        record = self.record
        if record.state is MoveState.DONE:
            return 1.0
        if record.state is MoveState.TAKEN_BACK or self._judged_bad:
            return 0.0
        if record.state is MoveState.HELD:
            return min(self.share, record.held_share)
        wanted = self._wanted(evidence, wall_ms)
        if wanted <= self.share:
            return self.share
        if not confirmed or not evidence.clean:
            return self.share
        most_step = RISE_PER_S * min(step_ms, MOST_STEP_MS) / 1000.0
        return min(wanted, self.share + max(most_step, self._first_step()))

    def _first_step(self) -> float:
        return TRIAL_SHARE if self.share < TRIAL_SHARE else 0.0

    def _wanted(self, evidence: MoveEvidence, wall_ms: float) -> float:
        progress = self._progress(wall_ms)
        if not self._trial_over(evidence, progress):
            return TRIAL_SHARE
        ramp = (progress - TRIAL_END) / (FULL_SHARE_AT - TRIAL_END)
        return min(1.0, max(TRIAL_SHARE, ramp))

    @staticmethod
    def _trial_over(evidence: MoveEvidence, progress: float) -> bool:
        if progress < TRIAL_END:
            return False
        if evidence.samples >= TRIAL_SAMPLES:
            return True
        if progress >= LAST_CHANCE and evidence.seen >= FEW_SEEN:
            return True
        few = evidence.samples >= FEW_SAMPLES
        return progress >= NO_SAMPLES_END and (few or evidence.seen == 0)

    def _progress(self, wall_ms: float) -> float:
        record = self.record
        length_ms = max(1.0, record.finish_wall_ms - record.started_wall_ms)
        return (wall_ms - record.started_wall_ms) / length_ms


__all__ = ["TRIAL_SHARE", "MoveEvidence", "MovePlan"]
