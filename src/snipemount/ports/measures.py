"""Interface to the metrics of the serving path."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Measures(ABC):
    """Records counters and latencies of the serving path."""

    @abstractmethod
    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Count a request by its result and record its latency."""

    @abstractmethod
    def leg(self, zone: str, result: str, took_ms: float) -> None:
        """Count an attempt by its result and record its latency."""

    @abstractmethod
    def second_send(self, cause: str, granted: bool) -> None:
        """Count a request for an extra attempt, and whether the budget granted it."""

    @abstractmethod
    def store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store by its result."""


class NoMeasures(Measures):
    """Discards all metrics."""

    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Do nothing."""

    def leg(self, zone: str, result: str, took_ms: float) -> None:
        """Do nothing."""

    def second_send(self, cause: str, granted: bool) -> None:
        """Do nothing."""

    def store_call(self, call: str, result: str) -> None:
        """Do nothing."""


__all__ = ["Measures", "NoMeasures"]
