"""Narrow interfaces between the decisions and the outside."""

from __future__ import annotations

__all__: list[str] = []
