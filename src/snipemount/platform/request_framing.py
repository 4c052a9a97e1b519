"""Framing of a request: where its head and its chunked body end."""

from __future__ import annotations

SLICE_BYTES = 4096
LINE_ENDS = b"\r\n"
EMPTY_LINE = b"\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_OVERLAP = len(EMPTY_LINE) - 1


def head_end(data: bytes, scanned: int) -> int:
    """Return where the head ends, or 0; one with bare line feeds ends as well.

    The first `scanned` bytes are known to contain no end.
    """
    start = max(0, scanned - MAX_OVERLAP)
    found = data.find(EMPTY_LINE, start)
    if found >= 0:
        return found + len(EMPTY_LINE)
    found = data.find(b"\n\n", start)
    return 0 if found < 0 else found + 2


class ChunkedBody:
    """Collects the data of the chunks, and counts what comes between them.

    Attributes
    ----------
    data : bytearray
        Data of the chunks so far.
    framing_bytes : int
        Bytes received since the last byte of data.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.framing_bytes = 0
        self._last = b""

    def slice_length(self, received: bytes) -> int:
        """Return how much to parse next: never beyond the end of the body.

        A body always ends with an empty line, so a slice ends after each.
        """
        data = self._last + received[:SLICE_BYTES]
        found = data.find(EMPTY_LINE)
        end = len(data) if found < 0 else found + len(EMPTY_LINE)
        length = end - len(self._last)
        self._last = data[max(0, end - MAX_OVERLAP) : end]
        return length

    def add(self, data: bytes, slice_bytes: int) -> None:
        """Add the data that was found in a slice."""
        self.data += data
        self.framing_bytes = 0 if data else self.framing_bytes + slice_bytes


__all__ = ["CONTINUE", "LINE_ENDS", "ChunkedBody", "head_end"]
