"""Bounds on what all callers of a process may use together."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

import attrs

from ..memory.unfinished_requests import ProgressTimeouts

if TYPE_CHECKING:
    from .node_file import ProcessLimits

BYTES_PER_MB = 2**20
DEFAULT_BYTES = 32 * BYTES_PER_MB
# An eighth for unfinished requests costs up to two in fact: a complete body is copied
# to the leaf's connection. Another eighth is for connections themselves. The process
# takes 50 MB, a quarter of the smallest VM, so all stay within two thirds of it.
MEMORY_SHARE = 1 / 8
CONNECTION_BYTES = 20_000  # resident for each open connection
FILE_DESCRIPTORS = 200  # that the platform keeps for files
DESCRIPTOR_SHARE = 0.5  # the rest is for connections to leafs and daemons
MIN_CONNECTIONS = 16
MAX_DESCRIPTORS = 65_536


@attrs.frozen
class CallerBounds:
    """Bounds for one process.

    Parameters
    ----------
    unfinished_bytes : int
        Bytes that unfinished requests and unread responses may hold.
    max_connections : int
        Connections of callers.
    timeouts : ProgressTimeouts
        Bounds on slow callers.
    """

    unfinished_bytes: int = DEFAULT_BYTES
    max_connections: int = MAX_DESCRIPTORS
    timeouts: ProgressTimeouts = ProgressTimeouts()

    @classmethod
    def for_process(
        cls, limits: ProcessLimits, timeouts: ProgressTimeouts
    ) -> CallerBounds:
        """Return the bounds that follow from the limits on the process."""
        descriptors = limits.max_descriptors or _own_descriptors()
        connections = int((descriptors - FILE_DESCRIPTORS) * DESCRIPTOR_SHARE)
        share = int(limits.memory_mb * BYTES_PER_MB * MEMORY_SHARE)
        if share:
            connections = min(connections, share // CONNECTION_BYTES)
        return cls(share or DEFAULT_BYTES, max(MIN_CONNECTIONS, connections), timeouts)


def _own_descriptors() -> int:
    """Return how many descriptors the system allows the process."""
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_limited = 0 < allowed < MAX_DESCRIPTORS
    return allowed if is_limited else MAX_DESCRIPTORS


__all__ = ["CallerBounds"]
