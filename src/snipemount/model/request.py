"""A caller's request after it has been checked."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import attrs

FINGERPRINT_BYTES = 12


class Priority(IntEnum):
    """Priority class of a request; a smaller value goes first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


@attrs.define(eq=False)
class Request:
    """A checked request.

    Parameters
    ----------
    request_id : str
        Unique over all daemons; given by the entry daemon.
    service : str
        Service name.
    route : str
        Route of the service's profile.
    query : str
        What the backend servers run, as JSON text.
    caller : str
        Caller identity.
    priority : Priority
        Priority class.
    deadline_ms : float
        Time left when the request arrived, in milliseconds.
    top_k : int
        Hits wanted.
    repeatable : bool
        Whether a leg may run more than once.
    idempotency_key : str or None
        Caller's key for a request that may not be repeated.
    shard_key : str or None
        When given, the request runs on the one shard that the key hashes to.
    """

    request_id: str
    service: str
    route: str
    query: str
    caller: str = "anonymous"
    priority: Priority = Priority.NORMAL
    deadline_ms: float = 370.0
    top_k: int = 10
    repeatable: bool = True
    idempotency_key: str | None = None
    shard_key: str | None = None
    fingerprint: str = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        parts = (self.service, self.route, self.query, self.shard_key or "")
        digest = hashlib.blake2b(
            "\0".join(parts).encode(), digest_size=FINGERPRINT_BYTES
        )
        self.fingerprint = digest.hexdigest()


__all__ = ["Priority", "Request"]
