"""Exchanges: the legs of one query that one backend server runs together."""

from __future__ import annotations

from enum import IntEnum

import attrs

from .request import Priority

LEAST_LIMIT = 0.01
FRESH_MS = 50.0


class Attempt(IntEnum):
    """Why an exchange is sent."""

    FIRST = 0
    HEDGE = 1
    RETRY = 2


class Fate(IntEnum):
    """What is known of an exchange that has ended."""

    NOT_SENT = 0
    REFUSED = 1
    MAY_HAVE_RUN = 2
    ANSWERED = 3

    @property
    def not_run(self) -> bool:
        """Whether it is certain that the exchange did not start."""
        return self in (Fate.NOT_SENT, Fate.REFUSED)


class Reason(IntEnum):
    """Why an exchange did not bring a full answer."""

    NONE = 0
    QUEUE_FULL = 1
    QUEUE_TIMEOUT = 2
    NOT_OWNER = 3
    SHED = 4
    DRAINING = 5
    SNAPSHOT_GONE = 6
    CONNECT_FAILED = 7
    CONNECTION_LOST = 8
    CRASHED = 9
    TIMEOUT = 10
    MALFORMED = 11
    CANCELLED = 12
    PEER_LOST = 13
    BACKEND_ERROR = 14
    NO_REPLICA = 15
    DEADLINE = 16
    QUARANTINED = 17
    ZONE_OUT = 18
    WRONG_SNAPSHOT = 19
    EJECTED = 20
    WARMING_UP = 21


@attrs.define(eq=False)
class Exchange:
    """Legs of one query for one backend server.

    Parameters
    ----------
    exchange_id : int
        Unique in the entry daemon that made it.
    request_id : str
        Request it belongs to.
    service : str
        Service name.
    server : str
        Backend server's name.
    snapshot : str
        Token of the pinned snapshot.
    shards : tuple of int
        Shards wanted from the server.
    route : str
        Route of the request.
    query : str
        Query as JSON text.
    caller : str
        Caller identity.
    priority : Priority
        Priority class.
    budget_ms : float
        Time left for the exchange when it was handed on.
    top_k : int
        Hits wanted for each shard.
    repeatable : bool
        Whether it may run again.
    fingerprint : str
        Fingerprint of the request.
    attempt : Attempt
        Why it is sent.
    proven : bool
        Whether the request is known to crash no server of this snapshot.
    last_resort : bool
        Whether no server but ejected ones is left for its shards.
    """

    exchange_id: int
    request_id: str
    service: str
    server: str
    snapshot: str
    shards: tuple[int, ...]
    route: str
    query: str
    caller: str
    priority: Priority
    budget_ms: float
    top_k: int
    repeatable: bool
    fingerprint: str
    attempt: Attempt = Attempt.FIRST
    proven: bool = False
    last_resort: bool = False

    @property
    def version(self) -> str:
        """Software version named by the snapshot's token."""
        return self.snapshot.split("/")[1]


@attrs.define
class Hit:
    """One result of a leaf.

    Parameters
    ----------
    document : str
        Identity of the result.
    score : float
        Finite; a larger score is better.
    """

    document: str
    score: float


@attrs.define(eq=False)
class Partial:
    """One leaf's answer.

    Parameters
    ----------
    shard : int
        Shard that answered.
    snapshot : str
        Token of the snapshot it was computed from.
    hits : tuple of Hit
        Best hits, best first.
    complete : bool
        False when the leaf itself gave only a part.
    """

    shard: int
    snapshot: str
    hits: tuple[Hit, ...]
    complete: bool = True


@attrs.define(eq=False)
class ServerLoad:
    """Load of a backend server as its owner daemon knows it.

    Parameters
    ----------
    in_flight : int
        Exchanges running.
    queued : int
        Exchanges waiting at the owner.
    limit : float
        Exchanges that the owner lets run at once.
    service_ms : float
        Smoothed time of one exchange.
    cold : bool
        Whether the server is still warming up.
    draining : bool
        Whether any source says that it is leaving.
    pause_ms : float
        Time until a cold server may be sent its next exchange.
    """

    in_flight: int = 0
    queued: int = 0
    limit: float = 1.0
    service_ms: float = 0.0
    cold: bool = False
    draining: bool = False
    pause_ms: float = 0.0

    def expected_wait_ms(self, ahead: int, least: int, age_ms: float) -> float:
        """Return the wait that a new exchange has to expect.

        Parameters
        ----------
        ahead : int
            Exchanges sent to the server since this load was told.
        least : int
            Exchanges that are known to be there, whatever was told.
        age_ms : float
            Time since the load was told; once it is no longer fresh, the queue
            is taken to have drained.
        """
        limit = max(LEAST_LIMIT, self.limit)
        told: float = self.in_flight + self.queued
        if self.service_ms > 0:
            idle_ms = max(0.0, age_ms - FRESH_MS)
            told = max(0.0, told - idle_ms * limit / self.service_ms)
        waiting = max(told + ahead, least) + 1 - max(1.0, limit)
        queue_ms = max(0.0, waiting * self.service_ms / limit)
        return queue_ms + max(0.0, self.pause_ms - age_ms)


@attrs.define(eq=False)
class ExchangeReply:
    """The end of an exchange as its owner daemon reports it.

    Parameters
    ----------
    exchange_id : int
        Exchange that ended.
    request_id : str
        Request that it belongs to.
    server : str
        Backend server's name.
    fate : Fate
        What is known of it.
    reason : Reason
        Why it brought no full answer, or `Reason.NONE`.
    partials : tuple of Partial
        One for each leaf that answered.
    load : ServerLoad or None
        Load of the server just now.
    waited_ms : float
        Time that the exchange waited at its owner.
    """

    exchange_id: int
    request_id: str
    server: str
    fate: Fate
    reason: Reason = Reason.NONE
    partials: tuple[Partial, ...] = ()
    load: ServerLoad | None = None
    waited_ms: float = 0.0


__all__ = [
    "Attempt",
    "Exchange",
    "ExchangeReply",
    "Fate",
    "Hit",
    "Partial",
    "Reason",
    "ServerLoad",
]
