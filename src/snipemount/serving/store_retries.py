"""Retries of calls to the store, by one kind of object at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.platform import Kind


MAX_BACKOFF_MS = 700.0
# While other daemons of the zone retry too, which tell this one when they succeed.
MIN_SHARED_BACKOFF_MS = 1000.0
MAX_SHARED_BACKOFF_MS = 2000.0


class StoreRetries:
    """Lets one kind call the store while it is in doubt; the others wait.

    The store charges for each call, also for those that it refuses.

    Attributes
    ----------
    in_doubt : bool
        Whether the store may not answer: a call has failed, or the daemon that was
        followed has been lost.
    others_retry : bool
        Whether other daemons of the zone retry too; then this one does so less often.
    """

    def __init__(self) -> None:
        self._retrying: Kind | None = None
        self._waiting: dict[Kind, Callable[[], None]] = {}
        self.in_doubt = False
        self.others_retry = False

    @property
    def min_backoff_ms(self) -> float:
        """Shortest time between two retries."""
        return MIN_SHARED_BACKOFF_MS if self.others_retry else 0.0

    @property
    def max_backoff_ms(self) -> float:
        """Longest time between two retries."""
        return MAX_SHARED_BACKOFF_MS if self.others_retry else MAX_BACKOFF_MS

    def may_call(self, kind: Kind) -> bool:
        """Return whether a kind calls the store while it is in doubt, or else waits."""
        self.in_doubt = True
        if self._retrying is None:
            self._retrying = kind
        return self._retrying is kind

    def wait(self, kind: Kind, retry: Callable[[], None]) -> None:
        """Call `retry` once the store has answered the kind that calls it."""
        self._waiting[kind] = retry

    def answered(self) -> None:
        """Record an answer of the store; the kinds that wait call it at once."""
        self.in_doubt = False
        self._retrying = None
        self._wake()

    def leave(self, kind: Kind) -> None:
        """Record that a kind no longer calls the store."""
        self._waiting.pop(kind, None)
        if self._retrying is kind:
            self._retrying = None
            self._wake()

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, {}
        for retry in waiting.values():
            retry()


__all__ = ["StoreRetries"]
