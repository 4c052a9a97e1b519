"""`snipemount experiment`: run one experiment in virtual time."""

from __future__ import annotations

import sys
from enum import Enum
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from ..errors import ResultCode, SnipemountError
from ..experiments import operator_orders, serving, soak
from ..experiments.report import Report, plot, to_text

if TYPE_CHECKING:
    from collections.abc import Callable


class ExperimentName(Enum):
    """Names of the experiments on the command line."""

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
    ExperimentName.SILENT: serving.unresponsive_connections,
    ExperimentName.POISON: serving.poison,
    ExperimentName.OWNERSHIP: serving.ownership,
    ExperimentName.PROVING: serving.proving,
    ExperimentName.IN_FORCE: operator_orders.in_force,
    ExperimentName.ZONE_MOVE: operator_orders.zone_move,
    ExperimentName.SOAK: soak.soak,
}


@cappa.command(name="experiment", help="Run one experiment in virtual time.")
@attrs.define
class Experiment:
    """Arguments of `experiment`.

    Parameters
    ----------
    name : ExperimentName
        Experiment to run.
    plot : Path or None
        File that gets a plot of the latencies; None for no plot.
    first : int or None
        Number of the first case of `moves`; None starts at 0.
    count : int
        Number of cases of `moves`.
    """

    name: Annotated[ExperimentName, cappa.Arg(help="Experiment to run.")]
    plot: Annotated[Path | None, cappa.Arg(long=True, help="Plot file.")] = None

    first: Annotated[int | None, cappa.Arg(long=True, help="First case of moves.")] = (
        None
    )
    count: Annotated[int, cappa.Arg(long=True, help="Number of cases.")] = 40

    def __call__(self) -> None:
        """Print the report; exit with status 1 when a target is missed.

        Raises
        ------
        SnipemountError
            When a plot is asked for and matplotlib is not installed.
        """
        if self.name is ExperimentName.MOVES:
            report = operator_orders.moves(self.first or 0, self.count)
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
            detail = "plots need matplotlib: pip install 'snipemount[plots]'"
            raise SnipemountError(ResultCode.INTERNAL, detail) from error


__all__ = ["Experiment", "ExperimentName"]
