"""Requests of callers after validation."""

from __future__ import annotations

import hashlib
from enum import IntEnum

import attrs

FINGERPRINT_BYTES = 12


class Priority(IntEnum):
    """Priority class of a request; smaller values are served first."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


@attrs.define(eq=False)
class Request:
    """A validated request.

    Parameters
    ----------
    request_id : str
        Id that the entry daemon assigns, unique over all daemons.
    service : str
        Name of the service.
    route : str
        Name of a route in the service's profile.
    query : str
        Query that the backend servers run, as JSON text.
    caller : str
        Identity of the caller.
    priority : Priority
        Priority class.
    deadline_ms : float
        Time left until the deadline when the request arrived.
    top_k : int
        Maximum number of hits in the answer.
    repeatable : bool
        Whether its legs are idempotent and may run more than once.
    idempotency_key : str or None
        Key that the caller gives to a request that must not run twice.
    shard_key : str or None
        Key whose hash selects the one shard that the request runs on; None runs it
        on all shards.

    Attributes
    ----------
    fingerprint : str
        Hash of service, route, query and shard key; requests with the same content
        have the same fingerprint.
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
