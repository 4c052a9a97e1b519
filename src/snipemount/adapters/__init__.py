"""Adapters between the ports and the wire."""

from __future__ import annotations

__all__: list[str] = []
