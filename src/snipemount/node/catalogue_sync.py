"""Synchronises the catalogue with peers when the platform has not delivered it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ports.peer import SHARED_KINDS, ReportCatalogue, RequestCatalogue

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.store_version import StoreVersion
    from ..ports.peer import PeerMessage
    from ..ports.platform import Kind
    from ..timers import TimerService
    from .catalogue import Catalogue

PLATFORM_GRACE_MS = 400.0
BEHIND_TTL_MS = 4000.0


class CatalogueSync:
    """Requests newer objects from peers, and answers such requests of theirs.

    Parameters
    ----------
    catalogue : Catalogue
        Local copy of the platform's objects.
    timers : TimerService
        Clock.
    send : Callable
        Sends a message to the daemon of the given name.
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
        self._reported_versions: dict[str, tuple[StoreVersion, ...]] = {}
        self._behind_since_ms: dict[Kind, float] = {}

    def own_versions(self) -> tuple[StoreVersion, ...]:
        """Return the store version known for each kind, ordered as `SHARED_KINDS`."""
        return tuple(self._catalogue.version(kind) for kind in SHARED_KINDS)

    def reported_versions(self, name: str) -> tuple[StoreVersion, ...]:
        """Return the versions in a daemon's last heartbeat, ordered as `SHARED_KINDS`.

        Empty if no heartbeat of it has been received.
        """
        return self._reported_versions.get(name, ())

    def record_versions(self, name: str, versions: tuple[StoreVersion, ...]) -> None:
        """Record the versions that a daemon reports; request objects that are newer.

        A kind is requested only after `PLATFORM_GRACE_MS`, in which the platform
        may deliver the objects itself.
        """
        self._reported_versions[name] = versions
        for kind, version in zip(SHARED_KINDS, versions, strict=False):
            known = self._catalogue.version(kind)
            if known.precedes(version) and self._may_request(kind):
                self._send(name, RequestCatalogue(kind, known))

    def answer_request(self, name: str, kind: Kind, version: StoreVersion) -> None:
        """Send all objects of a kind if `version`, which the daemon has, is older."""
        known = self._catalogue.version(kind)
        if version.precedes(known):
            objects = self._catalogue.stored(kind)
            self._send(name, ReportCatalogue(kind, known, objects))

    def _may_request(self, kind: Kind) -> bool:
        """Return whether a kind may be requested now.

        True once this daemon has been behind for `PLATFORM_GRACE_MS`, and then
        at most once in each such period. If nothing newer is reported for
        `BEHIND_TTL_MS`, the next report starts a new period.
        """
        now_ms = self._timers.now_ms()
        behind_ms = now_ms - self._behind_since_ms.get(kind, -BEHIND_TTL_MS)
        if behind_ms >= BEHIND_TTL_MS:
            self._behind_since_ms[kind] = now_ms
        if not PLATFORM_GRACE_MS <= behind_ms < BEHIND_TTL_MS:
            return False
        self._behind_since_ms[kind] = now_ms
        return True


__all__ = ["CatalogueSync"]
