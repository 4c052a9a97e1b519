"""Stand-ins for the backend servers, the leafs and the platform."""

from __future__ import annotations

__all__: list[str] = []
