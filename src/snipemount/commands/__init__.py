"""Subcommands that start processes or change the state of a deployment."""

from __future__ import annotations

__all__: list[str] = []
