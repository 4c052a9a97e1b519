"""How old the state known from the platform's store may become."""

from __future__ import annotations

import attrs

MAX_WATCH_WAIT_MS = 3000.0
# Of the operators' bound. What remains after the maximum age is for a read of the store
# and for requests that were sent before it.
WATCH_WAIT_SHARE = 0.6
MAX_AGE_SHARE = 0.8
MAX_AGE_MS = 4000.0
# A watch that has reported nothing for so long after its wait is not alive.
WATCH_SILENCE_MS = 1000.0


@attrs.frozen
class StateAgeLimits:
    """Limits that let a daemon heed operators' orders within their bound.

    Parameters
    ----------
    watch_wait_ms : float
        Longest time that a watch waits for a change before it confirms the state.
    max_age_ms : float
        Age of the state at which a daemon reads it from the store itself.
    """

    watch_wait_ms: float = MAX_WATCH_WAIT_MS
    max_age_ms: float = MAX_AGE_MS

    @classmethod
    def for_bound(cls, bound_ms: float) -> StateAgeLimits:
        """Return the limits for the time within which orders have to be heeded."""
        return cls(
            min(MAX_WATCH_WAIT_MS, WATCH_WAIT_SHARE * bound_ms),
            min(MAX_AGE_MS, MAX_AGE_SHARE * bound_ms),
        )

    @property
    def max_silence_ms(self) -> float:
        """Time without any report after which a watch is started anew."""
        return self.watch_wait_ms + WATCH_SILENCE_MS


__all__ = ["StateAgeLimits"]
