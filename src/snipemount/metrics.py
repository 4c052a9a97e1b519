"""Counters and timings of answers, sent to statsd."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from .model.answer import Answer
    from .model.request import Request
    from .settings import StatsdSettings


class AnswerMetrics(ABC):
    """Receives each answer and counts it."""

    @abstractmethod
    def record_answer(self, request: Request, answer: Answer) -> None:
        """Count an answer by its result code and record its latency."""


class NoAnswerMetrics(AnswerMetrics):
    """Discards all metrics."""

    def record_answer(self, request: Request, answer: Answer) -> None:
        """Do nothing."""


class StatsdMetrics(AnswerMetrics):
    """Sends each metric to a statsd server in a UDP datagram.

    Parameters
    ----------
    settings : StatsdSettings
        Address of the statsd server and prefix of the metric names.
    """

    def __init__(self, settings: StatsdSettings) -> None:
        self._client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )

    def record_answer(self, request: Request, answer: Answer) -> None:
        """Send result code and latency, named by service and priority class."""
        base = f"{request.service}.{request.priority.name.lower()}"
        self._client.incr(f"{base}.{answer.code.name.lower()}")
        self._client.timing(f"{base}.elapsed", answer.elapsed_ms)


def make_metrics(settings: StatsdSettings) -> AnswerMetrics:
    """Return statsd metrics when the settings name a host, else no metrics."""
    return StatsdMetrics(settings) if settings.host else NoAnswerMetrics()


__all__ = ["AnswerMetrics", "NoAnswerMetrics", "StatsdMetrics", "make_metrics"]
