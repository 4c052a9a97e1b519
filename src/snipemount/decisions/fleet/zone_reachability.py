"""Which availability zones this daemon can reach.

A zone counts as cut off when several of its leafs don't respond and none of them has
responded meanwhile. One leaf isn't enough, since it may just be slow or paused. What
another daemon of the own zone finds counts too, until a probe of this one is answered.

A network that is cut may drop packets or refuse connections. A refusal comes at once,
also from a leaf that has crashed, so it counts only after a time in which other leafs
of the zone would have responded.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from ...model.forwarding import (
    NOT_ARRIVED_REASONS,
    LeafAnswer,
    NotRun,
    NoValidResponse,
    NoValidResponseReason,
)

if TYPE_CHECKING:
    from collections.abc import Set

    from ...model.forwarding import AttemptOutcome

MIN_UNRESPONSIVE_LEAFS = 4
MIN_MS_WITHOUT_RESPONSE = 250.0
UNRESPONSIVE_AFTER_MS = 60.0
MIN_MS_REFUSED = 100.0  # since the first refused connection without a response
PROBE_PERIOD_MS = 400.0


@attrs.define
class ZoneEvidence:
    """Responses and missing responses of one zone's leafs.

    Parameters
    ----------
    responded_ms : float
        Time of the last response.
    unresponsive : set of str
        Ids of the leafs that have been found unresponsive since then.
    refused_ms : float
        Time of the first connection that was refused since then; inf before one.
    probed_ms : float
        Time of the last probe.
    """

    responded_ms: float
    unresponsive: set[str] = attrs.field(factory=set)
    refused_ms: float = math.inf
    probed_ms: float = 0.0


class ZoneReachability:
    """Reachability of each zone from this daemon.

    Parameters
    ----------
    own_zone : str
        Zone of this daemon, which never counts as cut off.
    """

    def __init__(self, own_zone: str) -> None:
        self.own_zone = own_zone
        self._zones: defaultdict[str, ZoneEvidence] = defaultdict(
            lambda: ZoneEvidence(0.0)
        )
        self._cut_off: set[str] = set()

    def note_response(self, zone: str, now_ms: float) -> bool:
        """Record a response; return whether the zone has become reachable again."""
        evidence = self._zones[zone]
        evidence.responded_ms = now_ms
        evidence.unresponsive.clear()
        evidence.refused_ms = math.inf
        if zone not in self._cut_off:
            return False
        self._cut_off.discard(zone)
        return True

    def note_unresponsive(self, zone: str, leaf_id: str, now_ms: float) -> bool:
        """Record an unresponsive leaf; return whether the zone has become cut off."""
        if zone == self.own_zone:
            return False
        evidence = self._zones[zone]
        evidence.unresponsive.add(leaf_id)
        if zone in self._cut_off or len(evidence.unresponsive) < MIN_UNRESPONSIVE_LEAFS:
            return False
        if now_ms - evidence.responded_ms < MIN_MS_WITHOUT_RESPONSE:
            return False
        self._cut_off.add(zone)
        evidence.probed_ms = now_ms
        return True

    def note_refused(self, zone: str, leaf_id: str, now_ms: float) -> bool:
        """Record a refused connection; return whether the zone has become cut off."""
        evidence = self._zones[zone]
        evidence.refused_ms = min(evidence.refused_ms, now_ms)
        if now_ms - evidence.refused_ms >= MIN_MS_REFUSED:
            return self.note_unresponsive(zone, leaf_id, now_ms)
        if zone != self.own_zone:
            evidence.unresponsive.add(leaf_id)
        return False

    def note_reported(self, zone: str, now_ms: float) -> bool:
        """Record that a daemon of the own zone does not reach a zone.

        Returns
        -------
        bool
            Whether the zone has become cut off: no leaf there has responded to this
            daemon for a while. A probe is then due at once.
        """
        evidence = self._zones[zone]
        if zone == self.own_zone or zone in self._cut_off:
            return False
        if now_ms - evidence.responded_ms < MIN_MS_WITHOUT_RESPONSE:
            return False
        self._cut_off.add(zone)
        evidence.probed_ms = now_ms - PROBE_PERIOD_MS
        return True

    def is_cut_off(self, zone: str) -> bool:
        """Return whether a zone counts as cut off."""
        return zone in self._cut_off

    def cut_off_zones(self) -> Set[str]:
        """Return the zones that count as cut off."""
        return self._cut_off

    def due_probes(self, now_ms: float) -> list[str]:
        """Return the cut-off zones that are due for a probe, and record the probe."""
        due = []
        for zone in sorted(self._cut_off):
            evidence = self._zones[zone]
            if now_ms - evidence.probed_ms >= PROBE_PERIOD_MS:
                evidence.probed_ms = now_ms
                due.append(zone)
        return due


def is_response(outcome: AttemptOutcome) -> bool:
    """Return whether the outcome of an attempt shows that the leaf's zone is reached.

    A network that is cut may refuse connections and reset those that are open.
    """
    match outcome:
        case NotRun(reason):
            return reason not in NOT_ARRIVED_REASONS
        case NoValidResponse(reason):
            return reason is not NoValidResponseReason.CONNECTION_CLOSED
        case LeafAnswer():
            return True


__all__ = ["UNRESPONSIVE_AFTER_MS", "ZoneReachability", "is_response"]
