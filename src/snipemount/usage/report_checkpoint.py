"""Checkpoint of the usage report, which is kept with the lease of the duty."""

from __future__ import annotations

from typing import Any

import attrs

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from ..model.usage import checked_count, checked_name, checked_window


@attrs.frozen
class ReportCheckpoint:
    """The report that is being sent, or was sent last.

    Parameters
    ----------
    window : int
        Number of the window.
    counts : dict of str to int
        Requests by organisation; every send of this window states exactly these.
    sent : bool
        Whether the report was taken.
    """

    window: int
    counts: dict[str, int]
    sent: bool = False


def encode_checkpoint(checkpoint: ReportCheckpoint) -> dict[str, Any]:
    """Return the document of a checkpoint."""
    return {
        "window": checkpoint.window,
        "counts": dict(checkpoint.counts),
        "sent": checkpoint.sent,
    }


def decode_checkpoint(document: Any) -> ReportCheckpoint | None:
    """Return the checkpoint of a document; None if it is empty.

    Raises
    ------
    DecodeError
        When a field is missing or malformed.
    """
    if not document:
        return None
    try:
        sent = document["sent"]
        if not isinstance(sent, bool):
            raise TypeError(f"sent: {sent!r} is not a boolean")
        counts = {
            checked_name(name): checked_count(number)
            for name, number in document["counts"].items()
        }
        return ReportCheckpoint(checked_window(document["window"]), counts, sent)
    except MALFORMED_INPUT_ERRORS as error:
        raise DecodeError(f"checkpoint: {error!r}"[:200]) from error


__all__ = ["ReportCheckpoint", "decode_checkpoint", "encode_checkpoint"]
