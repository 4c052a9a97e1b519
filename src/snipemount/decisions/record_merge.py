"""Merge of fixed-size records, greatest first."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def records_of(body: bytes) -> list[bytes]:
    """Return the whole records of a part; a shorter remainder is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def greatest_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all parts, greatest first."""
    everything = (record for part in parts for record in records_of(part))
    return b"".join(heapq.nlargest(top_k, everything))


__all__ = ["RECORD_BYTES", "greatest_records", "records_of"]
