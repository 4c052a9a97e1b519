"""What is remembered of one request that servers were lost to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ...model.crash import StrikeNotice

MAX_STRIKES = 8  # kept of one request: more would not change a decision


@attrs.frozen
class Strike:
    """A notice and the monotonic time of the crash."""

    notice: StrikeNotice
    at_ms: float


@attrs.define(eq=False)
class RequestStrikes:
    """Strikes against one request, and what speaks for it.

    Parameters
    ----------
    strikes : dict of str to Strike
        By the ids of their notices, in the order in which they were learnt.
    answers : dict of str to float
        Time of the last answer of each software that strikes name.
    answered_ms : float
        Time of the last answer of any software.
    answered_by : str
        Software that answered first since the last strike; empty if none has.
    tried_ms : float
        Time of the last try.
    first_seen : dict of str to float
        When each version of a service was first available that no strike names.
    refused_strikes : int
        Number of strikes when the request was last refused.
    """

    strikes: dict[str, Strike] = attrs.field(factory=dict)
    answers: dict[str, float] = attrs.field(factory=dict)
    answered_ms: float = -math.inf
    answered_by: str = ""
    tried_ms: float = -math.inf
    first_seen: dict[str, float] = attrs.field(factory=dict)
    refused_strikes: int = 0

    @property
    def last_ms(self) -> float:
        """Time of the last strike."""
        times = (strike.at_ms for strike in self.strikes.values())
        return max(times, default=-math.inf)

    def add(self, strike: Strike) -> None:
        """Add a strike; the oldest one is dropped beyond `MAX_STRIKES`."""
        self.strikes[strike.notice.notice_id] = strike
        self.answered_by = ""
        if len(self.strikes) > MAX_STRIKES:
            del self.strikes[next(iter(self.strikes))]

    def answered(self, software: str, at_ms: float) -> None:
        """Record an answer to the request."""
        self.answered_ms = max(self.answered_ms, at_ms)
        self.answered_by = self.answered_by or software
        if any(s.notice.software == software for s in self.strikes.values()):
            known_ms = self.answers.get(software, -math.inf)
            self.answers[software] = max(known_ms, at_ms)

    def standing(self, proof_ms: float) -> list[Strike]:
        """Return the strikes that no answer of the same software has cleared.

        An answer clears the strikes before it, and for `proof_ms` those after it.
        """
        return [
            strike
            for strike in self.strikes.values()
            if not self._is_cleared(strike, proof_ms)
        ]

    def _is_cleared(self, strike: Strike, proof_ms: float) -> bool:
        answered_ms = self.answers.get(strike.notice.software, -math.inf)
        return answered_ms >= strike.at_ms - proof_ms

    def counted(self, software: str, proof_ms: float) -> list[Strike]:
        """Return the strikes that count against a request to servers of a software.

        Those of other software count too while no server at all has answered.
        """
        standing = self.standing(proof_ms)
        if self.answered_ms < self.last_ms - proof_ms:
            return standing
        return [strike for strike in standing if strike.notice.software == software]


__all__ = ["MAX_STRIKES", "RequestStrikes", "Strike"]
