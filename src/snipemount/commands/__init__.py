"""Subcommands that run or change something."""

from __future__ import annotations

__all__: list[str] = []
