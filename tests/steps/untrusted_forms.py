"""What callers send that never finish their requests."""

from __future__ import annotations

from snipemount.soak.deployment import HOST

BODY_BYTES = 262_144
MB = 2**20
CHUNK = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"


def head(first_line: str, *lines: str) -> bytes:
    """Return the head of a request."""
    every = (f"{first_line} HTTP/1.1", f"Host: {HOST}", "X-Request-Id: h", *lines)
    return "".join(f"{line}\r\n" for line in (*every, "")).encode()


POST = head("POST /look/1", f"Content-Length: {BODY_BYTES}")
CHUNKED = head("POST /look/1", "Transfer-Encoding: chunked")
MANY_HEADERS = (f"h{number}: {'v' * 100}" for number in range(120))
BODY = b"x" * (BODY_BYTES - 1)

# The pieces that a caller sends one after the other.
FORMS: dict[str, list[bytes]] = {
    "nothing": [],
    "a request line without end": [b"GET /look/", *[b"x" * MB] * 3],
    "header lines without end": [
        head("GET /look/1").removesuffix(b"\r\n"),
        *[b"a: b\r\n" * 100_000] * 3,
    ],
    "empty lines without end": [b"\r\n" * (MB // 2)] * 26,
    "a body of legal size, all but the last byte": [POST + BODY],
    "a body in pieces, all but the last byte": [
        POST,
        *(BODY[start : start + 8192] for start in range(0, len(BODY), 8192)),
    ],
    "15 chunks of 16 KB without an end": [CHUNKED, *[CHUNK] * 15],
    "chunks of one byte without an end": [CHUNKED, b"1\r\nx\r\n" * 200_000],
    "120 headers and no body": [
        head("POST /look/1", f"Content-Length: {BODY_BYTES}", *MANY_HEADERS)
    ],
    "3000 requests at once": [head("GET /look/1") * 3000],
    "requests with large answers, and read no answer": [head("GET /find/1") * 5],
}

__all__ = ["FORMS"]
