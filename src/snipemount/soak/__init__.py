"""Randomized soak test of daemon processes with injected external faults."""

from __future__ import annotations

__all__: list[str] = []
