"""Structured logging: one line of key=value pairs (logfmt) for each event."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, TextIO, cast

import structlog

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from .bounded_writer import BoundedWriter


def make_logger(
    level: str, daemon: str, stream: TextIO | BoundedWriter = sys.stderr
) -> FilteringBoundLogger:
    """Return a logger that adds the time and the daemon's name to each event.

    Parameters
    ----------
    level : str
        Name of the lowest level that is logged, in lower case.
    daemon : str
        Name of the daemon.
    stream : TextIO or BoundedWriter
        Receives the lines.
    """
    wrapper = structlog.make_filtering_bound_logger(
        logging.getLevelNamesMapping()[level.upper()]
    )
    logger = structlog.wrap_logger(
        structlog.WriteLogger(cast("TextIO", stream)),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True, key="time"),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["time", "level", "event", "daemon"]
            ),
        ],
        wrapper_class=wrapper,
    )
    bound: FilteringBoundLogger = logger.bind(daemon=daemon)
    return bound


__all__ = ["make_logger"]
