"""Requests that crash backend servers, and those known to be harmless."""

from __future__ import annotations

from collections import OrderedDict

import attrs

SERVERS_LOST_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000.0
REMEMBERED = 20_000


@attrs.frozen
class StrikeNotice:
    """A server was lost while it ran a request not known to be harmless.

    Parameters
    ----------
    notice_id : str
        Unique, so that a notice heard twice counts once.
    fingerprint : str
        Fingerprint of the request.
    server : str
        Server that was lost.
    """

    notice_id: str
    fingerprint: str
    server: str


@attrs.define(eq=False)
class Strikes:
    """Servers lost to one fingerprint."""

    notices: set[str]
    last_ms: float


class Quarantine:
    """Counts the servers lost to each request and refuses it after two."""

    def __init__(self) -> None:
        self._strikes: OrderedDict[str, Strikes] = OrderedDict()
        self._proven: OrderedDict[str, None] = OrderedDict()

    def strike(self, notice: StrikeNotice, now_ms: float) -> bool:
        """Count a lost server; return False when it was counted before."""
        strikes = self._strikes.setdefault(notice.fingerprint, Strikes(set(), now_ms))
        if notice.notice_id in strikes.notices:
            return False
        strikes.notices.add(notice.notice_id)
        strikes.last_ms = now_ms
        self._bound(self._strikes)
        return True

    def prove(self, fingerprint: str, version: str) -> None:
        """Remember that a server of `version` answered the request."""
        self._proven[self._key(fingerprint, version)] = None
        self._bound(self._proven)

    def is_proven(self, fingerprint: str, version: str) -> bool:
        """Return whether a server of `version` has answered the request."""
        return self._key(fingerprint, version) in self._proven

    def servers_left(self, fingerprint: str, now_ms: float) -> int:
        """Return how many more servers the request may put at risk."""
        strikes = self._strikes.get(fingerprint)
        if strikes is None:
            return SERVERS_LOST_TO_QUARANTINE
        if now_ms - strikes.last_ms > QUARANTINE_MS:
            del self._strikes[fingerprint]
            return SERVERS_LOST_TO_QUARANTINE
        return max(0, SERVERS_LOST_TO_QUARANTINE - len(strikes.notices))

    @staticmethod
    def _key(fingerprint: str, version: str) -> str:
        return f"{fingerprint}/{version}"

    @staticmethod
    def _bound(remembered: OrderedDict[str, Strikes] | OrderedDict[str, None]) -> None:
        while len(remembered) > REMEMBERED:
            remembered.popitem(last=False)


__all__ = ["Quarantine", "StrikeNotice"]
