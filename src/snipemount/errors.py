"""Result codes of requests and the exceptions that carry them."""

from __future__ import annotations

from enum import IntEnum

# Raised by the conversion of malformed input.
MALFORMED_INPUT_ERRORS = (
    ValueError,
    KeyError,
    IndexError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
DEFAULT_HTTP_STATUS_BY_GROUP = {0: 200, 1: 400, 2: 503, 3: 502, 4: 409, 5: 401, 9: 500}


class ResultCode(IntEnum):
    """Result code of a request; the hundreds digit groups the codes by cause.

    Notes
    -----
    0xx: answered; 1xx: the request is invalid; 2xx: refused for lack of capacity
    or because the daemon cannot serve it now; 3xx: backend servers failed or
    exceeded the deadline; 4xx: idempotency keys and conflicting changes; 5xx:
    credentials; 9xx: faults of the daemon or its settings.
    """

    OK = 0
    PARTIAL = 1
    MALFORMED_BODY = 100
    BODY_TOO_LARGE = 101
    UNSUPPORTED_MEDIA_TYPE = 102
    DUPLICATE_HEADER = 103
    INVALID_FIELD = 104
    UNKNOWN_FIELD = 105
    UNKNOWN_SERVICE = 106
    UNKNOWN_ROUTE = 107
    DEADLINE_PAST = 108
    NOT_FOUND = 109
    KEY_REUSED = 110
    UNSUPPORTED_METHOD = 111
    OVERLOADED = 200
    NO_BACKEND = 201
    SHUTTING_DOWN = 202
    PLATFORM_UNAVAILABLE = 203
    NO_SNAPSHOT = 204
    DEADLINE_EXCEEDED = 300
    BACKEND_FAILED = 301
    QUARANTINED = 302
    SNAPSHOT_GONE = 303
    OUTCOME_UNKNOWN = 400
    IN_PROGRESS = 401
    CONFLICT = 402
    CLAIMS_FULL = 403
    LAST_ZONE = 404
    NOT_IN_FORCE = 405
    MOVE_TAKEN_BACK = 406
    UNAUTHENTICATED = 500
    FORBIDDEN = 501
    SETTINGS_INVALID = 901
    INTERNAL = 900

    @property
    def http_status(self) -> int:
        """HTTP status of a response with this code."""
        return _HTTP_STATUS.get(self, DEFAULT_HTTP_STATUS_BY_GROUP[self.value // 100])

    @property
    def description(self) -> str:
        """One-line explanation of the code's cause."""
        return _DESCRIPTIONS[self]


_HTTP_STATUS = {
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.UNSUPPORTED_MEDIA_TYPE: 415,
    ResultCode.UNKNOWN_SERVICE: 404,
    ResultCode.UNKNOWN_ROUTE: 404,
    ResultCode.NOT_FOUND: 404,
    ResultCode.UNSUPPORTED_METHOD: 405,
    ResultCode.KEY_REUSED: 422,
    ResultCode.DEADLINE_EXCEEDED: 504,
    ResultCode.OVERLOADED: 429,
    ResultCode.FORBIDDEN: 403,
}

# These texts are sent to callers and stored with answers: keep them unchanged.
_DESCRIPTIONS = {
    ResultCode.OK: "Every shard of the pinned map answered in full.",
    ResultCode.PARTIAL: "Some shards are missing or partial; coverage names them.",
    ResultCode.MALFORMED_BODY: "The body is not JSON, nests too deep or holds NaN.",
    ResultCode.BODY_TOO_LARGE: "The body is larger than the limit in the settings.",
    ResultCode.UNSUPPORTED_MEDIA_TYPE: "The content type is not application/json.",
    ResultCode.DUPLICATE_HEADER: "A header that may stand once stands twice.",
    ResultCode.INVALID_FIELD: "A field is missing or has a wrong type or range.",
    ResultCode.UNKNOWN_FIELD: "The body has a field that the interface lacks.",
    ResultCode.UNKNOWN_SERVICE: "No service of that name is served here.",
    ResultCode.UNKNOWN_ROUTE: "The profile of the service has no such route.",
    ResultCode.DEADLINE_PAST: "The deadline is zero or negative.",
    ResultCode.NOT_FOUND: "The path or the object does not exist.",
    ResultCode.KEY_REUSED: "The idempotency key was used with another request.",
    ResultCode.UNSUPPORTED_METHOD: "The path does not take this HTTP method.",
    ResultCode.OVERLOADED: "No room within the deadline; send less or later.",
    ResultCode.NO_BACKEND: "No backend server may take the request.",
    ResultCode.SHUTTING_DOWN: "The daemon is stopping; ask another one.",
    ResultCode.PLATFORM_UNAVAILABLE: "The platform cannot be reached for a claim.",
    ResultCode.NO_SNAPSHOT: "No shard map of the service is known yet.",
    ResultCode.DEADLINE_EXCEEDED: "The deadline passed before any shard answered.",
    ResultCode.BACKEND_FAILED: "Every backend server that was tried failed.",
    ResultCode.QUARANTINED: "The request has crashed backend servers before.",
    ResultCode.SNAPSHOT_GONE: "The snapshot went away while the query ran.",
    ResultCode.OUTCOME_UNKNOWN: "The key was claimed; its outcome is not known.",
    ResultCode.IN_PROGRESS: "A request with this key is running now.",
    ResultCode.CONFLICT: "The object was changed by another writer.",
    ResultCode.CLAIMS_FULL: "No room for further idempotency keys just now.",
    ResultCode.LAST_ZONE: "It is the last zone of a service; force it if meant.",
    ResultCode.NOT_IN_FORCE: "Accepted, but some daemons do not follow it yet.",
    ResultCode.MOVE_TAKEN_BACK: "The move ended without being done.",
    ResultCode.FORBIDDEN: "The credentials do not allow changes.",
    ResultCode.UNAUTHENTICATED: "Credentials are missing or wrong.",
    ResultCode.SETTINGS_INVALID: "The settings file has a fault.",
    ResultCode.INTERNAL: "A fault of the daemon itself; the log has the event.",
}


class SnipemountError(Exception):
    """Base of all errors that carry a result code.

    Parameters
    ----------
    code : ResultCode
        Cause of the error; also defines the HTTP status.
    detail : str
        One-line explanation for people.
    """

    exit_status = 1

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.code.name} ({self.code.value}): {self.detail}"


class RequestError(SnipemountError):
    """A request is invalid and has not been executed."""

    exit_status = 2


class RemoteError(SnipemountError):
    """A daemon refused a request, was unreachable, or did not complete a change."""

    exit_status = 4


class CredentialsError(SnipemountError):
    """The credentials are missing, invalid or lack the required role."""


class SettingsError(SnipemountError):
    """A settings file is invalid; `detail` names the key or file and the reason."""

    exit_status = 3

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.SETTINGS_INVALID, detail)


class PlatformError(SnipemountError):
    """The platform could not be reached or gave no response in time."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.PLATFORM_UNAVAILABLE, detail)


class ConflictError(SnipemountError):
    """A change conflicts with the object's state or with another writer."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.CONFLICT, detail)


class NotFoundError(SnipemountError):
    """The object does not exist."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.NOT_FOUND, detail)


class DecodeError(SnipemountError):
    """A message, a response or a trace is malformed."""

    exit_status = 2

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.MALFORMED_BODY, detail)


class MalformedResponseError(DecodeError):
    """A response is not valid, cannot be read, or exceeds a bound."""


__all__ = [
    "MALFORMED_INPUT_ERRORS",
    "ConflictError",
    "CredentialsError",
    "DecodeError",
    "MalformedResponseError",
    "NotFoundError",
    "PlatformError",
    "RemoteError",
    "RequestError",
    "ResultCode",
    "SettingsError",
    "SnipemountError",
]
