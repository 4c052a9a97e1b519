"""Token bucket: permissions that time adds at a rate, up to a capacity."""

from __future__ import annotations

import math


class TokenBucket:
    """Tokens of one daemon; the bucket is empty at the start.

    Parameters
    ----------
    capacity : float
        Most tokens that it holds; below one nothing can be spent.
    per_ms : float
        Tokens that time adds per millisecond.
    now_ms : float
        Current time.
    """

    def __init__(self, capacity: float, per_ms: float, now_ms: float) -> None:
        self._capacity = capacity
        self._per_ms = per_ms
        self._tokens = 0.0
        self._refilled_ms = now_ms

    def resize(self, capacity: float, per_ms: float, now_ms: float) -> None:
        """Replace capacity and rate; tokens beyond the new capacity are lost."""
        self._refill(now_ms)
        self._capacity = capacity
        self._per_ms = per_ms
        self._tokens = min(self._tokens, capacity)

    def add(self, tokens: float) -> None:
        """Add tokens, up to the capacity."""
        self._tokens = min(self._capacity, self._tokens + tokens)

    def available(self, now_ms: float) -> float:
        """Return the tokens that may be spent."""
        self._refill(now_ms)
        return self._tokens

    def spend(self, tokens: float) -> None:
        """Remove tokens; the caller has checked that they are available."""
        self._tokens -= tokens

    def ms_until(self, tokens: float, now_ms: float) -> float:
        """Return the time until so many tokens are available; inf if they never are."""
        missing = tokens - self.available(now_ms)
        if missing <= 0.0:
            return 0.0
        if tokens > self._capacity or self._per_ms <= 0.0:
            return math.inf
        return missing / self._per_ms

    def _refill(self, now_ms: float) -> None:
        added = self._per_ms * max(0.0, now_ms - self._refilled_ms)
        self._refilled_ms = now_ms
        self._tokens = min(self._capacity, self._tokens + added)


__all__ = ["TokenBucket"]
