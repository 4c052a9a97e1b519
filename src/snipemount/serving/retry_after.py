"""Bounds on the time after which a refused caller is asked to come back."""

RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 60_000.0

__all__ = ["MAX_RETRY_AFTER_MS", "RETRY_AFTER_MS"]
