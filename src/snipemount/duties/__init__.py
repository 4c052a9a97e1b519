"""Duties that one daemon at a time performs for the whole fleet."""

from __future__ import annotations

__all__: list[str] = []
