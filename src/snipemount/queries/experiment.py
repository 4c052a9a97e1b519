"""`snipemount experiment`: measure one matter in virtual time."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa


@cappa.command(name="experiment", help="Measure one matter in virtual time.")
@attrs.define
class Experiment:
    """Arguments of the subcommand.

    Parameters
    ----------
    name : str
        Name of the experiment.
    """

    name: Annotated[str, cappa.Arg(help="Name of the experiment.")]

    def __call__(self) -> None:
        """Run the experiment and print its table."""


__all__ = ["Experiment"]
