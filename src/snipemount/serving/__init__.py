"""Requests passed on to leafs: all shards of a query, or one leaf."""

from __future__ import annotations

__all__: list[str] = []
