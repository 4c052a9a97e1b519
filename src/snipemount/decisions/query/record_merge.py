"""Merge of fixed-size records in descending byte order."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

RECORD_BYTES = 16


def records_of(body: bytes) -> list[bytes]:
    """Split a part into its records; an incomplete last record is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def greatest_records(parts: Iterable[bytes], top_k: int) -> bytes:
    """Return the `top_k` greatest records of all parts, in descending byte order."""
    records = (record for part in parts for record in records_of(part))
    return b"".join(heapq.nlargest(top_k, records))


__all__ = ["RECORD_BYTES", "greatest_records", "records_of"]
