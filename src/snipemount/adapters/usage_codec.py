"""JSON codec for the counts that a follower reports to its relay.

They are sent in text frames, which builds that don't know them ignore; a binary frame
that such a build cannot decode would make it disconnect the follower.
"""

from __future__ import annotations

import json
from typing import Any

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from ..model.relay import RelayUsage
from ..model.usage import (
    MAX_ORGANISATIONS,
    checked_count,
    checked_name,
    checked_window,
)

USAGE = "usage"  # first field; text frames of later builds may be others


def encode_usage(usage: RelayUsage) -> str:
    """Encode the counts as a text frame."""
    fields = [USAGE, usage.daemon, usage.run, usage.window, usage.closed, usage.counts]
    return json.dumps(fields, separators=(",", ":"))


def decode_usage(frame: str) -> RelayUsage:
    """Decode the counts in a text frame.

    Raises
    ------
    DecodeError
        When the frame is not JSON, or does not contain valid counts.
    """
    try:
        return _decode(json.loads(frame))
    except MALFORMED_INPUT_ERRORS as error:
        raise DecodeError(f"usage: {error!r}"[:200]) from error


def _decode(document: Any) -> RelayUsage:
    kind, daemon, run, window, closed, counts = document
    if kind != USAGE:
        raise ValueError(f"kind {kind!r} is not known")
    if not isinstance(closed, bool):
        raise TypeError(f"closed: {closed!r} is not a boolean")
    if len(counts) > MAX_ORGANISATIONS:
        raise ValueError(f"{len(counts)} counts are more than {MAX_ORGANISATIONS}")
    return RelayUsage(
        checked_name(daemon),
        checked_name(run),
        checked_window(window),
        closed,
        tuple((checked_name(name), checked_count(number)) for name, number in counts),
    )


__all__ = ["decode_usage", "encode_usage"]
