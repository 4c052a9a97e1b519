"""Drivers that pass events to a daemon's decision logic and execute its actions."""

from __future__ import annotations

__all__: list[str] = []
