"""Configuration passed on between daemons."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ports.peer import SHARED_KINDS, ReportCatalogue, RequestCatalogue

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.peer import PeerMessage
    from ..ports.platform import Kind
    from ..timers import TimerService
    from .catalogue import Catalogue

CATCH_UP_MS = 400.0
FORGET_BEHIND_MS = 4000.0


class CatalogueExchange:
    """Asks peers for what the platform has not told, and answers them.

    Parameters
    ----------
    catalogue : Catalogue
        Configuration known here.
    timers : TimerService
        Time.
    send : Callable
        Sends a message to a daemon by name.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        timers: TimerService,
        send: Callable[[str, PeerMessage], None],
    ) -> None:
        self._catalogue = catalogue
        self._timers = timers
        self._send = send
        self._told: dict[str, tuple[int, ...]] = {}
        self._behind_ms: dict[Kind, float] = {}

    def own_versions(self) -> tuple[int, ...]:
        """Return the versions known here, by `SHARED_KINDS`."""
        return tuple(self._catalogue.version(kind) for kind in SHARED_KINDS)

    def versions_of(self, name: str) -> tuple[int, ...]:
        """Return the versions that a daemon last told, by `SHARED_KINDS`."""
        return self._told.get(name, ())

    def heard(self, name: str, versions: tuple[int, ...]) -> None:
        """Take the versions that a daemon knows; ask it when they are higher.

        The platform is given a moment to tell them itself.
        """
        self._told[name] = versions
        for kind, version in zip(SHARED_KINDS, versions, strict=False):
            known = self._catalogue.version(kind)
            if version > known and self._is_late(kind):
                self._send(name, RequestCatalogue(kind, known))

    def asked(self, name: str, kind: Kind, version: int) -> None:
        """Answer a daemon that knows a kind up to `version` only."""
        known = self._catalogue.version(kind)
        if known > version:
            objects = self._catalogue.stored(kind)
            self._send(name, ReportCatalogue(kind, known, objects))

    def _is_late(self, kind: Kind) -> bool:
        """Return whether the platform has had its moment; asks again later."""
        now_ms = self._timers.now_ms()
        behind_ms = now_ms - self._behind_ms.get(kind, -FORGET_BEHIND_MS)
        if behind_ms >= FORGET_BEHIND_MS:
            self._behind_ms[kind] = now_ms
        if not CATCH_UP_MS <= behind_ms < FORGET_BEHIND_MS:
            return False
        self._behind_ms[kind] = now_ms
        return True


__all__ = ["CatalogueExchange"]
