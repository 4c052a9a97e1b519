"""Which daemons relay the platform's store to others, in order of preference.

In each availability zone the daemon on the largest VM watches the store, of equal ones
that with the first name. The others watch that daemon; when it doesn't respond, the
next one takes its place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...ports.relay import DaemonAddress


FIRST_CANDIDATES = 2
FURTHER_CANDIDATES = 2


def relay_candidates(
    daemons: Iterable[DaemonAddress], own: DaemonAddress
) -> list[DaemonAddress]:
    """Return the daemons that this one may use as relay, the preferred one first.

    The result is empty for the first daemon of a zone, which watches the store itself.

    Parameters
    ----------
    daemons : Iterable of DaemonAddress
        Known daemons of all zones.
    own : DaemonAddress
        Address of this daemon.
    """
    zone = (daemon for daemon in daemons if daemon.zone == own.zone)
    preceding = (daemon for daemon in zone if _order(daemon) < _order(own))
    return sorted(preceding, key=_order)


def succeeding_daemons(
    daemons: Iterable[DaemonAddress], own: DaemonAddress
) -> list[DaemonAddress]:
    """Return the daemons of the zone that come after this one, the first one first.

    This daemon may use them as relay while the store turns it away.

    Parameters
    ----------
    daemons : Iterable of DaemonAddress
        Known daemons of all zones.
    own : DaemonAddress
        Address of this daemon.
    """
    zone = (daemon for daemon in daemons if daemon.zone == own.zone)
    return sorted((d for d in zone if _order(d) > _order(own)), key=_order)


class CandidateRotation:
    """Selects a few candidates at a time: the first ones, and others in turn.

    One of the first ones is mostly followed by the rest of the zone; the others are for
    the case that all of these are lost.
    """

    def __init__(self) -> None:
        self._passes = 0

    def next_of(self, candidates: list[DaemonAddress]) -> list[DaemonAddress]:
        """Return the candidates of the next pass, in order of preference."""
        first, others = candidates[:FIRST_CANDIDATES], candidates[FIRST_CANDIDATES:]
        if not others:
            return first
        start = self._passes * FURTHER_CANDIDATES % len(others)
        self._passes += 1
        return first + others[start : start + FURTHER_CANDIDATES]


def _order(daemon: DaemonAddress) -> tuple[float, str]:
    return -daemon.legs_per_s, daemon.name


__all__ = ["CandidateRotation", "relay_candidates", "succeeding_daemons"]
