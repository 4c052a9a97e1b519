"""What an entry daemon knows of the backend servers' load and health."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ..model.exchange import Fate, Reason, ServerLoad

if TYPE_CHECKING:
    from ..model.exchange import ExchangeReply

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1000.0
LONGEST_EJECTION_MS = 30_000.0
REFUSAL_PAUSE_MS = 50.0
FAILURE_REASONS = frozenset(
    {
        Reason.CONNECT_FAILED,
        Reason.CONNECTION_LOST,
        Reason.TIMEOUT,
        Reason.MALFORMED,
        Reason.BACKEND_ERROR,
        Reason.WRONG_SNAPSHOT,
    }
)
PAUSE_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.QUEUE_FULL,
        Reason.NOT_OWNER,
        Reason.EJECTED,
        Reason.WARMING_UP,
    }
)
SERVER_LOST_REASONS = frozenset({Reason.CONNECT_FAILED, Reason.CONNECTION_LOST})


@attrs.define(eq=False)
class ServerView:
    """One backend server as seen from an entry daemon.

    Parameters
    ----------
    load : ServerLoad
        Load told last.
    told_ms : float
        When it was told.
    outstanding : int
        Exchanges of this daemon that have not ended.
    sent_since_told : int
        Exchanges sent after the load was told.
    failures : int
        Failures in a row.
    ejections : int
        Ejections since the last good answer.
    ejected_until_ms : float
        The server is passed over before this time.
    paused_until_ms : float
        The server has just refused and is passed over before this time.
    draining : bool
        True once any source says that the server is leaving.
    """

    load: ServerLoad = attrs.Factory(ServerLoad)
    told_ms: float = 0.0
    outstanding: int = 0
    sent_since_told: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    paused_until_ms: float = 0.0
    draining: bool = False

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return the wait that a further exchange has to expect."""
        age_ms = now_ms - self.told_ms
        return self.load.expected_wait_ms(
            self.sent_since_told, self.outstanding, age_ms
        )


class FleetView:
    """Views of all backend servers of a service."""

    def __init__(self) -> None:
        self._views: dict[str, ServerView] = {}

    def view(self, server: str) -> ServerView:
        """Return the view of `server`, made on first use."""
        found = self._views.get(server)
        if found is None:
            found = self._views[server] = ServerView()
        return found

    def forget_all_but(self, servers: set[str]) -> None:
        """Drop the views of servers that no map names any more."""
        for name in [name for name in self._views if name not in servers]:
            del self._views[name]

    def note_sent(self, server: str) -> None:
        """Count an exchange on its way."""
        view = self.view(server)
        view.outstanding += 1
        view.sent_since_told += 1

    def note_reply(self, reply: ExchangeReply, now_ms: float) -> None:
        """Learn from the end of an exchange."""
        view = self.view(reply.server)
        view.outstanding = max(0, view.outstanding - 1)
        if reply.load is not None:
            view.load = reply.load
            view.told_ms = now_ms
            view.sent_since_told = 0
            view.draining = view.draining or reply.load.draining
        if reply.fate is Fate.ANSWERED:
            view.failures = 0
            view.ejections = 0
            return
        self._note_reason(view, reply.reason, now_ms)

    def is_ejected(self, server: str, now_ms: float) -> bool:
        """Return whether `server` is to be passed over just now."""
        view = self.view(server)
        return now_ms < max(view.ejected_until_ms, view.paused_until_ms)

    def _note_reason(self, view: ServerView, reason: Reason, now_ms: float) -> None:
        if reason is Reason.DRAINING:
            view.draining = True
        if reason in PAUSE_REASONS:
            view.paused_until_ms = now_ms + REFUSAL_PAUSE_MS
        if reason not in FAILURE_REASONS:
            return
        view.failures += 1
        certain = reason in SERVER_LOST_REASONS or view.ejections > 0
        if certain or view.failures >= FAILURES_TO_EJECT:
            self._eject(view, now_ms)

    @staticmethod
    def _eject(view: ServerView, now_ms: float) -> None:
        if now_ms < view.ejected_until_ms:
            return
        pause_ms = FIRST_EJECTION_MS * 2.0**view.ejections
        view.ejected_until_ms = now_ms + min(LONGEST_EJECTION_MS, pause_ms)
        view.ejections = min(view.ejections + 1, 10)
        view.failures = 0


__all__ = ["FleetView", "ServerView"]
