"""Focused experiments in virtual time, with small fakes at the ports."""

from __future__ import annotations

__all__: list[str] = []
