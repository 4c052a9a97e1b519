"""Bounds on what leafs may send in response to one request, and to all together."""

from __future__ import annotations

MAX_HEAD_BYTES = 2**18
MAX_RESPONSE_BYTES = 2**23
MAX_PENDING_BYTES = 2**24
# Below this a response is read although all together exceed their bound: a complete
# one frees its bytes soon.
MIN_PENDING_BYTES = 2**16


class PendingBytes:
    """Counts the bytes of all responses that are being read.

    Attributes
    ----------
    held : int
        Bytes read for responses that have not ended.
    given_up : int
        Responses that were malformed or exceeded a bound.
    """

    def __init__(self) -> None:
        self.held = 0
        self.given_up = 0

    def add(self, added: int, response_bytes: int, has_head: bool) -> bool:
        """Count bytes that were read; return whether the response may go on.

        Parameters
        ----------
        added : int
            Bytes that have just been read.
        response_bytes : int
            Bytes read for the response so far, with these.
        has_head : bool
            Whether its head is complete.
        """
        self.held += added
        if response_bytes > (MAX_RESPONSE_BYTES if has_head else MAX_HEAD_BYTES):
            return False
        return self.held <= MAX_PENDING_BYTES or response_bytes <= MIN_PENDING_BYTES

    def has_room(self, body_bytes: int) -> bool:
        """Return whether a body of this length could be read now."""
        if body_bytes <= MIN_PENDING_BYTES:
            return True
        return (
            body_bytes <= MAX_RESPONSE_BYTES
            and self.held + body_bytes <= MAX_PENDING_BYTES
        )

    def release(self, response_bytes: int) -> None:
        """Subtract the bytes of a response that has ended."""
        self.held -= response_bytes


__all__ = ["PendingBytes"]
