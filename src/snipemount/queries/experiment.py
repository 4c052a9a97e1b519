"""`snipemount experiment`: measure one matter in virtual time."""

from __future__ import annotations

import sys
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from ..errors import ResultCode, SnipemountError
from ..experiments import serving, soak, steering
from ..experiments.report import Report, plot, to_text

if TYPE_CHECKING:
    from collections.abc import Callable


class ExperimentName(Enum):
    """Experiments, and what each measures."""

    STRAGGLERS = "stragglers"
    LOST_REPLICA = "lost-replica"
    OVERLOAD = "overload"
    COLD_JOIN = "cold-join"
    SILENT = "silent"
    POISON = "poison"
    OWNERSHIP = "ownership"
    PROVING = "proving"
    MOVES = "moves"
    IN_FORCE = "in-force"
    ZONE_MOVE = "zone-move"
    SOAK = "soak"


EXPERIMENTS: dict[ExperimentName, Callable[[], Report]] = {
    ExperimentName.STRAGGLERS: serving.stragglers,
    ExperimentName.LOST_REPLICA: serving.lost_replica,
    ExperimentName.OVERLOAD: serving.overload,
    ExperimentName.COLD_JOIN: serving.cold_join,
    ExperimentName.SILENT: serving.silent,
    ExperimentName.POISON: serving.poison,
    ExperimentName.OWNERSHIP: serving.ownership,
    ExperimentName.PROVING: serving.proving,
    ExperimentName.IN_FORCE: steering.in_force,
    ExperimentName.ZONE_MOVE: steering.zone_move,
    ExperimentName.SOAK: soak.soak,
}


@cappa.command(name="experiment", help="Measure one matter in virtual time.")
@attrs.define
class Experiment:
    """Arguments of the subcommand.

    Parameters
    ----------
    name : ExperimentName
        What to measure.
    plot : Path or None
        File for a plot.
    first : int or None
        First case, for `moves`; the very first if left out.
    count : int
        Number of cases, for `moves`.
    """

    name: Annotated[ExperimentName, cappa.Arg(help="What to measure.")]
    plot: Annotated[Path | None, cappa.Arg(long=True, help="Plot file.")] = None

    first: Annotated[int | None, cappa.Arg(long=True, help="First case.")] = None
    count: Annotated[int, cappa.Arg(long=True, help="Cases of moves.")] = 40

    def __call__(self) -> None:
        """Print the table; the exit status tells whether all targets are met."""
        if self.name is ExperimentName.MOVES:
            report = steering.moves(self.first or 0, self.count)
        else:
            report = EXPERIMENTS[self.name]()
        print(to_text(report))
        if self.plot is not None:
            self._plot(report, self.plot)
        if not all(target.met for target in report.targets):
            sys.exit(1)

    @staticmethod
    def _plot(report: Report, path: Path) -> None:
        try:
            plot(report, path)
        except ModuleNotFoundError as error:
            detail = "plots need the extra: pip install 'snipemount[plots]'"
            raise SnipemountError(ResultCode.INTERNAL, detail) from error


__all__ = ["Experiment", "ExperimentName"]
