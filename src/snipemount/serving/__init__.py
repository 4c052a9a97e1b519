"""Forwarding of requests: to all shards of a query, or to one leaf of a service."""

from __future__ import annotations

__all__: list[str] = []
