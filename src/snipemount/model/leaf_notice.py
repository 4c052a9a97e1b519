"""What a leaf states about itself in its responses."""

from __future__ import annotations

import attrs


@attrs.frozen
class NoLimit:
    """The leaf states no limit."""


@attrs.frozen
class RequestLimit:
    """The leaf takes so many requests from all daemons together.

    Parameters
    ----------
    per_s : float
        Requests per second, 0 or more.
    """

    per_s: float


@attrs.frozen
class UnreadableLimit:
    """The leaf states a limit that is not a number of requests."""


StatedLimit = NoLimit | RequestLimit | UnreadableLimit


@attrs.frozen
class LeafNotice:
    """What a leaf states about itself in one response.

    Parameters
    ----------
    limit : StatedLimit
        Requests that it takes from all daemons together.
    leaving : bool
        Whether it is about to end and must get no new requests.
    rest_ms : float
        Time for which it wants no requests of this daemon; 0 if it states none.
    """

    limit: StatedLimit = NoLimit()
    leaving: bool = False
    rest_ms: float = 0.0


SILENT_NOTICE = LeafNotice()

__all__ = [
    "SILENT_NOTICE",
    "LeafNotice",
    "NoLimit",
    "RequestLimit",
    "StatedLimit",
    "UnreadableLimit",
]
