"""Subcommands that only read: measurements, status, logs, traces and reference."""

from __future__ import annotations

__all__: list[str] = []
