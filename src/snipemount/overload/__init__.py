"""Overload of services: which requests start, wait or are refused."""

from __future__ import annotations

__all__: list[str] = []
