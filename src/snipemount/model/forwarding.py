"""Requests that are forwarded to leafs unchanged, and their outcomes."""

from __future__ import annotations

import hashlib
from enum import Enum
from functools import cached_property

import attrs

from .identity import CallerIdentity, OfOrganisation, Unchecked

Headers = tuple[tuple[str, str], ...]
# Position among all headers, name and value.
PlacedHeaders = tuple[tuple[int, str, str], ...]
FINGERPRINT_BYTES = 16
FIRST_SERVER_ERROR = 500  # HTTP status


@attrs.frozen(eq=False)
class ForwardRequest:
    """A caller's request, of which only the parts needed for routing are decoded.

    Parameters
    ----------
    request_id : str
        Id that the caller assigned to this request; a repeated request has its own.
    method : str
        HTTP method.
    target : str
        Request target, exactly as the caller sent it.
    host : str
        Value of the Host header.
    headers : Headers
        End-to-end headers, which are forwarded, without `identity_headers`.
    body : bytes
        Complete body.
    deadline_ms : float or None
        Time that the caller waits, counted from the arrival of the request; None
        when the caller states none.
    api_key : str
        Key that the caller sent; empty if it sent none.
    identity_headers : PlacedHeaders
        Headers by which the caller states who it is; they are forwarded only while
        its identity is `Unchecked`, each at its position among all headers.
    caller : CallerIdentity
        Whom the request belongs to.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    deadline_ms: float | None
    api_key: str = attrs.field(default="", repr=False)
    identity_headers: PlacedHeaders = attrs.field(default=(), repr=False)
    caller: CallerIdentity = Unchecked()

    @property
    def path(self) -> str:
        """Request target without its query string."""
        return self.target.partition("?")[0]

    @property
    def forwarded_headers(self) -> Headers:
        """Headers of the caller that a leaf gets, in the caller's order."""
        if not self.identity_headers or not isinstance(self.caller, Unchecked):
            return self.headers
        headers = list(self.headers)
        for position, name, value in self.identity_headers:
            headers.insert(position, (name, value))
        return tuple(headers)

    @cached_property
    def fingerprint(self) -> str:
        """Hexadecimal digest that requests share which do the same for one caller.

        It covers caller, host, method, target and body. A caller that was not checked
        counts as what it states about itself.
        """
        digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
        for part in (self._caller_text, self.host.lower(), self.method, self.target):
            field = part.encode("utf-8", "surrogateescape")
            digest.update(len(field).to_bytes(8, "big") + field)
        digest.update(self.body)
        return digest.hexdigest()

    @property
    def _caller_text(self) -> str:
        match self.caller:
            case OfOrganisation(name):
                return f"organisation:{name}"
            case Unchecked():
                stated = (f"{name}:{value}" for _, name, value in self.identity_headers)
                return "\n".join(stated)
            case _:
                return "anonymous"

    def identified(self, caller: CallerIdentity) -> ForwardRequest:
        """Return the request with its caller's identity.

        Unless this is `Unchecked`, the result lacks the key and what else the caller
        stated about itself.
        """
        if isinstance(caller, Unchecked):
            return self
        return attrs.evolve(self, caller=caller, api_key="", identity_headers=())


@attrs.frozen
class LeafAnswer:
    """A complete response of the leaf that the request was sent to.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : Headers
        End-to-end headers, including the receipt.
    body : bytes
        Complete body.
    receipt : str
        Header that proves that the leaf ran the request; empty when it is absent.
    """

    status: int
    headers: Headers
    body: bytes
    receipt: str

    @property
    def succeeded(self) -> bool:
        """Whether the response has a 2xx status and a receipt."""
        return 200 <= self.status < 300 and bool(self.receipt)

    @property
    def is_server_error(self) -> bool:
        """Whether the leaf reports that it has failed."""
        return self.status >= FIRST_SERVER_ERROR


class NotRunReason(Enum):
    """Why it is certain that a leaf did not run a request."""

    UNREACHABLE = "unreachable"  # no response to the attempt to connect
    CONNECTION_REFUSED = "nobody_listens"  # connection refused or reset
    NO_CONNECTION = "no_connection"  # limit of connections or open files reached
    REFUSED = "refused"  # the leaf states that it did not run the request
    OTHER_LEAF = "other_leaf"  # another leaf listens on the address


NOT_ARRIVED_REASONS = (
    NotRunReason.UNREACHABLE,
    NotRunReason.CONNECTION_REFUSED,
    NotRunReason.NO_CONNECTION,
)


@attrs.frozen
class NotRun:
    """The leaf has not run the request and will not run it."""

    reason: NotRunReason


class NoValidResponseReason(Enum):
    """Why a request that was sent got no valid response."""

    CONNECTION_CLOSED = "broken_off"  # before the response was complete
    MISMATCHED_RESPONSE = "foreign_answer"  # response to another request
    MALFORMED = "malformed"
    NO_RESPONSE = "silent"


@attrs.frozen
class NoValidResponse:
    """The request was sent and may have run, but no valid response arrived."""

    reason: NoValidResponseReason


AttemptOutcome = LeafAnswer | NotRun | NoValidResponse


@attrs.frozen
class LoadReport:
    """Load that a leaf reported in a response.

    Parameters
    ----------
    running : int
        Number of requests that it was running.
    waiting : int
        Number of requests that waited for a slot.
    slots : int
        Maximum number of requests that it runs at the same time.
    work_ratio : float or None
        How long work takes on its VM at this moment, relative to usual; None if the
        leaf does not state it.
    """

    running: int
    waiting: int
    slots: int
    work_ratio: float | None = None


class RefusalReason(Enum):
    """Why a request was refused without having run on any leaf."""

    NO_CONFIGURATION = "no_configuration"
    NO_LEAF = "no_leaf"
    LEAF_LIMITS = "leaf_limits"
    ALL_REFUSED = "all_refused"
    STOPPING = "stopping"
    OVERLOADED = "overloaded"
    QUARANTINED = "quarantined"  # the request has crashed leafs before


class FailureReason(Enum):
    """Why a request that may have run got no answer."""

    LEAF_LOST = "leaf_lost"
    TOO_FEW_SHARDS = "too_few_shards"
    TIMEOUT = "timeout"
    STOPPING = "stopping"


@attrs.frozen
class Forwarded:
    """A leaf's response, to be forwarded to the caller unchanged."""

    answer: LeafAnswer


@attrs.frozen
class Merged:
    """The greatest records of all shards that answered.

    Parameters
    ----------
    receipts : tuple of str
        Receipts of the leafs that answered, one for each shard included.
    missing : int
        Number of shards that are not included.
    body : bytes
        Records, greatest first.
    """

    receipts: tuple[str, ...]
    missing: int
    body: bytes


@attrs.frozen
class RequestRefused:
    """The request has not run on any leaf and will not run.

    Parameters
    ----------
    reason : RefusalReason
        Why it was refused.
    retry_after_ms : float
        Time after which a repeated request may succeed.
    """

    reason: RefusalReason
    retry_after_ms: float


@attrs.frozen
class RequestFailed:
    """The request may have run; its outcome is unknown."""

    reason: FailureReason


@attrs.frozen
class UnknownRoute:
    """No route of the configuration in force matches the request."""


@attrs.frozen
class Unauthorized:
    """The request bears no key of an organisation, and its route is not public."""


RequestOutcome = (
    Forwarded | Merged | RequestRefused | RequestFailed | UnknownRoute | Unauthorized
)

__all__ = [
    "NOT_ARRIVED_REASONS",
    "AttemptOutcome",
    "FailureReason",
    "ForwardRequest",
    "Forwarded",
    "Headers",
    "LeafAnswer",
    "LoadReport",
    "Merged",
    "NoValidResponse",
    "NoValidResponseReason",
    "NotRun",
    "NotRunReason",
    "PlacedHeaders",
    "RefusalReason",
    "RequestFailed",
    "RequestOutcome",
    "RequestRefused",
    "Unauthorized",
    "UnknownRoute",
]
