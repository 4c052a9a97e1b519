"""Interface to the leafs, which sends one request to one leaf."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.forwarding import AttemptOutcome, ForwardRequest, LoadReport
    from ..model.leaf import Leaf
    from ..model.leaf_notice import LeafNotice


@attrs.frozen
class AttemptReport:
    """Result of one attempt.

    Parameters
    ----------
    outcome : AttemptOutcome
        Response of the leaf, or why there is none.
    load : LoadReport or None
        Load that the leaf reported; None when it reported none.
    bytes_read : int
        Bytes read for this attempt, headers included.
    connect_ms : float
        Time spent on opening a connection; 0 when one was open.
    notice : LeafNotice or None
        What the leaf states about itself; None without a response of this leaf.
    """

    outcome: AttemptOutcome
    load: LoadReport | None = None
    bytes_read: int = 0
    connect_ms: float = 0.0
    notice: LeafNotice | None = None


class ProbeResult(Enum):
    """What became of a connection that was opened to learn whether a leaf runs."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # nobody listens at the address
    NO_RESPONSE = "no_response"


class AttemptHandle(ABC):
    """An attempt that is pending."""

    @property
    @abstractmethod
    def was_sent(self) -> bool:
        """Whether the request was sent, so that it may reach the leaf."""

    @abstractmethod
    def cancel(self) -> bool:
        """Cancel the attempt; its `done` callback is not called any more.

        Returns
        -------
        bool
            Whether the request was already sent, so that it may reach the leaf.
        """


class LeafPort(ABC):
    """Sends requests to leafs."""

    @abstractmethod
    def send(
        self,
        leaf: Leaf,
        request: ForwardRequest,
        time_left_ms: float,
        done: Callable[[AttemptReport], None],
    ) -> AttemptHandle:
        """Send `request` to `leaf`.

        Parameters
        ----------
        leaf : Leaf
            Leaf to send to.
        request : ForwardRequest
            Request to send.
        time_left_ms : float
            Time left until the deadline, which is sent to the leaf.
        done : Callable
            Called with the report, never before this method returns.

        Returns
        -------
        AttemptHandle
            Cancels the attempt.
        """

    @abstractmethod
    def probe(self, leaf: Leaf, done: Callable[[ProbeResult], None]) -> None:
        """Open a connection; `done` is called with what became of it."""

    @abstractmethod
    def ensure_connection(self, leaf: Leaf) -> bool:
        """Start to open a connection if the leaf has none.

        Returns
        -------
        bool
            Whether a connection is being opened by this call.
        """

    @abstractmethod
    def close_idle(self, leaf: Leaf) -> None:
        """Close the idle connections to a leaf that must not be used any more."""


__all__ = ["AttemptHandle", "AttemptReport", "LeafPort", "ProbeResult"]
