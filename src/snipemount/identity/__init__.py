"""Organisations' keys: which organisation a request belongs to."""

from __future__ import annotations

__all__: list[str] = []
