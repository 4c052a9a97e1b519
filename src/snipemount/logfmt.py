"""Parser for log lines in logfmt: key=value pairs."""

from __future__ import annotations

import re

KEY_VALUE_PATTERN = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line: str) -> dict[str, str]:
    """Return the key=value pairs of a line without the quotes around values.

    Text that is not part of a pair is ignored.
    """
    return {key: value.strip('"') for key, value in KEY_VALUE_PATTERN.findall(line)}


__all__ = ["parse_line"]
