"""Log lines and counts of callers that were cut off."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..timers import TimerService
    from .caller_refusals import CutOff

PERIOD_MS = 1000.0


class CutOffLog:
    """Writes one line a second at most, which counts the callers by reason.

    Parameters
    ----------
    timers : TimerService
        Timers of the lines.
    logger : FilteringBoundLogger or None
        Receives the lines.
    """

    def __init__(
        self, timers: TimerService, logger: FilteringBoundLogger | None
    ) -> None:
        self._timers = timers
        self._logger = logger
        self._pending: Counter[CutOff] = Counter()
        self.total = 0

    def note(self, reason: CutOff) -> None:
        """Count a caller that was cut off."""
        if not self._pending:
            self._timers.call_later(PERIOD_MS, self._write)
        self._pending[reason] += 1
        self.total += 1

    def _write(self) -> None:
        counts, self._pending = self._pending, Counter()
        if self._logger is None:
            return
        for reason, count in counts.items():
            self._logger.warning("caller_cut_off", reason=reason.value, count=count)


__all__ = ["CutOffLog"]
