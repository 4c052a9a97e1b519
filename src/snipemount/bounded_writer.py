"""A text stream for logs that never blocks and never grows without bound."""

from __future__ import annotations

import os
from collections import deque

MOST_BUFFERED_BYTES = 262_144


class BoundedWriter:
    """Writes whole lines to a descriptor; what the reader does not take is dropped.

    Parameters
    ----------
    descriptor : int
        Open for writing; it is switched to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0

    def write(self, text: str) -> int:
        """Take one line; it is dropped when too much waits already."""
        line = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(line) > MOST_BUFFERED_BYTES:
            self._dropped += 1
            return len(text)
        self._lines.append(line)
        self._buffered_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self._lines:
            line = self._lines[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._dropped += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._lines[0] = line[written:]
                return
            self._lines.popleft()

    def take_dropped(self) -> int:
        """Return how many lines were dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped


__all__ = ["BoundedWriter"]
