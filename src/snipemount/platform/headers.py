"""HTTP headers of the platform's protocol, and the filter for forwarded headers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ..model.forwarding import Headers, PlacedHeaders

REQUEST_ID = "X-Request-Id"
DEADLINE_MS = "X-Deadline-Ms"
EXPECTED_LEAF = "X-Expect-Instance"
RECEIPT = "X-Server-Stamp"
NOT_RUN = "X-Not-Executed"
LOAD = "X-Server-Load"
RECEIPTS = "X-Part-Stamps"
MISSING_SHARDS = "X-Missing-Parts"
RETRY_AFTER = "Retry-After"
LEAF_LIMIT = "Server-Limit"
LEAF_LEAVING = "Server-Leaving"
AUTHORIZATION = "Authorization"
ORGANISATION = "X-Tenant"
AUTHENTICATE = "WWW-Authenticate"
KEY_SCHEME = "Token"
STORE_ERA = "Store-Era"

# Headers that apply to one connection or are written anew for each message.
HOP_BY_HOP = frozenset(
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
# Request headers that the daemon writes itself, in place of the caller's.
SET_BY_DAEMON = frozenset({"x-deadline-ms", "x-expect-instance"})
# Request headers by which a caller states who it is.
IDENTITY = frozenset({"authorization", "x-tenant"})


def end_to_end(
    pairs: Iterable[tuple[str, str]], connection: str, excluded: frozenset[str]
) -> Headers:
    """Return the headers to forward, in their order.

    Parameters
    ----------
    pairs : Iterable of tuple of str
        Names and values of the received headers.
    connection : str
        Value of the Connection header; the headers it lists are dropped too.
    excluded : frozenset of str
        Further names to drop, in lower case.
    """
    dropped = HOP_BY_HOP | excluded if excluded else HOP_BY_HOP
    if connection:
        dropped = dropped | {name.strip().lower() for name in connection.split(",")}
    return tuple([pair for pair in pairs if pair[0].lower() not in dropped])


def split_identity(headers: Headers) -> tuple[Headers, PlacedHeaders]:
    """Return the headers without those of the caller's identity, and these."""
    placed = tuple(
        [
            (position, name, value)
            for position, (name, value) in enumerate(headers)
            if name.lower() in IDENTITY
        ]
    )
    if not placed:
        return headers, ()
    return tuple(pair for pair in headers if pair[0].lower() not in IDENTITY), placed


def parse_api_key(values: Sequence[str]) -> str:
    """Return the key in the values of Authorization headers.

    It is empty for another scheme, and for several headers: which of them counts would
    depend on the reader.
    """
    if len(values) != 1:
        return ""
    scheme, _, api_key = values[0].strip().partition(" ")
    return api_key.strip() if scheme.lower() == KEY_SCHEME.lower() else ""


__all__ = [
    "AUTHENTICATE",
    "AUTHORIZATION",
    "DEADLINE_MS",
    "EXPECTED_LEAF",
    "HOP_BY_HOP",
    "KEY_SCHEME",
    "LEAF_LEAVING",
    "LEAF_LIMIT",
    "LOAD",
    "MISSING_SHARDS",
    "NOT_RUN",
    "ORGANISATION",
    "RECEIPT",
    "RECEIPTS",
    "REQUEST_ID",
    "RETRY_AFTER",
    "SET_BY_DAEMON",
    "end_to_end",
    "parse_api_key",
    "split_identity",
]
