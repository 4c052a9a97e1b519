"""Decoder for what leafs state about themselves in the headers of a response."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ..model.leaf_notice import (
    SILENT_NOTICE,
    LeafNotice,
    NoLimit,
    RequestLimit,
    StatedLimit,
    UnreadableLimit,
)
from . import headers as names

if TYPE_CHECKING:
    from collections.abc import Mapping

LEAVING = "1"
BUSY_STATUS = 503
MS_PER_S = 1000.0
MAX_REST_MS = 3_600_000.0  # a leaf that states more may be asked again after an hour


def parse_notice(status: int, headers: Mapping[str, str]) -> LeafNotice:
    """Return what the leaf states in the status and headers of a response."""
    limit = _parse_limit(headers.get(names.LEAF_LIMIT))
    leaving = headers.get(names.LEAF_LEAVING, "").strip() == LEAVING
    rest_ms = 0.0
    if status == BUSY_STATUS:
        rest_ms = _parse_rest_ms(headers.get(names.RETRY_AFTER, ""))
    if isinstance(limit, NoLimit) and not leaving and rest_ms == 0.0:
        return SILENT_NOTICE
    return LeafNotice(limit, leaving, rest_ms)


def _parse_rest_ms(text: str) -> float:
    """Return the time of a Retry-After header; 0 if it is no time in seconds."""
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    if not 0.0 <= seconds < math.inf:
        return 0.0
    return min(MAX_REST_MS, seconds * MS_PER_S)


def _parse_limit(text: str | None) -> StatedLimit:
    if text is None:
        return NoLimit()
    try:
        per_s = float(text)
    except ValueError:
        return UnreadableLimit()
    if not 0.0 <= per_s < math.inf:
        return UnreadableLimit()
    return RequestLimit(per_s)


__all__ = ["parse_notice"]
