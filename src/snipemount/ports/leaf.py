"""Port to the leafs: one request to one leaf."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import ForwardRequest, LegOutcome, LoadReport
    from ..model.leaf import Leaf


@attrs.frozen
class LegReport:
    """What came of one send.

    Parameters
    ----------
    outcome : LegOutcome
        Answer, or why there is none.
    load : LoadReport or None
        Load that the leaf told.
    """

    outcome: LegOutcome
    load: LoadReport | None = None


class LegHandle(ABC):
    """A send that is under way."""

    @abstractmethod
    def cancel(self) -> bool:
        """Make the leaf stop; no report comes any more.

        Returns
        -------
        bool
            Whether the request had left, so that it may reach the leaf.
        """


class LeafPort(ABC):
    """Sends requests to leafs."""

    @abstractmethod
    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[LegReport], None],
    ) -> LegHandle:
        """Send `request`; `done` gets the report, never before this returns."""

    @abstractmethod
    def probe(self, leaf: Leaf, done: Callable[[bool], None]) -> None:
        """Open a connection; `done` gets whether the leaf's VM gave a sign of life."""

    @abstractmethod
    def keep_ready(self, leaf: Leaf) -> bool:
        """Open a connection unless there is one; return whether one is opened."""

    @abstractmethod
    def forget(self, leaf: Leaf) -> None:
        """Close the idle connections to a leaf that is gone."""


__all__ = ["LeafPort", "LegHandle", "LegReport"]
