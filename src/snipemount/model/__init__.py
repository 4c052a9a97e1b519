"""Data classes that the packages of the daemon share."""

from __future__ import annotations

__all__: list[str] = []
