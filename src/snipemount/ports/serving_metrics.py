"""Interface to the metrics of the serving path."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..model.query_stages import QueryStages


class ServingMetrics(ABC):
    """Records counters and latencies of the serving path."""

    @abstractmethod
    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Count a request by its result and record its latency."""

    @abstractmethod
    def attempt(self, zone: str, result: str, took_ms: float) -> None:
        """Count an attempt by its result and record its latency."""

    @abstractmethod
    def extra_attempt(self, cause: str, granted: bool) -> None:
        """Count a request for an extra attempt, and whether the budget granted it."""

    @abstractmethod
    def limited_attempt(self, extra: bool) -> None:
        """Count an attempt at a leaf that states a limit, an extra one or not."""

    @abstractmethod
    def store_call(self, call: str, result: str) -> None:
        """Count a call to the platform's store by its result."""

    @abstractmethod
    def unreadable_entries(self, kind: str, count: int) -> None:
        """Count entries of the store without a name that can be read."""

    @abstractmethod
    def delegation(self, result: str) -> None:
        """Count a query that was given to a coordinator, by what became of it."""

    @abstractmethod
    def admission(self, decision: str, rank: str) -> None:
        """Count a request that was queued or refused in an overload, by its rank."""

    @abstractmethod
    def lost_connection(self, cause: str) -> None:
        """Count requests whose connection a leaf ended, by what a probe has shown."""

    @abstractmethod
    def quarantine(self, event: str) -> None:
        """Count what happened to requests that crash leafs."""

    @abstractmethod
    def query_stages(self, stages: QueryStages) -> None:
        """Record how long the stages of a query over all shards took."""


class NoServingMetrics(ServingMetrics):
    """Discards all metrics."""

    def request(self, route: str, result: str, elapsed_ms: float) -> None:
        """Do nothing."""

    def attempt(self, zone: str, result: str, took_ms: float) -> None:
        """Do nothing."""

    def extra_attempt(self, cause: str, granted: bool) -> None:
        """Do nothing."""

    def limited_attempt(self, extra: bool) -> None:
        """Do nothing."""

    def store_call(self, call: str, result: str) -> None:
        """Do nothing."""

    def unreadable_entries(self, kind: str, count: int) -> None:
        """Do nothing."""

    def delegation(self, result: str) -> None:
        """Do nothing."""

    def admission(self, decision: str, rank: str) -> None:
        """Do nothing."""

    def lost_connection(self, cause: str) -> None:
        """Do nothing."""

    def quarantine(self, event: str) -> None:
        """Do nothing."""

    def query_stages(self, stages: QueryStages) -> None:
        """Do nothing."""


__all__ = ["NoServingMetrics", "ServingMetrics"]
