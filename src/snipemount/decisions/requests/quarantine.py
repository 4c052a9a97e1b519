"""Quarantine of requests that crash servers.

A server that crashes takes along all that it was running, so a lost server is a strike
against each of these requests. An answer clears a request; one that servers are lost to
and that none answers is held back.
"""

from __future__ import annotations

from collections import OrderedDict
from enum import Enum
from typing import TYPE_CHECKING

import attrs

from .request_strikes import RequestStrikes, Strike

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from ...model.crash import StrikeNotice

SERVERS_LOST_TO_QUARANTINE = 2
# After the last strike; twice as long after each further one.
QUARANTINE_MS = 600_000.0
MAX_DOUBLINGS = 6
# Strikes within this time may come from one event, such as the loss of a whole
# service, with the request there by chance.
ONE_EVENT_MS = 1000.0
FORGET_MS = 2.0 * QUARANTINE_MS  # after the end of the quarantine
TRY_PERIOD_MS = 30_000.0  # between two tries without a result
MAX_REMEMBERED_REQUESTS = 500
MAX_ANSWERED_REQUESTS = 8192


class Permission(Enum):
    """Whether a request may be sent to servers of one software."""

    RUN = "run"
    TRY = "try"  # once, to learn whether it still crashes servers
    HOLD = "hold"


@attrs.frozen
class AnsweredRequest:
    """The last answer to a request: software of the server, and monotonic time."""

    software: str
    at_ms: float


def _no_delay(fingerprint: str) -> float:
    return 0.0


class Quarantine:
    """Counts the servers lost to each request, and holds back those that crash them.

    Requests are known by their fingerprints. The quarantine ends some time after the
    last strike, or with another version of the service; then it is tried once.

    Parameters
    ----------
    max_strikes : int
        Servers that may be lost to a request before it is held back.
    proof_ms : float
        How long an answer speaks for a request, against strikes that come after it.
    one_event_ms : float
        How long a request is held back whose strikes may come from one event.
    try_delay_ms : Callable
        Returns how long this daemon waits with a try, by fingerprint, so that only
        one daemon makes it.
    """

    def __init__(
        self,
        max_strikes: int = SERVERS_LOST_TO_QUARANTINE,
        proof_ms: float = 0.0,
        one_event_ms: float = QUARANTINE_MS,
        try_delay_ms: Callable[[str], float] = _no_delay,
    ) -> None:
        self._max_strikes = max_strikes
        self._proof_ms = proof_ms
        self._one_event_ms = one_event_ms
        self._try_delay_ms = try_delay_ms
        self._requests: dict[str, RequestStrikes] = {}
        self._answered: OrderedDict[str, AnsweredRequest] = OrderedDict()

    def __len__(self) -> int:
        return len(self._requests)

    def strike(self, notice: StrikeNotice, now_ms: float, age_ms: float = 0.0) -> bool:
        """Count a lost server; return False if the notice was counted before.

        Parameters
        ----------
        notice : StrikeNotice
            The crash and the request.
        now_ms : float
            Current time.
        age_ms : float
            Time since the crash.
        """
        fingerprint = notice.fingerprint
        request = self._find(fingerprint, now_ms) or RequestStrikes()
        if notice.notice_id in request.strikes:
            return False
        self._requests.pop(fingerprint, None)
        self._requests[fingerprint] = request
        request.add(Strike(notice, now_ms - age_ms))
        answered = self._answered.get(fingerprint)
        if answered is not None:
            request.answered(answered.software, answered.at_ms)
        self._evict(fingerprint)
        return True

    def note_answer(self, fingerprint: str, software: str, now_ms: float) -> bool:
        """Record that a server has answered; return whether that clears strikes."""
        answered = self._answered
        while answered:
            oldest = next(iter(answered))
            if now_ms - answered[oldest].at_ms <= self._proof_ms:
                break
            del answered[oldest]
        return self.learn_answer(fingerprint, software, now_ms)

    def learn_answer(self, fingerprint: str, software: str, at_ms: float) -> bool:
        """Record an answer at a time; return whether that clears strikes."""
        known = self._answered.get(fingerprint)
        if known is None or known.at_ms <= at_ms:
            self._answered[fingerprint] = AnsweredRequest(software, at_ms)
            self._answered.move_to_end(fingerprint)
            if len(self._answered) > MAX_ANSWERED_REQUESTS:
                self._answered.popitem(last=False)
        request = self._requests.get(fingerprint)
        if request is None:
            return False
        standing = len(self.standing(request))
        request.answered(software, at_ms)
        return len(self.standing(request)) < standing

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether strikes stand against a request."""
        request = self._requests.get(fingerprint)
        return request is not None and bool(request.standing(self._proof_ms))

    def permission(self, fingerprint: str, software: str, now_ms: float) -> Permission:
        """Return whether a request may be sent to servers of a software now."""
        request = self._find(fingerprint, now_ms)
        if request is None:
            return Permission.RUN
        strikes = request.counted(software, self._proof_ms)
        if len(strikes) < self._max_strikes:
            return Permission.RUN
        wait_ms = self._ms_until_try(request, software, strikes, now_ms)
        if wait_ms > 0.0 or self._try_delay_ms(fingerprint) > -wait_ms:
            return Permission.HOLD
        return Permission.TRY

    def begin_try(self, fingerprint: str, now_ms: float) -> None:
        """Record that a request is tried at one server.

        Until the result is known it is held back from all others.
        """
        request = self._requests.get(fingerprint)
        if request is not None:
            request.tried_ms = now_ms

    def ms_until_try(self, fingerprint: str, software: str, now_ms: float) -> float:
        """Return how long a request is still held back; 0 if it may be tried."""
        request = self._requests.get(fingerprint)
        if request is None:
            return 0.0
        strikes = request.counted(software, self._proof_ms)
        wait_ms = self._ms_until_try(request, software, strikes, now_ms)
        return max(0.0, wait_ms + self._try_delay_ms(fingerprint))

    def strikes_until_quarantine(self, fingerprint: str, now_ms: float) -> int:
        """Return how many more servers may be lost to the request before quarantine.

        0 means that the request is in quarantine.
        """
        match self.permission(fingerprint, "", now_ms):
            case Permission.HOLD:
                return 0
            case Permission.TRY:
                return 1
        request = self._requests.get(fingerprint)
        lost = 0 if request is None else len(request.counted("", self._proof_ms))
        return self._max_strikes - lost

    @property
    def suspect_count(self) -> int:
        """Number of requests with strikes that no answer has cleared."""
        return sum(bool(self.standing(request)) for _, request in self.requests())

    def held_count(self, now_ms: float) -> int:
        """Return the number of requests that are held back from some software."""
        return sum(
            any(
                self.permission(fingerprint, strike.notice.software, now_ms)
                is Permission.HOLD
                for strike in request.standing(self._proof_ms)
            )
            for fingerprint, request in list(self._requests.items())
        )

    def requests(self) -> Iterator[tuple[str, RequestStrikes]]:
        """Return the requests by fingerprint, the one with the newest strike last."""
        return iter(list(self._requests.items()))

    def standing(self, request: RequestStrikes) -> list[Strike]:
        """Return the strikes that no answer has cleared."""
        return request.standing(self._proof_ms)

    def standing_of(self, fingerprint: str) -> list[Strike]:
        """Return the strikes against a request that no answer has cleared."""
        request = self._requests.get(fingerprint)
        return [] if request is None else self.standing(request)

    def answered_elsewhere(self, fingerprint: str) -> AnsweredRequest | None:
        """Return the answer since the last strike that speaks for a request, if any."""
        request = self._requests.get(fingerprint)
        if request is None or not request.answered_by:
            return None
        return AnsweredRequest(request.answered_by, request.answered_ms)

    def begin_refusals(self, fingerprint: str) -> bool:
        """Return whether a refusal is the first one since the last strike."""
        request = self._requests.get(fingerprint)
        if request is None or request.refused_strikes == len(request.strikes):
            return False
        request.refused_strikes = len(request.strikes)
        return True

    def cleared_by(self, fingerprint: str, notice_id: str) -> AnsweredRequest | None:
        """Return the answer that has cleared a strike; None if it stands."""
        request = self._requests.get(fingerprint)
        strike = None if request is None else request.strikes.get(notice_id)
        if request is None or strike is None or strike in self.standing(request):
            return None
        software = strike.notice.software
        return AnsweredRequest(software, request.answers[software])

    def _ms_until_try(
        self,
        request: RequestStrikes,
        software: str,
        strikes: list[Strike],
        now_ms: float,
    ) -> float:
        """Return the time until a try by the daemon that makes it first.

        It is negative once that time has passed.
        """
        here = [s for s in strikes if s.notice.software == software]
        if not here and _has_other_version(software, strikes):
            end_ms = request.first_seen.setdefault(software, now_ms)
        else:
            last_ms = max(strike.at_ms for strike in here or strikes)
            end_ms = last_ms + self._quarantine_ms(strikes)
        return max(end_ms, request.tried_ms + TRY_PERIOD_MS) - now_ms

    def _quarantine_ms(self, strikes: list[Strike]) -> float:
        """Return how long a request is held back after these strikes."""
        times_ms = [strike.at_ms for strike in strikes]
        if max(times_ms) - min(times_ms) < ONE_EVENT_MS:
            return self._one_event_ms
        doublings = max(0, min(MAX_DOUBLINGS, len(strikes) - self._max_strikes))
        return QUARANTINE_MS * 2.0**doublings

    def _find(self, fingerprint: str, now_ms: float) -> RequestStrikes | None:
        request = self._requests.get(fingerprint)
        if request is None:
            return None
        strikes = list(request.strikes.values())
        end_ms = request.last_ms + self._quarantine_ms(strikes) + FORGET_MS
        if now_ms > end_ms:
            del self._requests[fingerprint]
            return None
        return request

    def _evict(self, newest: str) -> None:
        """Forget a request if there are too many: of those with fewest strikes."""
        if len(self._requests) <= MAX_REMEMBERED_REQUESTS:
            return
        others = (
            fingerprint for fingerprint in self._requests if fingerprint != newest
        )
        dropped = min(others, key=lambda f: len(self._requests[f].strikes))
        del self._requests[dropped]


def _has_other_version(software: str, strikes: list[Strike]) -> bool:
    """Return whether strikes name the service of a software, in other versions."""
    service = software.rpartition("/")[0]
    names = (strike.notice.software for strike in strikes)
    return any(name.rpartition("/")[0] == service for name in names)


__all__ = ["AnsweredRequest", "Permission", "Quarantine"]
