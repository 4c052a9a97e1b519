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


def parse_notice(headers: Mapping[str, str]) -> LeafNotice:
    """Return what the leaf states in the headers of a response."""
    limit = _parse_limit(headers.get(names.LEAF_LIMIT))
    leaving = headers.get(names.LEAF_LEAVING, "").strip() == LEAVING
    if isinstance(limit, NoLimit) and not leaving:
        return SILENT_NOTICE
    return LeafNotice(limit, leaving)


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
