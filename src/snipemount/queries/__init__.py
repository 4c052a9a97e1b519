"""Subcommands that only show something."""

from __future__ import annotations

__all__: list[str] = []
