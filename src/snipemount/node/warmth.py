"""Word of warm servers, passed to who owns them next."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..ports.peer import ReportWarm

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.fleet import BackendServer
    from ..ports.peer import PeerMessage
    from ..timers import TimerService
    from .owner import OwnerDriver
    from .sharing import Sharing

PERIOD_MS = 1000.0
MEMORY_MS = 5000.0


class Warmth:
    """Spares warm servers a second warm-up when their owner changes.

    Parameters
    ----------
    owner : OwnerDriver
        Servers that this daemon uses.
    sharing : Sharing
        Who owns a server now and next.
    timers : TimerService
        Time.
    send : Callable
        Sends a message to a daemon by name.
    """

    def __init__(
        self,
        owner: OwnerDriver,
        sharing: Sharing,
        timers: TimerService,
        send: Callable[[str, PeerMessage], None],
    ) -> None:
        self._owner = owner
        self._sharing = sharing
        self._timers = timers
        self._send = send
        self._told_ms: dict[str, float] = {}
        owner.connect_warmth(self.was_cold, self._laid_down)

    def start(self) -> None:
        """Begin to tell the successors."""
        self._timers.call_every(PERIOD_MS, self._tell_successors)

    def heard(self, servers: tuple[str, ...]) -> None:
        """Take an owner's word that servers are warm."""
        self._told_ms.update(dict.fromkeys(servers, self._timers.now_ms()))

    def was_cold(self, server: str) -> bool:
        """Return whether a server taken up now is to be warmed up first."""
        told_ms = self._told_ms.get(server)
        if told_ms is None:
            return True
        return self._timers.now_ms() - told_ms > MEMORY_MS

    def _laid_down(self, server: BackendServer) -> None:
        """Tell the new owner of a server that it is warm."""
        name = self._sharing.daemon_for(server, self._timers.now_ms())
        if name is not None:
            self._send(name, ReportWarm((server.name,)))

    def _tell_successors(self) -> None:
        """Tell who would own each warm server after this daemon."""
        told: dict[str, list[str]] = {}
        for server in self._owner.warm_servers:
            successor = self._sharing.successor(server)
            if successor is not None:
                told.setdefault(successor, []).append(server.name)
        for name, servers in told.items():
            self._send(name, ReportWarm(tuple(servers)))


__all__ = ["Warmth"]
