"""A query tier between callers and a large fleet of sharded backend servers."""

from __future__ import annotations

__version__ = "0.1.0"

__all__ = ["__version__"]
