"""Plan of a move: the new version's share of the traffic over time.

Progress is the elapsed fraction of the time between start and finish of the move.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ...model.move import MoveState

if TYPE_CHECKING:
    from ...model.move import MoveRecord

CANARY_SHARE = 0.045
CANARY_SAMPLES = 60
REDUCED_CANARY_SAMPLES = 4  # enough from REDUCED_SAMPLES_PROGRESS on
CANARY_END_PROGRESS = 0.3
REDUCED_SAMPLES_PROGRESS = 0.6
SEEN_ONLY_PROGRESS = 0.7
MIN_SEEN = 4  # evaluated or not; enough from SEEN_ONLY_PROGRESS on
MIN_SAMPLES_TO_COMPLETE = 12
FULL_SHARE_PROGRESS = 0.8
MIN_DONE_PROGRESS = 0.95
SHARE_RISE_PER_S = 0.1
MAX_STEP_MS = 1000.0


@attrs.frozen
class MoveEvidence:
    """Evidence on the new version, summarised.

    Parameters
    ----------
    seen : int
        Exchanges with the new version, over all daemons.
    samples : int
        Exchanges that were evaluated, without those of servers warming up.
    clean : bool
        Whether there is little evidence against it, so that the share may rise.
    bad : bool
        Whether the evidence has exceeded the alarm threshold.
    evidence_negligible : bool
        Whether the evidence is low enough to complete the move.
    """

    seen: int
    samples: int
    clean: bool
    bad: bool
    evidence_negligible: bool = True


class MovePlan:
    """Computes the new version's share at this daemon.

    The share drops to 0 as soon as the evidence is bad, whichever daemon gathered
    it. It rises only while the evidence is clean and this daemon knows that it is
    not cut off. It stays at the canary share until enough exchanges have been
    evaluated.

    Parameters
    ----------
    record : MoveRecord
        The move.

    Attributes
    ----------
    share : float
        Share of new queries that go to the new version, from 0 to 1.
    """

    def __init__(self, record: MoveRecord) -> None:
        self.record = record
        self.share = 0.0
        self._last_update_ms: float | None = None
        self._judged_bad = False

    def update(
        self, evidence: MoveEvidence, confirmed: bool, wall_ms: float, now_ms: float
    ) -> float:
        """Update the share and return it.

        Parameters
        ----------
        evidence : MoveEvidence
            Current evidence on the new version.
        confirmed : bool
            Whether this daemon knows that it is not cut off.
        wall_ms : float
            Wall-clock time; gives the progress of the move.
        now_ms : float
            Monotonic time; bounds the rise since the previous update.
        """
        step_ms = 0.0 if self._last_update_ms is None else now_ms - self._last_update_ms
        self._last_update_ms = now_ms
        self._judged_bad = self._judged_bad or evidence.bad
        self.share = self._next_share(evidence, confirmed, wall_ms, step_ms)
        return self.share

    def may_complete(self, evidence: MoveEvidence, wall_ms: float) -> bool:
        """Return whether the move may be recorded as done."""
        at_full_share = (
            self._progress(wall_ms) >= MIN_DONE_PROGRESS and self.share >= 1.0
        )
        evaluated = evidence.seen == 0 or evidence.samples >= MIN_SAMPLES_TO_COMPLETE
        return (
            at_full_share
            and evaluated
            and evidence.evidence_negligible
            and not evidence.bad
        )

    def is_overdue(self, wall_ms: float) -> bool:
        """Return whether the finish time has passed before the share reached 1."""
        running = self.record.state is MoveState.RUNNING
        return running and wall_ms > self.record.finish_wall_ms and self.share < 1.0

    def _next_share(
        self, evidence: MoveEvidence, confirmed: bool, wall_ms: float, step_ms: float
    ) -> float:
        record = self.record
        if record.state is MoveState.DONE:
            return 1.0
        if record.state is MoveState.TAKEN_BACK or self._judged_bad:
            return 0.0
        if record.state is MoveState.HELD:
            return min(self.share, record.held_share)
        target = self._target_share(evidence, wall_ms)
        if target <= self.share:
            return self.share
        if not confirmed or not evidence.clean:
            return self.share
        max_step = SHARE_RISE_PER_S * min(step_ms, MAX_STEP_MS) / 1000.0
        return min(target, self.share + max(max_step, self._initial_step()))

    def _initial_step(self) -> float:
        return CANARY_SHARE if self.share < CANARY_SHARE else 0.0

    def _target_share(self, evidence: MoveEvidence, wall_ms: float) -> float:
        progress = self._progress(wall_ms)
        if not self._canary_finished(evidence, progress):
            return CANARY_SHARE
        ramp = (progress - CANARY_END_PROGRESS) / (
            FULL_SHARE_PROGRESS - CANARY_END_PROGRESS
        )
        return min(1.0, max(CANARY_SHARE, ramp))

    @staticmethod
    def _canary_finished(evidence: MoveEvidence, progress: float) -> bool:
        if progress < CANARY_END_PROGRESS:
            return False
        if evidence.samples >= CANARY_SAMPLES:
            return True
        if progress >= SEEN_ONLY_PROGRESS and evidence.seen >= MIN_SEEN:
            return True
        enough_samples = evidence.samples >= REDUCED_CANARY_SAMPLES
        return progress >= REDUCED_SAMPLES_PROGRESS and (
            enough_samples or evidence.seen == 0
        )

    def _progress(self, wall_ms: float) -> float:
        record = self.record
        length_ms = max(1.0, record.finish_wall_ms - record.started_wall_ms)
        return (wall_ms - record.started_wall_ms) / length_ms


__all__ = ["CANARY_SHARE", "MoveEvidence", "MovePlan"]
