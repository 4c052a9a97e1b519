"""Daemons of the registry, also while it lacks some after a return of the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.store_version import StoreVersion
    from ..ports.relay import DaemonAddress
    from ..timers import TimerService

# Each daemon lists the registry in less than half of this time, and registers again if
# its entry is missing.
REGISTERED_AGAIN_MS = 25_000.0


class KnownDaemons:
    """Keeps daemons whose entries were lost until they can have registered again.

    Parameters
    ----------
    timers : TimerService
        Monotonic clock.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._version: StoreVersion | None = None
        self._daemons: dict[str, DaemonAddress] = {}
        self._kept_until_ms = -math.inf

    def listed(
        self, daemons: tuple[DaemonAddress, ...], version: StoreVersion
    ) -> tuple[DaemonAddress, ...]:
        """Return the daemons of a listing, and those that it may lack.

        Parameters
        ----------
        daemons : tuple of DaemonAddress
            Daemons listed.
        version : StoreVersion
            Version of the listing.
        """
        now_ms = self._timers.now_ms()
        known = self._version
        if known is not None and not version.is_same_history(known):
            self._kept_until_ms = now_ms + REGISTERED_AGAIN_MS
        self._version = version
        by_name = {daemon.name: daemon for daemon in daemons}
        if now_ms < self._kept_until_ms:
            by_name = self._daemons | by_name
        self._daemons = by_name
        return tuple(by_name.values())


__all__ = ["KnownDaemons"]
