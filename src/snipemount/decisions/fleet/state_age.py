"""How old the state known from the platform's store may become."""

from __future__ import annotations

import attrs

MAX_WATCH_WAIT_MS = 3000.0
WATCH_WAIT_SHARE = 0.75  # of the maximum age
# Of the operators' bound. What remains is for requests that were sent before it, and at
# least for the periodic check, for another daemon to be asked, and for a read.
MAX_AGE_SHARE = 0.8
CHECK_PERIOD_MS = 250.0
READ_MS = 100.0
MAX_AGE_MS = 4000.0
LAZY_WATCH_SHARE = 0.9  # of the maximum age, up to which a watch may be delayed
# Of the maximum age, at which the first daemon in line reads the store for the others.
EARLY_AGE_SHARE = 0.85
# For a daemon in line to hand over its current state, until the store itself is called.
OUTDATED_SEEK_MS = 150.0
MAX_WATCH_DELAY_MS = 700.0  # for another daemon to be found and followed
# For each daemon that comes before, until one that has lost its relay calls the store.
STORE_DELAY_MS = 300.0
MAX_STORE_DELAY_MS = 3000.0
PROBE_WAIT_MS = 200.0
# A watch that has reported nothing for so long after its wait is not alive.
WATCH_SILENCE_MS = 1000.0


@attrs.frozen
class StateAgeLimits:
    """Limits that let a daemon heed changes of one kind within the operators' bound.

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
        """Return the limits for the time within which changes have to be heeded."""
        reserve_ms = CHECK_PERIOD_MS + OUTDATED_SEEK_MS + READ_MS
        max_age_ms = min(MAX_AGE_MS, MAX_AGE_SHARE * bound_ms, bound_ms - reserve_ms)
        max_age_ms = max(0.0, max_age_ms)
        return cls(min(MAX_WATCH_WAIT_MS, WATCH_WAIT_SHARE * max_age_ms), max_age_ms)

    def age_limit_ms(self, first_in_line: bool) -> float:
        """Return the age at which a daemon gives the followed daemon's state up.

        Parameters
        ----------
        first_in_line : bool
            Whether others of the zone would follow this daemon next. It comes first,
            so that they find a current state with it instead of calling the store all
            at once.
        """
        return EARLY_AGE_SHARE * self.max_age_ms if first_in_line else self.max_age_ms

    def watch_delay_ms(self, age_ms: float) -> float:
        """Return when to begin the watch of a kind that changes rarely.

        Until then another daemon may be found to follow, which saves the call. A state
        that is nearly too old is watched at once.

        Parameters
        ----------
        age_ms : float
            Age of the known state.
        """
        left_ms = LAZY_WATCH_SHARE * self.max_age_ms - age_ms
        return max(0.0, min(MAX_WATCH_DELAY_MS, left_ms))

    def store_delay_ms(self, age_ms: float, preceding: int) -> float:
        """Return when a daemon that has lost the one it followed calls the store.

        All of a zone lose it at the same time, and mostly one of them replaces it soon.

        Parameters
        ----------
        age_ms : float
            Age of the oldest known state.
        preceding : int
            Number of daemons that call it before, and may be followed then.
        """
        left_ms = LAZY_WATCH_SHARE * self.max_age_ms - age_ms
        delay_ms = min(MAX_STORE_DELAY_MS, STORE_DELAY_MS * preceding)
        return max(0.0, min(delay_ms, left_ms))

    @property
    def probe_age_ms(self) -> float:
        """Age from which on a watch is answered soon, to learn whether it does."""
        return self.watch_wait_ms - PROBE_WAIT_MS

    @property
    def max_offered_age_ms(self) -> float:
        """Age from which another daemon's state is not taken over."""
        return LAZY_WATCH_SHARE * self.max_age_ms

    @property
    def max_silence_ms(self) -> float:
        """Time without any report after which a watch is started anew."""
        return self.watch_wait_ms + WATCH_SILENCE_MS


# Reports on crashes are few, and each call is charged for; a change comes at once.
CRASH_REPORT_AGES = StateAgeLimits(watch_wait_ms=10_000.0, max_age_ms=20_000.0)

__all__ = [
    "CHECK_PERIOD_MS",
    "CRASH_REPORT_AGES",
    "MAX_WATCH_WAIT_MS",
    "OUTDATED_SEEK_MS",
    "READ_MS",
    "StateAgeLimits",
]
