"""Bodies of the answers of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp

MAX_RESPONSE_BYTES = 2**25  # many times a page of the store


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Return the body of a response.

    Raises
    ------
    ValueError
        When it is larger than any that the store sends.
    """
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError(f"a body of more than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


__all__ = ["read_body"]
