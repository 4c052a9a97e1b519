"""Requests that are passed on unchanged, and what comes back."""

from __future__ import annotations

from enum import Enum

import attrs

Headers = tuple[tuple[str, str], ...]


@attrs.frozen(eq=False)
class ForwardRequest:
    """A caller's request, opaque but for what routing needs.

    Parameters
    ----------
    request_id : str
        The caller's id of this attempt.
    method : str
        HTTP method.
    target : str
        Request target as the caller sent it, not decoded.
    host : str
        Host header.
    headers : Headers
        End-to-end headers to pass on.
    body : bytes
        Whole body.
    deadline_ms : float or None
        How long the caller waits, counted from its arrival here.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    deadline_ms: float | None

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class LeafAnswer:
    """A whole answer of the leaf that was asked.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : Headers
        End-to-end headers, the receipt among them.
    body : bytes
        Whole body.
    receipt : str
        Proof that the leaf ran the request; empty when it gave none.
    """

    status: int
    headers: Headers
    body: bytes
    receipt: str

    @property
    def succeeded(self) -> bool:
        """Whether the leaf ran the request and was content."""
        return 200 <= self.status < 300 and bool(self.receipt)


class NotRunReason(Enum):
    """Why a leaf certainly did not run a request."""

    UNREACHABLE = "unreachable"
    NOBODY_LISTENS = "nobody_listens"
    NO_CONNECTION = "no_connection"
    REFUSED = "refused"
    OTHER_LEAF = "other_leaf"


@attrs.frozen
class NotRun:
    """The leaf did not run the request and never will."""

    reason: NotRunReason


class LostReason(Enum):
    """Why a sent request has no answer."""

    BROKEN_OFF = "broken_off"
    FOREIGN_ANSWER = "foreign_answer"
    MALFORMED = "malformed"
    SILENT = "silent"


@attrs.frozen
class Lost:
    """The request was sent and may have run."""

    reason: LostReason


LegOutcome = LeafAnswer | NotRun | Lost


@attrs.frozen
class LoadReport:
    """Load that a leaf told with an answer.

    Parameters
    ----------
    running : int
        Requests it ran.
    waiting : int
        Requests that waited for a slot.
    slots : int
        Requests that it runs at the same time.
    """

    running: int
    waiting: int
    slots: int


class RefusalReason(Enum):
    """Why a request was refused before any leaf ran it."""

    NO_CONFIGURATION = "no_configuration"
    NO_LEAF = "no_leaf"
    ALL_REFUSED = "all_refused"
    STOPPING = "stopping"


class FailureReason(Enum):
    """Why a request that may have run has no answer."""

    LEAF_LOST = "leaf_lost"
    TOO_FEW_SHARDS = "too_few_shards"
    TIMEOUT = "timeout"


@attrs.frozen
class Passed:
    """A leaf's answer, to be passed on unchanged."""

    answer: LeafAnswer


@attrs.frozen
class Merged:
    """The greatest records of the shards that answered.

    Parameters
    ----------
    receipts : tuple of str
        One for each shard included.
    missing : int
        Shards left out.
    body : bytes
        Records, greatest first.
    """

    receipts: tuple[str, ...]
    missing: int
    body: bytes


@attrs.frozen
class Refused:
    """The request has not run and never will.

    Parameters
    ----------
    reason : RefusalReason
        Why.
    retry_after_ms : float
        When another try may succeed.
    """

    reason: RefusalReason
    retry_after_ms: float


@attrs.frozen
class Failed:
    """The request may have run; its outcome is unknown."""

    reason: FailureReason


@attrs.frozen
class UnknownRoute:
    """No route of the configuration in force fits."""


Outcome = Passed | Merged | Refused | Failed | UnknownRoute

__all__ = [
    "Failed",
    "FailureReason",
    "ForwardRequest",
    "Headers",
    "LeafAnswer",
    "LegOutcome",
    "LoadReport",
    "Lost",
    "LostReason",
    "Merged",
    "NotRun",
    "NotRunReason",
    "Outcome",
    "Passed",
    "RefusalReason",
    "Refused",
    "UnknownRoute",
]
