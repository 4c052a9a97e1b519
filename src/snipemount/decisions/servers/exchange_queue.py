"""Queue of exchanges that wait for one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...model.profile import QueueLimits
    from .owner_messages import SubmittedExchange

MIN_BUDGET_MS = 1.0


class ExchangeQueue:
    """Exchanges by priority, and by arrival within one, up to a length.

    Parameters
    ----------
    limits : QueueLimits
        Greatest length, and longest wait.
    """

    def __init__(self, limits: QueueLimits) -> None:
        self._limits = limits
        self._waiting: list[SubmittedExchange] = []

    def __len__(self) -> int:
        return len(self._waiting)

    def __iter__(self) -> Iterator[SubmittedExchange]:
        return iter(self._waiting)

    def add(self, submitted: SubmittedExchange) -> SubmittedExchange | None:
        """Add an exchange.

        Returns
        -------
        SubmittedExchange or None
            The exchange that a full queue has no place for: the least urgent one, or
            the given one if none is less urgent.
        """
        evicted = None
        if len(self._waiting) >= self._limits.length:
            evicted = max(self._waiting, key=lambda s: s.exchange.priority)
            if evicted.exchange.priority <= submitted.exchange.priority:
                return submitted
            self._waiting.remove(evicted)
        index = len(self._waiting)
        priority = submitted.exchange.priority
        while index and self._waiting[index - 1].exchange.priority > priority:
            index -= 1
        self._waiting.insert(index, submitted)
        return evicted

    def remove(self, submitted: SubmittedExchange) -> None:
        """Remove an exchange."""
        self._waiting.remove(submitted)

    def take_overdue(self, now_ms: float) -> list[SubmittedExchange]:
        """Remove and return the exchanges that have waited too long."""
        overdue = [s for s in self._waiting if self._is_overdue(s, now_ms)]
        for submitted in overdue:
            self._waiting.remove(submitted)
        return overdue

    def take_all(self) -> list[SubmittedExchange]:
        """Remove and return all exchanges."""
        taken, self._waiting = self._waiting, []
        return taken

    def _is_overdue(self, submitted: SubmittedExchange, now_ms: float) -> bool:
        waited_ms = now_ms - submitted.arrived_ms
        return (
            waited_ms > self._limits.wait_ms
            or submitted.remaining_ms(now_ms) < MIN_BUDGET_MS
        )


__all__ = ["MIN_BUDGET_MS", "ExchangeQueue"]
