"""State of a version move at one daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..decisions.moves.move_plan import MoveEvidence

if TYPE_CHECKING:
    from ..decisions.moves.canary_analysis import CanaryAnalysis
    from ..decisions.moves.move_plan import MovePlan
    from ..model.move import MoveRecord


@attrs.define(eq=False)
class RunningMove:
    """State of a move at this daemon.

    Parameters
    ----------
    record : MoveRecord
        Latest known record of the move.
    plan : MovePlan
        Computes the share of the new version.
    analysis : CanaryAnalysis
        Evidence on the new version.
    end_from_ms : float
        Time before which this daemon does not try to end the move; 0 until it
        first tries.
    ending : bool
        Whether calls to the platform that end the move are pending.
    bad_reported : bool
        Whether this daemon has reported the new version as bad.
    """

    record: MoveRecord
    plan: MovePlan
    analysis: CanaryAnalysis
    end_from_ms: float = 0.0
    ending: bool = False
    bad_reported: bool = False

    @property
    def evidence(self) -> MoveEvidence:
        """Summary of the current evidence."""
        analysis = self.analysis
        return MoveEvidence(
            analysis.seen,
            analysis.samples,
            analysis.clean,
            analysis.bad,
            analysis.evidence_negligible,
        )


__all__ = ["RunningMove"]
