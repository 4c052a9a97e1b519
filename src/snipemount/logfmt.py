"""Reading of log lines made of key=value pairs."""

from __future__ import annotations

import re

PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line: str) -> dict[str, str]:
    """Return the pairs in a line; what stands before them is left out."""
    return {key: value.strip('"') for key, value in PAIR.findall(line)}


__all__ = ["parse_line"]
