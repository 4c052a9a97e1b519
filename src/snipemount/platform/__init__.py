"""Clients and codecs for the protocols of the operators' platform.

The modules translate wire fields, settings keys and HTTP headers to and from the
types of `snipemount.model`; they make no routing decisions.
"""

from __future__ import annotations

__all__: list[str] = []
