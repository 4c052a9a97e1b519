"""Reports of warm servers to the daemons that own them next."""

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

REPORT_PERIOD_MS = 1000.0
REPORT_TTL_MS = 5000.0


class WarmServerReports:
    """Avoids a second warm-up of warm servers when their owner changes.

    Each owner reports its warm servers periodically to the daemons that would own
    them next, and once more when it stops using one.

    Parameters
    ----------
    owner : OwnerDriver
        Driver of the servers that this daemon uses.
    sharing : Sharing
        Determines the present and the next owner of a server.
    timers : TimerService
        Clock, and timer for the periodic reports.
    send : Callable
        Sends a message to the daemon of the given name.
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
        self._reported_ms: dict[str, float] = {}
        owner.set_warm_up_callbacks(self.needs_warm_up, self._on_released)

    def start(self) -> None:
        """Start the periodic reports to the next owners."""
        self._timers.call_every(REPORT_PERIOD_MS, self._report_to_successors)

    def record_report(self, servers: tuple[str, ...]) -> None:
        """Record an owner's report that servers are warm."""
        self._reported_ms.update(dict.fromkeys(servers, self._timers.now_ms()))

    def needs_warm_up(self, server: str) -> bool:
        """Return whether this daemon has to warm up a server before it uses it fully.

        True unless the server was reported as warm within `REPORT_TTL_MS`.
        """
        reported_ms = self._reported_ms.get(server)
        if reported_ms is None:
            return True
        return self._timers.now_ms() - reported_ms > REPORT_TTL_MS

    def _on_released(self, server: BackendServer) -> None:
        """Report a warm server to its new owner."""
        name = self._sharing.daemon_for(server, self._timers.now_ms())
        if name is not None:
            self._send(name, ReportWarm((server.name,)))

    def _report_to_successors(self) -> None:
        """Report each warm server to the daemon that would own it next."""
        servers_by_successor: dict[str, list[str]] = {}
        for server in self._owner.warm_servers:
            successor = self._sharing.successor(server)
            if successor is not None:
                servers_by_successor.setdefault(successor, []).append(server.name)
        for name, servers in servers_by_successor.items():
            self._send(name, ReportWarm(tuple(servers)))


__all__ = ["WarmServerReports"]
