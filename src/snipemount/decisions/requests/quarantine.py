"""Quarantine of requests that crash backend servers."""

from __future__ import annotations

from collections import OrderedDict

import attrs

SERVERS_LOST_TO_QUARANTINE = 2
QUARANTINE_MS = 600_000.0
MAX_REMEMBERED_REQUESTS = 20_000


@attrs.frozen
class StrikeNotice:
    """A server was lost while it ran a request not known to be harmless.

    Parameters
    ----------
    notice_id : str
        Unique; a notice that is received twice counts once.
    fingerprint : str
        Fingerprint of the request.
    server : str
        Name of the lost server.
    """

    notice_id: str
    fingerprint: str
    server: str


@attrs.define(eq=False)
class RequestStrikes:
    """Strikes against one fingerprint: notice ids, and the time of the last one."""

    notices: set[str]
    last_ms: float


class Quarantine:
    """Counts the servers lost to each request; quarantines it after two.

    The quarantine ends `QUARANTINE_MS` after the last strike. A request is proven
    once a server has answered it, and is then known not to crash servers of that
    version.
    """

    def __init__(self) -> None:
        self._strikes: OrderedDict[str, RequestStrikes] = OrderedDict()
        self._proven: OrderedDict[str, None] = OrderedDict()

    def strike(self, notice: StrikeNotice, now_ms: float) -> bool:
        """Count a lost server; return False if the notice was counted before."""
        strikes = self._strikes.setdefault(
            notice.fingerprint, RequestStrikes(set(), now_ms)
        )
        if notice.notice_id in strikes.notices:
            return False
        strikes.notices.add(notice.notice_id)
        strikes.last_ms = now_ms
        self._evict_oldest(self._strikes)
        return True

    def mark_proven(self, fingerprint: str, version: str) -> None:
        """Record that a server of `version` has answered the request."""
        self._proven[self._key(fingerprint, version)] = None
        self._evict_oldest(self._proven)

    def is_proven(self, fingerprint: str, version: str) -> bool:
        """Return whether a server of `version` has answered the request."""
        return self._key(fingerprint, version) in self._proven

    def strikes_until_quarantine(self, fingerprint: str, now_ms: float) -> int:
        """Return how many more servers may be lost to the request before quarantine.

        0 means that the request is in quarantine.
        """
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
    def _evict_oldest(
        remembered: OrderedDict[str, RequestStrikes] | OrderedDict[str, None],
    ) -> None:
        while len(remembered) > MAX_REMEMBERED_REQUESTS:
            remembered.popitem(last=False)


__all__ = ["Quarantine", "StrikeNotice"]
