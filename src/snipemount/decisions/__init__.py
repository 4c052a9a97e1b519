"""Decision logic without input or output.

Takes typed events and the current time, returns typed actions.
"""

from __future__ import annotations

__all__: list[str] = []
