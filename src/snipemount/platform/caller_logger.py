"""Logger of the caller interface, without malformed requests."""

from __future__ import annotations

import logging

from aiohttp.http_exceptions import HttpProcessingError


def _is_fault(record: logging.LogRecord) -> bool:
    """Return whether a record tells of a fault of the program.

    The message of a parser's error quotes the line that it could not read, which may
    hold an API key, and any caller can cause as many of them as it likes.
    """
    error = record.exc_info[1] if record.exc_info else None
    return not isinstance(error, HttpProcessingError)


CALLER_LOGGER = logging.getLogger("snipemount.callers")
CALLER_LOGGER.addFilter(_is_fault)

__all__ = ["CALLER_LOGGER"]
