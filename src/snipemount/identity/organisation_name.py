"""Check of organisations' names."""

from __future__ import annotations


def is_organisation_name(name: str) -> bool:
    """Return whether a header can carry a name unchanged."""
    return name.isascii() and name.isprintable() and bool(name) and name == name.strip()


__all__ = ["is_organisation_name"]
