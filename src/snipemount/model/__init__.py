"""Typed data that the parts of the system pass to one another."""

from __future__ import annotations

__all__: list[str] = []
