"""Findings of the check of a configuration, and differences between two."""

from __future__ import annotations

import attrs

# Attributes of the model, and positions or names of list items, from the outside in:
# ("routes", 3, "timeout_ms").
Place = tuple[str | int, ...]
# As decoded: of any type where the decoder does not check it.
Value = object


@attrs.frozen
class Unreadable:
    """Error: a file cannot be read or decoded.

    Parameters
    ----------
    file : str
        Path of the file.
    reason : str
        Reason, with place and value if they are known.
    """

    file: str
    reason: str


@attrs.frozen
class Invalid:
    """Error: no request can be served as the value states."""

    place: Place
    value: Value
    reason: str


@attrs.frozen
class NeverMatches:
    """Warning: the entry can never match, or names a service that is not listed."""

    place: Place
    value: Value
    reason: str


@attrs.frozen
class Contradiction:
    """Warning: two values cannot both have their effect."""

    place: Place
    value: Value
    reason: str


Finding = Unreadable | Invalid | NeverMatches | Contradiction


@attrs.frozen
class Added:
    """Difference: only the newer configuration has the entry."""

    place: Place


@attrs.frozen
class Removed:
    """Difference: only the older configuration has the entry."""

    place: Place


@attrs.frozen
class Changed:
    """Difference: both configurations have the value, and it differs."""

    place: Place
    before: Value
    after: Value


@attrs.frozen
class MembersChanged:
    """Difference: a set has other members, of which only the numbers are stated."""

    place: Place
    before: int
    after: int
    added: int
    removed: int


Difference = Added | Removed | Changed | MembersChanged

__all__ = [
    "Added",
    "Changed",
    "Contradiction",
    "Difference",
    "Finding",
    "Invalid",
    "MembersChanged",
    "NeverMatches",
    "Place",
    "Removed",
    "Unreadable",
    "Value",
]
