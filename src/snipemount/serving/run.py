"""A request under way."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .request_log import Unanswered


class Run(ABC):
    """A request under way, until its outcome is told."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop all work: the caller has left."""

    @abstractmethod
    def unanswered(self) -> list[Unanswered]:
        """Return the services that gave no answer, for the log."""


class NoRun(Run):
    """A request whose outcome was known at once."""

    def cancel(self) -> None:
        """Do nothing."""

    def unanswered(self) -> list[Unanswered]:
        """Return nothing: no service was asked."""
        return []


__all__ = ["NoRun", "Run"]
