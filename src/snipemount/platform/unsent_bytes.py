"""Bytes of a connection that its peer has not acknowledged."""

from __future__ import annotations

import fcntl
import sys
import termios
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def bytes_in_kernel(transport: asyncio.Transport) -> int:
    """Return how many bytes the socket holds; 0 if the system does not tell.

    A transport can write to a socket only when a third of its buffer is free: the
    transport's own buffer then stays as it is for seconds while the peer reads.
    """
    found = transport.get_extra_info("socket")
    if found is None:
        return 0
    try:
        held = fcntl.ioctl(found.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return 0
    return int.from_bytes(held, sys.byteorder)


__all__ = ["bytes_in_kernel"]
