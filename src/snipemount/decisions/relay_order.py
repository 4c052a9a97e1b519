"""Which daemons relay the platform's store to others, in order of preference.

In each availability zone the daemon on the largest VM watches the store, of equal ones
that with the first name. The others watch that daemon; when it doesn't respond, the
next one takes its place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ports.relay import DaemonAddress


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


def _order(daemon: DaemonAddress) -> tuple[float, str]:
    return -daemon.legs_per_s, daemon.name


__all__ = ["relay_candidates"]
