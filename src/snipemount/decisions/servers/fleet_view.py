"""Load and health of the backend servers, as known to an entry daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from ...model.exchange import Fate, Reason, ServerLoad

if TYPE_CHECKING:
    from ...model.exchange import ExchangeReply

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1000.0
MAX_EJECTION_MS = 30_000.0
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
REFUSAL_REASONS = frozenset(
    {
        Reason.SHED,
        Reason.QUEUE_FULL,
        Reason.NOT_OWNER,
        Reason.EJECTED,
        Reason.WARMING_UP,
    }
)
IMMEDIATE_EJECTION_REASONS = frozenset({Reason.CONNECT_FAILED, Reason.CONNECTION_LOST})


@attrs.define(eq=False)
class ServerView:
    """Load and health of one backend server.

    Parameters
    ----------
    load : ServerLoad
        Load in the latest report of the server's owner.
    reported_ms : float
        When that report arrived.
    outstanding : int
        Exchanges of this daemon that have not ended.
    sent_since_report : int
        Exchanges that this daemon has sent since that report.
    failures : int
        Consecutive failures.
    ejections : int
        Consecutive ejections without a successful answer in between.
    ejected_until_ms : float
        Time until which the server is not chosen because it failed.
    paused_until_ms : float
        Time until which the server is not chosen because it refused an exchange.
    draining : bool
        Whether the server has been reported as draining; never reset.
    """

    load: ServerLoad = attrs.Factory(ServerLoad)
    reported_ms: float = 0.0
    outstanding: int = 0
    sent_since_report: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until_ms: float = 0.0
    paused_until_ms: float = 0.0
    draining: bool = False

    def expected_wait_ms(self, now_ms: float) -> float:
        """Return how long one more exchange is expected to wait for a slot."""
        age_ms = now_ms - self.reported_ms
        return self.load.expected_wait_ms(
            self.sent_since_report, self.outstanding, age_ms
        )


class FleetView:
    """Load and health of all backend servers of a service."""

    def __init__(self) -> None:
        self._views: dict[str, ServerView] = {}

    def view(self, server: str) -> ServerView:
        """Return the view of `server`; create it on first use."""
        found = self._views.get(server)
        if found is None:
            found = self._views[server] = ServerView()
        return found

    def retain_only(self, servers: set[str]) -> None:
        """Drop the views of all servers except `servers`."""
        for name in [name for name in self._views if name not in servers]:
            del self._views[name]

    def note_sent(self, server: str) -> None:
        """Count an exchange sent to `server`."""
        view = self.view(server)
        view.outstanding += 1
        view.sent_since_report += 1

    def note_reply(self, reply: ExchangeReply, now_ms: float) -> None:
        """Update load, failures and ejection from the end of an exchange."""
        view = self.view(reply.server)
        view.outstanding = max(0, view.outstanding - 1)
        if reply.load is not None:
            view.load = reply.load
            view.reported_ms = now_ms
            view.sent_since_report = 0
            view.draining = view.draining or reply.load.draining
        if reply.fate is Fate.ANSWERED:
            view.failures = 0
            view.ejections = 0
            return
        self._note_reason(view, reply.reason, now_ms)

    def is_ejected(self, server: str, now_ms: float) -> bool:
        """Return whether `server` is ejected or paused at `now_ms`."""
        view = self.view(server)
        return now_ms < max(view.ejected_until_ms, view.paused_until_ms)

    def _note_reason(self, view: ServerView, reason: Reason, now_ms: float) -> None:
        if reason is Reason.DRAINING:
            view.draining = True
        if reason in REFUSAL_REASONS:
            view.paused_until_ms = now_ms + REFUSAL_PAUSE_MS
        if reason not in FAILURE_REASONS:
            return
        view.failures += 1
        immediate = reason in IMMEDIATE_EJECTION_REASONS or view.ejections > 0
        if immediate or view.failures >= FAILURES_TO_EJECT:
            self._eject(view, now_ms)

    @staticmethod
    def _eject(view: ServerView, now_ms: float) -> None:
        if now_ms < view.ejected_until_ms:
            return
        ejection_ms = FIRST_EJECTION_MS * 2.0**view.ejections
        view.ejected_until_ms = now_ms + min(MAX_EJECTION_MS, ejection_ms)
        view.ejections = min(view.ejections + 1, 10)
        view.failures = 0


__all__ = ["FleetView", "ServerView"]
