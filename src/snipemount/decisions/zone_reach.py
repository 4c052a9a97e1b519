"""Which availability zones this daemon reaches, by its own sends alone.

A zone counts as cut off when several of its leafs have been silent and nothing has
been heard from it meanwhile. A slow or paused leaf alone proves nothing.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Set

LEAST_SILENT_LEAFS = 4
LEAST_SILENCE_MS = 250.0
SILENT_AFTER_MS = 60.0
PROBE_PERIOD_MS = 400.0


@attrs.define
class ZoneEvidence:
    """What has been seen of one zone.

    Parameters
    ----------
    heard_ms : float
        When something was heard from it last.
    silent : set of str
        Leafs that have been silent since then.
    probed_ms : float
        When it was probed last.
    """

    heard_ms: float
    silent: set[str] = attrs.field(factory=set)
    probed_ms: float = 0.0


class ZoneReach:
    """Evidence on each zone.

    Parameters
    ----------
    own_zone : str
        The daemon's own zone, which is never taken as cut off.
    """

    def __init__(self, own_zone: str) -> None:
        self._own_zone = own_zone
        self._zones: defaultdict[str, ZoneEvidence] = defaultdict(
            lambda: ZoneEvidence(0.0)
        )
        self._cut_off: set[str] = set()

    def heard(self, zone: str, now_ms: float) -> bool:
        """Note a sign of life; return whether the zone is back."""
        evidence = self._zones[zone]
        evidence.heard_ms = now_ms
        evidence.silent.clear()
        if zone not in self._cut_off:
            return False
        self._cut_off.discard(zone)
        return True

    def silent(self, zone: str, leaf_id: str, now_ms: float) -> bool:
        """Note a leaf that gave no sign of life; return whether the zone is cut off."""
        if zone == self._own_zone:
            return False
        evidence = self._zones[zone]
        evidence.silent.add(leaf_id)
        if zone in self._cut_off or len(evidence.silent) < LEAST_SILENT_LEAFS:
            return False
        if now_ms - evidence.heard_ms < LEAST_SILENCE_MS:
            return False
        self._cut_off.add(zone)
        evidence.probed_ms = now_ms
        return True

    def is_cut_off(self, zone: str) -> bool:
        """Return whether a zone is taken as cut off."""
        return zone in self._cut_off

    def cut_off_zones(self) -> Set[str]:
        """Return the zones that are taken as cut off."""
        return self._cut_off

    def due_probes(self, now_ms: float) -> list[str]:
        """Return the zones to probe now."""
        due = []
        for zone in sorted(self._cut_off):
            evidence = self._zones[zone]
            if now_ms - evidence.probed_ms >= PROBE_PERIOD_MS:
                evidence.probed_ms = now_ms
                due.append(zone)
        return due


__all__ = ["SILENT_AFTER_MS", "ZoneReach"]
