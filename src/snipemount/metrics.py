"""Counters and timings sent to statsd."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from .model.answer import Answer
    from .model.request import Request
    from .settings import StatsdSettings


class Metrics(ABC):
    """Sink of the figures of each answer."""

    @abstractmethod
    def answered(self, request: Request, answer: Answer) -> None:
        """Count an answer and its time."""


class NoMetrics(Metrics):
    """Drops everything."""

    def answered(self, request: Request, answer: Answer) -> None:
        """Drop the answer."""


class StatsdMetrics(Metrics):
    """Sends each figure as a datagram.

    Parameters
    ----------
    settings : StatsdSettings
        Where to.
    """

    def __init__(self, settings: StatsdSettings) -> None:
        self._client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )

    def answered(self, request: Request, answer: Answer) -> None:
        """Send the answer's code and time under its service and class."""
        base = f"{request.service}.{request.priority.name.lower()}"
        self._client.incr(f"{base}.{answer.code.name.lower()}")
        self._client.timing(f"{base}.elapsed", answer.elapsed_ms)


def make_metrics(settings: StatsdSettings) -> Metrics:
    """Return the sink that the settings ask for."""
    return StatsdMetrics(settings) if settings.host else NoMetrics()


__all__ = ["Metrics", "NoMetrics", "StatsdMetrics", "make_metrics"]
