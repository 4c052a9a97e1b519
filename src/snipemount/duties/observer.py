"""Interface to the part that performs a duty while this daemon holds its lease."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Any


class LeaseObserver(ABC):
    """Is notified when this daemon becomes, or is no longer, the holder of a duty."""

    @abstractmethod
    def on_acquired(self, fence: int, checkpoint: dict[str, Any]) -> None:
        """Begin the duty.

        Parameters
        ----------
        fence : int
            Fencing token: greater than that of any holder before.
        checkpoint : dict
            Last confirmed checkpoint, or a later one that was stored; empty if there
            is none.
        """

    @abstractmethod
    def on_lost(self) -> None:
        """Stop performing the duty; the lease may pass to another daemon."""


__all__ = ["LeaseObserver"]
