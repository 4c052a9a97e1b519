"""Drivers that feed the decisions of one daemon and carry out their actions."""

from __future__ import annotations

__all__: list[str] = []
