"""Refusals that are written without a request being handed to the gateway."""

from __future__ import annotations

from enum import Enum
from http import HTTPStatus

from . import headers as names

# Another daemon can take the request at once.
RETRY_AFTER_S = 0.1


class CutOff(Enum):
    """Why a caller is refused or cut off; its value is the reason in the log."""

    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    RESPONSE_TIMEOUT = "response_timeout"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED = "malformed"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    STOPPING = "stopping"


STATUS_BY_REASON = {
    CutOff.HEADER_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    CutOff.BODY_TIMEOUT: HTTPStatus.REQUEST_TIMEOUT,
    CutOff.HEAD_TOO_LARGE: HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    CutOff.BODY_TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    CutOff.MALFORMED: HTTPStatus.BAD_REQUEST,
}


def encode_refusal(reason: CutOff, request_id: str) -> bytes:
    """Return the bytes of the response that states that a request has not run."""
    status = STATUS_BY_REASON.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Content-Type: text/plain; charset=utf-8",
        f"Content-Length: {len(reason.value)}",
        "Connection: close",
    ]
    if status is HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"{names.RETRY_AFTER}: {RETRY_AFTER_S:.3f}")
    if request_id:
        lines.append(f"{names.REQUEST_ID}: {request_id}")
    text = "\r\n".join([*lines, "", reason.value])
    return text.encode("utf-8", "surrogateescape")


__all__ = ["CutOff", "encode_refusal"]
