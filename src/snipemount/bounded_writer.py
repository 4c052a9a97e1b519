"""A non-blocking text stream for logs, with a bounded buffer."""

from __future__ import annotations

import os
from collections import deque

MAX_BUFFERED_BYTES = 262_144


class BoundedWriter:
    """Writes whole lines to a descriptor and drops them while its buffer is full.

    A reader that stalls therefore neither blocks the process nor makes its memory
    grow.

    Parameters
    ----------
    descriptor : int
        File descriptor that is open for writing. It is switched to non-blocking
        mode.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0

    def write(self, text: str) -> int:
        """Buffer one line, or drop and count it if the buffer has no room for it."""
        line = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return len(text)
        self._lines.append(line)
        self._buffered_bytes += len(line)
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking.

        A write error other than "would block" drops and counts all buffered lines.
        """
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
        """Return the number of lines dropped since the last call and reset it."""
        dropped, self._dropped = self._dropped, 0
        return dropped


__all__ = ["BoundedWriter"]
