"""Exchanges: the legs of one query that one backend server answers together."""

from __future__ import annotations

from enum import IntEnum

import attrs

from .request import Priority

MIN_CONCURRENCY_LIMIT = 0.01
LOAD_FRESH_MS = 50.0


class Attempt(IntEnum):
    """Whether an exchange is a first attempt, a hedge or a retry."""

    FIRST = 0
    HEDGE = 1
    RETRY = 2


class Fate(IntEnum):
    """What is known about the execution of an exchange that has ended."""

    NOT_SENT = 0
    REFUSED = 1
    MAY_HAVE_RUN = 2
    ANSWERED = 3

    @property
    def not_run(self) -> bool:
        """Whether it is certain that the backend server did not start the exchange."""
        return self in (Fate.NOT_SENT, Fate.REFUSED)


class Reason(IntEnum):
    """Why an exchange returned no full answer."""

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
    """The legs of one query that are sent to one backend server together.

    Parameters
    ----------
    exchange_id : int
        Id, unique in the entry daemon that created the exchange.
    request_id : str
        Id of the request that it belongs to.
    service : str
        Service name.
    server : str
        Backend server's name.
    snapshot : str
        Token of the pinned snapshot.
    shards : tuple of int
        Shards to query on the server.
    route : str
        Route of the request.
    query : str
        Query, as JSON text.
    caller : str
        Identity of the caller.
    priority : Priority
        Priority class.
    budget_ms : float
        Time left until the deadline when the exchange was passed to the owner of
        the server.
    top_k : int
        Maximum number of hits for each shard.
    repeatable : bool
        Whether it is idempotent and may run again.
    fingerprint : str
        Hash that identifies requests with the same content.
    attempt : Attempt
        First attempt, hedge or retry.
    proven : bool
        Whether the request is taken to be harmless: a server of this software
        version has answered it, or the profile disables proving. Only the loss of
        a server to a request that is not proven counts towards quarantine.
    last_resort : bool
        Whether only ejected servers are left for its shards, so that the owner
        must not refuse the exchange because the server is ejected or cold.
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
        """Software version in the snapshot's token."""
        return self.snapshot.split("/")[1]


@attrs.define
class Hit:
    """One result of a query.

    Parameters
    ----------
    document : str
        Id of the document found.
    score : float
        Score of the document, a finite number; larger is better.
    """

    document: str
    score: float


@attrs.define(eq=False)
class Partial:
    """The answer of one leaf to its leg of a query.

    Parameters
    ----------
    shard : int
        Shard that answered.
    snapshot : str
        Token of the snapshot that the answer was computed from.
    hits : tuple of Hit
        Best hits, best first.
    complete : bool
        False when the leaf itself returned only a part of its answer.
    """

    shard: int
    snapshot: str
    hits: tuple[Hit, ...]
    complete: bool = True


@attrs.define(eq=False)
class ServerLoad:
    """Load of a backend server, as reported by its owner daemon.

    Parameters
    ----------
    in_flight : int
        Number of exchanges that the server is running.
    queued : int
        Number of exchanges that wait at the owner.
    limit : float
        Maximum number of exchanges that the owner runs on the server at once; below
        1 while a cold server is given less than one slot.
    service_ms : float
        Smoothed latency of one exchange.
    cold : bool
        Whether the server is still warming up.
    draining : bool
        Whether the platform or the server itself reports that it is draining.
    pause_ms : float
        Time until the next exchange may be sent to a cold server.
    """

    in_flight: int = 0
    queued: int = 0
    limit: float = 1.0
    service_ms: float = 0.0
    cold: bool = False
    draining: bool = False
    pause_ms: float = 0.0

    def expected_wait_ms(
        self, sent_since_report: int, outstanding: int, age_ms: float
    ) -> float:
        """Return the expected time that a new exchange waits before it starts.

        Parameters
        ----------
        sent_since_report : int
            Exchanges that this daemon sent to the server after the load was
            reported.
        outstanding : int
            Exchanges that this daemon sent to the server and that have not ended;
            the estimate never counts fewer than these.
        age_ms : float
            Time since the load was reported. After `LOAD_FRESH_MS` the reported
            queue is assumed to drain at the rate of the server.
        """
        limit = max(MIN_CONCURRENCY_LIMIT, self.limit)
        reported: float = self.in_flight + self.queued
        if self.service_ms > 0:
            idle_ms = max(0.0, age_ms - LOAD_FRESH_MS)
            reported = max(0.0, reported - idle_ms * limit / self.service_ms)
        waiting = max(reported + sent_since_report, outstanding) + 1 - max(1.0, limit)
        queue_ms = max(0.0, waiting * self.service_ms / limit)
        return queue_ms + max(0.0, self.pause_ms - age_ms)


@attrs.define(eq=False)
class ExchangeReply:
    """The result of an exchange, as reported by the owner daemon of its server.

    Parameters
    ----------
    exchange_id : int
        Id of the exchange that ended.
    request_id : str
        Id of the request that it belongs to.
    server : str
        Backend server's name.
    fate : Fate
        Whether it was not sent, was refused, was answered or may have run.
    reason : Reason
        Why it returned no full answer, or `Reason.NONE`.
    partials : tuple of Partial
        Answers, one for each leaf that answered.
    load : ServerLoad or None
        Load of the server when the exchange ended.
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
