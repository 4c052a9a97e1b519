"""Clients, servers and codecs that connect the daemon to the network."""

from __future__ import annotations

__all__: list[str] = []
