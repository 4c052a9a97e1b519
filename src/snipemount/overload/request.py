"""Requests that ask for admission, and the decisions on them."""

from __future__ import annotations

import attrs


@attrs.frozen
class AdmissionRequest:
    """A request before its first attempt.

    Parameters
    ----------
    services : tuple of str
        Services that it asks: one, or the shards of a query.
    min_share : float
        Share of them that has to answer, 0 to 1.
    rank : int
        Its priority; 0 is the most urgent.
    organisation : str
        Organisation that it belongs to; empty if it has none.
    typical_ms : float
        Time that an answer usually takes now.
    deadline_at_ms : float
        Time after which an answer is of no use.
    """

    services: tuple[str, ...]
    min_share: float
    rank: int
    organisation: str
    typical_ms: float
    deadline_at_ms: float


@attrs.frozen
class Admitted:
    """The request starts now."""


@attrs.frozen
class Queued:
    """The request waits.

    Parameters
    ----------
    ticket : int
        Identifies it until it leaves the queue.
    """

    ticket: int


@attrs.frozen
class Refused:
    """The request does not start.

    Parameters
    ----------
    retry_after_ms : float
        Time after which it is likely to be admitted.
    """

    retry_after_ms: float


Decision = Admitted | Queued | Refused

__all__ = ["AdmissionRequest", "Admitted", "Decision", "Queued", "Refused"]
