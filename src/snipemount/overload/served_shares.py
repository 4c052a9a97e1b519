"""Shares of the recent requests that started, of all and of each organisation."""

from __future__ import annotations

import math

import attrs

DECAY_MS = 10_000.0
# Requests that an organisation is assumed to have made before, at the share of its
# rank: a daemon that sees few of them must not judge by the first one.
ASSUMED_REQUESTS = 2.0
MIN_SHARE_OF_OVERALL = 0.5  # twice what is promised: daemons see it approximately
MAX_ORGANISATIONS = 1024


@attrs.define
class _Tally:
    asked: float = 0.0
    started: float = 0.0
    at_ms: float = 0.0

    def decay(self, now_ms: float) -> None:
        factor = math.exp(-(now_ms - self.at_ms) / DECAY_MS)
        self.asked *= factor
        self.started *= factor
        self.at_ms = now_ms


class ServedShares:
    """Counts requests that arrived and that started, weighted by their age."""

    def __init__(self) -> None:
        self._all = _Tally()
        self._organisations: dict[str, _Tally] = {}

    def note_arrived(self, organisation: str, now_ms: float) -> None:
        """Record a request that has arrived; empty if it has no organisation."""
        for tally in self._tallies(organisation):
            tally.decay(now_ms)
            tally.asked += 1.0

    def note_started(self, organisation: str, now_ms: float) -> None:
        """Record that a request was started."""
        for tally in self._tallies(organisation):
            tally.decay(now_ms)
            tally.started += 1.0

    def share(self, organisation: str, rank_share: float) -> float:
        """Return the share of an organisation's requests that started.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        rank_share : float
            Share of its rank's requests that start; assumed while few are known.
        """
        tally = self._organisations.get(organisation, _Tally())
        started = tally.started + ASSUMED_REQUESTS * rank_share
        return started / (tally.asked + ASSUMED_REQUESTS)

    def min_share(self, organisation: str, rank_share: float) -> float:
        """Return the share of an organisation's requests that has to start."""
        if not organisation or not self._all.asked:
            return 0.0
        fair = MIN_SHARE_OF_OVERALL * min(1.0, self._all.started / self._all.asked)
        return fair if self.share(organisation, rank_share) < fair else 0.0

    def _tallies(self, organisation: str) -> list[_Tally]:
        if not organisation:
            return [self._all]
        tally = self._organisations.get(organisation)
        if tally is None:
            if len(self._organisations) >= MAX_ORGANISATIONS:
                self._organisations.clear()
            tally = self._organisations[organisation] = _Tally()
        return [self._all, tally]


__all__ = ["ServedShares"]
