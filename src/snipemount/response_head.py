"""What a valid head of an HTTP/1 response is, by RFC 9110 and RFC 9112."""

from __future__ import annotations

import re

from .errors import MalformedResponseError

TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
# No change of protocol (101) is asked for. Many servers leave out the space before an
# empty reason phrase.
STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] (?!101)([1-5][0-9]{2})(?: " + TEXT + rb")?\r\n"
)
FIELD_LINES = re.compile(rb"(?:" + TOKEN + rb":" + TEXT + rb"\r\n)*+(\r\n)?")
FRAMING_FIELD = re.compile(rb"\n((?i:content-length|transfer-encoding):[^\r]*+)")
# No transfer coding but `chunked` is asked for.
FRAMING = re.compile(
    rb"(?i:content-length:[\t ]*[0-9]+|transfer-encoding:[\t ]*chunked)[\t ]*"
)
MAX_QUOTED_BYTES = 60


class ResponseHead:
    """Checks the head of one response while its bytes arrive.

    Attributes
    ----------
    status : int
        Status code; 0 before the status line is complete.
    is_complete : bool
        Whether the empty line that ends the head was received.
    """

    def __init__(self) -> None:
        # Not checked yet; begins with the line feed that ended the last checked line.
        self._rest = b""
        self._framing: list[bytes] = []
        self.status = 0
        self.is_complete = False

    @property
    def is_interim(self) -> bool:
        """Whether the head of another response follows at once."""
        return 100 <= self.status < 200

    def feed(self, data: bytes) -> int:
        """Check bytes; return how many of them belong to the head.

        Raises
        ------
        MalformedResponseError
            As soon as a line is not valid.
        """
        if b"\n" not in data:
            self._rest += data
            return len(data)
        received = self._rest + data
        start = 1 if self.status else self._read_status_line(received)
        lines = FIELD_LINES.match(received, start)
        assert lines is not None  # it also matches no line
        end = lines.end()
        self._check_framing(FRAMING_FIELD.findall(received, start - 1, end))
        if lines[1]:
            self.is_complete = True
            return end - len(self._rest)
        if b"\n" in received[end:]:
            raise MalformedResponseError(f"no field line: {_quote(received, end)}")
        self._rest = received[end - 1 :]
        return len(data)

    def _read_status_line(self, received: bytes) -> int:
        """Return where the status line ends."""
        line = STATUS_LINE.match(received)
        if line is None:
            raise MalformedResponseError(f"no status line: {_quote(received, 0)}")
        self.status = int(line[1])
        return line.end()

    def _check_framing(self, fields: list[bytes]) -> None:
        """Check that the head states at most once, and clearly, how its body ends."""
        self._framing += fields
        if len(self._framing) > 1 or not all(map(FRAMING.fullmatch, self._framing)):
            raise MalformedResponseError(f"unclear length: {self._framing[:2]!r}")


def _quote(received: bytes, start: int) -> str:
    return repr(received[start : start + MAX_QUOTED_BYTES])


__all__ = ["ResponseHead"]
