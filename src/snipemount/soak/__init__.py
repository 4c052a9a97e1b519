"""Randomized soak of real daemon processes with faults from outside them."""

from __future__ import annotations

__all__: list[str] = []
