"""Which daemons follow the platform's store, and whom the others follow.

In each availability zone the daemon whose name comes first follows the store and
the others follow it; where it does not answer, the next one takes its place.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..ports.relay import DaemonAddress


def relay_order(
    daemons: Iterable[DaemonAddress], own: DaemonAddress
) -> list[DaemonAddress]:
    """Return the daemons that this one may follow, the best first."""
    zone = (daemon for daemon in daemons if daemon.zone == own.zone)
    before = (daemon for daemon in zone if daemon.name < own.name)
    return sorted(before, key=lambda daemon: daemon.name)


__all__ = ["relay_order"]
