"""Decoding and validation of callers' requests."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from ..errors import DecodeError, RequestError, ResultCode
from ..model.request import Priority, Request
from . import strict_json

if TYPE_CHECKING:
    from ..model.profile import Profile
    from ..node.catalogue import Catalogue
    from ..settings import CallerSettings

REQUEST_FIELDS = frozenset(
    {
        "service",
        "route",
        "query",
        "caller",
        "priority",
        "deadline_ms",
        "top_k",
        "repeatable",
        "idempotency_key",
        "shard_key",
    }
)
MAX_TEXT_CHARS = 256


def decode_request(
    body: bytes, request_id: str, settings: CallerSettings, catalogue: Catalogue
) -> Request:
    """Decode and validate a request.

    Parameters
    ----------
    body : bytes
        Body of the HTTP request.
    request_id : str
        Id for the request, unique over all daemons.
    settings : CallerSettings
        Contains the maximum nesting depth of the body.
    catalogue : Catalogue
        Services and profiles; the profile defines routes, defaults and limits.

    Returns
    -------
    Request
        The request, with the defaults of the profile for missing fields.

    Raises
    ------
    RequestError
        When the request is invalid; describes the first error found.
    """
    document = _decode_document(body, settings)
    profile = _find_profile(document, catalogue)
    route = profile.route(_text_field(document, "route", "search"))
    if route is None:
        raise RequestError(ResultCode.UNKNOWN_ROUTE, "route is not in the profile")
    repeatable = route.repeatable and _bool_field(
        document, "repeatable", route.repeatable
    )
    return Request(
        request_id=request_id,
        service=document["service"],
        route=route.name,
        query=_canonical_query(document),
        caller=_text_field(document, "caller", "anonymous"),
        priority=_priority(document),
        deadline_ms=_deadline_ms(document, profile),
        top_k=_top_k(document, profile),
        repeatable=repeatable,
        idempotency_key=_optional_text_field(document, "idempotency_key"),
        shard_key=_optional_text_field(document, "shard_key"),
    )


def _decode_document(body: bytes, settings: CallerSettings) -> dict[str, Any]:
    try:
        document = strict_json.loads(body, settings.max_depth)
    except DecodeError as error:
        raise RequestError(ResultCode.MALFORMED_BODY, error.detail) from error
    if not isinstance(document, dict):
        raise RequestError(ResultCode.MALFORMED_BODY, "the body must be an object")
    for key in document:
        if key not in REQUEST_FIELDS:
            raise RequestError(ResultCode.UNKNOWN_FIELD, f"{key[:40]!r} is unknown")
    return document


def _find_profile(document: dict[str, Any], catalogue: Catalogue) -> Profile:
    name = _text_field(document, "service", None)
    record = catalogue.service(name)
    if record is None:
        raise RequestError(ResultCode.UNKNOWN_SERVICE, f"no service {name!r}")
    profile = catalogue.profile(record.profile)
    if profile is None:
        raise RequestError(
            ResultCode.NO_SNAPSHOT, f"profile {record.profile!r} is missing"
        )
    return profile


def _invalid_field(field: str, reason: str) -> RequestError:
    return RequestError(ResultCode.INVALID_FIELD, f"{field}: {reason}")


def _text_field(document: dict[str, Any], field: str, default: str | None) -> str:
    value = document.get(field, default)
    if not isinstance(value, str) or not value:
        raise _invalid_field(field, "must be a text that is not empty")
    if len(value) > MAX_TEXT_CHARS:
        raise _invalid_field(field, f"must have at most {MAX_TEXT_CHARS} characters")
    if not value.isprintable():
        raise _invalid_field(field, "must be printable")
    return value


def _optional_text_field(document: dict[str, Any], field: str) -> str | None:
    if document.get(field) is None:
        return None
    return _text_field(document, field, None)


def _bool_field(document: dict[str, Any], field: str, default: bool) -> bool:
    value = document.get(field, default)
    if not isinstance(value, bool):
        raise _invalid_field(field, "must be true or false")
    return value


def _canonical_query(document: dict[str, Any]) -> str:
    if "query" not in document:
        raise _invalid_field("query", "is missing")
    return json.dumps(document["query"], sort_keys=True, separators=(",", ":"))


def _priority(document: dict[str, Any]) -> Priority:
    name = document.get("priority", "normal")
    for priority in Priority:
        if name == priority.name.lower():
            return priority
    raise _invalid_field("priority", "must be urgent, normal or bulk")


def _deadline_ms(document: dict[str, Any], profile: Profile) -> float:
    value = document.get("deadline_ms", profile.default_deadline_ms)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise _invalid_field("deadline_ms", "must be a number of milliseconds")
    if value <= 0:
        raise RequestError(ResultCode.DEADLINE_PAST, "deadline_ms must be above 0")
    if value > profile.max_deadline_ms:
        raise _invalid_field(
            "deadline_ms", f"must be at most {profile.max_deadline_ms:g}"
        )
    return float(value)


def _top_k(document: dict[str, Any], profile: Profile) -> int:
    value = document.get("top_k", 10)
    if isinstance(value, bool) or not isinstance(value, int):
        raise _invalid_field("top_k", "must be a whole number")
    if not 1 <= value <= profile.max_top_k:
        raise _invalid_field("top_k", f"must be between 1 and {profile.max_top_k}")
    return value


__all__ = ["decode_request"]
