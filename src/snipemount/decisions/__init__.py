"""Pure decisions: typed events and times in, typed actions out."""

from __future__ import annotations

__all__: list[str] = []
