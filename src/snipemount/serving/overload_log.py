"""Log of services that are overloaded, with a bounded rate of lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from structlog.typing import FilteringBoundLogger

    from ..overload.service_group import ServiceGroup

# An overload ends when nothing was held back for so long; so a service writes at most
# two lines in this time.
CALM_MS = 5000.0


@attrs.define
class _Overload:
    began_ms: float
    held_ms: float
    max_held_ranks: float = 0.0
    max_rounds: float = 0.0
    queued: int = 0
    refused: int = 0


class OverloadLog:
    """Writes when the overload of a service begins and ends.

    Parameters
    ----------
    logger : FilteringBoundLogger
        Receives the events.
    """

    def __init__(self, logger: FilteringBoundLogger) -> None:
        self._logger = logger
        self._overloads: dict[tuple[str, ...], _Overload] = {}

    @property
    def is_open(self) -> bool:
        """Whether an overload has not ended."""
        return bool(self._overloads)

    def note_queued(self, services: tuple[str, ...]) -> None:
        """Count a request that waits."""
        overload = self._overloads.get(services)
        if overload is not None:
            overload.queued += 1

    def note_refused(self, services: tuple[str, ...]) -> None:
        """Count a request that was refused."""
        overload = self._overloads.get(services)
        if overload is not None:
            overload.refused += 1

    def update(self, groups: Iterable[ServiceGroup], now_ms: float) -> None:
        """Write what has begun or ended."""
        for group in groups:
            overload = self._overloads.get(group.services)
            if group.level.held_ranks > 0.0:
                if overload is None:
                    overload = self._begin(group, now_ms)
                overload.held_ms = now_ms
                overload.max_held_ranks = max(
                    overload.max_held_ranks, group.level.held_ranks
                )
                overload.max_rounds = max(overload.max_rounds, group.rounds)
            elif overload is not None and now_ms - overload.held_ms >= CALM_MS:
                self._end(group, overload, now_ms)

    def _begin(self, group: ServiceGroup, now_ms: float) -> _Overload:
        overload = self._overloads[group.services] = _Overload(now_ms, now_ms)
        self._logger.warning(
            "overload_began",
            service=group.name,
            held_ranks=round(group.level.held_ranks, 2),
            wait_rounds=round(group.rounds, 2),
        )
        return overload

    def _end(self, group: ServiceGroup, overload: _Overload, now_ms: float) -> None:
        del self._overloads[group.services]
        self._logger.info(
            "overload_ended",
            service=group.name,
            lasted_ms=round(overload.held_ms - overload.began_ms),
            max_held_ranks=round(overload.max_held_ranks, 2),
            max_wait_rounds=round(overload.max_rounds, 2),
            queued=overload.queued,
            refused=overload.refused,
        )


__all__ = ["OverloadLog"]
