"""Interfaces to backend servers, leafs, other daemons, the platform and metrics."""

from __future__ import annotations

__all__: list[str] = []
