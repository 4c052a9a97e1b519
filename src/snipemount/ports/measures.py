"""Port to the figures that operators read."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Measures(ABC):
    """Sink of counters, latencies and states of the serving path."""

    @abstractmethod
    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Count a request's outcome and its time."""

    @abstractmethod
    def leg(self, zone: str, result: str, took_ms: float) -> None:
        """Count what came of one send to a leaf of a zone."""

    @abstractmethod
    def second_send(self, cause: str, granted: bool) -> None:
        """Count a wish for a second send, and whether the budget granted it."""

    @abstractmethod
    def store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store."""


class NoMeasures(Measures):
    """Drops everything."""

    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Drop it."""

    def leg(self, zone: str, result: str, took_ms: float) -> None:
        """Drop it."""

    def second_send(self, cause: str, granted: bool) -> None:
        """Drop it."""

    def store_call(self, call: str, result: str) -> None:
        """Drop it."""


__all__ = ["Measures", "NoMeasures"]
