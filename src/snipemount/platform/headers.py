"""Headers of the platform's dialect, and which of them are passed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.forwarding import Headers

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
EXPECTED_LEAF = "X-Expect-Instance"
RECEIPT = "X-Server-Stamp"
NOT_RUN = "X-Not-Executed"
LOAD = "X-Server-Load"
RECEIPTS = "X-Part-Stamps"
MISSING_SHARDS = "X-Missing-Parts"
RETRY_AFTER = "Retry-After"

PER_CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
SET_BY_US = frozenset({"x-deadline-ms", "x-expect-instance"})


def end_to_end(
    pairs: Iterable[tuple[str, str]], connection: str, left_out: frozenset[str]
) -> Headers:
    """Return the headers that are passed on.

    Parameters
    ----------
    pairs : Iterable of tuple of str
        Headers as they came.
    connection : str
        Value of the Connection header; names further headers to drop.
    left_out : frozenset of str
        Names, in lower case, that are dropped besides.
    """
    dropped = PER_CONNECTION | left_out if left_out else PER_CONNECTION
    if connection:
        dropped = dropped | {name.strip().lower() for name in connection.split(",")}
    return tuple([pair for pair in pairs if pair[0].lower() not in dropped])


__all__ = [
    "DEADLINE_MS",
    "EXPECTED_LEAF",
    "LOAD",
    "MISSING_SHARDS",
    "NOT_RUN",
    "PER_CONNECTION",
    "RECEIPT",
    "RECEIPTS",
    "REQUEST_ID",
    "RETRY_AFTER",
    "SET_BY_US",
    "end_to_end",
]
