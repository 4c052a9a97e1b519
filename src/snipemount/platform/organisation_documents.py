"""Decoder for the organisations in a configuration.

A message names the field and, unless it may be a key, the value. Keys are never shown.
"""

from __future__ import annotations

from typing import Any

from ..identity.organisation_name import is_organisation_name
from ..model.identity import Organisation

FIELD = "tenants"
MAX_SHOWN_CHARACTERS = 60
MAX_PRIORITY = 2**53


def decode_organisations(value: Any) -> tuple[Organisation, ...] | None:
    """Return the organisations of a configuration; None if it has no such field.

    Parameters
    ----------
    value : object
        Value of the field; an empty list means that no organisation has access.

    Raises
    ------
    TypeError, ValueError
        When any organisation is malformed, or two have a name or a key in common.
    """
    if value is None:
        return None
    if not isinstance(value, list):
        raise TypeError(f"{FIELD}: a value of type {_type(value)} is not a list")
    organisations: list[Organisation] = []
    holders: dict[str, str] = {}
    names: set[str] = set()
    for position, item in enumerate(value):
        field = f"{FIELD}[{position}]"
        if not isinstance(item, dict):
            raise TypeError(f"{field}: a value of type {_type(item)} is not an object")
        name = _name(f"{field}.name", item.get("name"))
        if name in names:
            raise ValueError(f"{field}.name: {name!r} is the name of an earlier one")
        names.add(name)
        api_keys = _keys(f"{field}.api_keys", item.get("api_keys"), name, holders)
        priority = _priority(f"{field}.priority", item.get("priority"))
        organisations.append(Organisation(name, api_keys, priority))
    return tuple(organisations)


def _name(field: str, value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{field}: a value of type {_type(value)} is not a string")
    if not is_organisation_name(value):
        shown = repr(value[:MAX_SHOWN_CHARACTERS])
        raise ValueError(f"{field}: {shown} is empty, or no header can carry it")
    return value


def _keys(field: str, value: Any, name: str, holders: dict[str, str]) -> frozenset[str]:
    """Return the keys of an organisation, and add them to `holders`."""
    if value is None:  # writers may omit a list that is empty
        return frozenset()
    if not isinstance(value, list):
        raise TypeError(f"{field}: a value of type {_type(value)} is not a list")
    for position, key in enumerate(value):
        place = f"{field}[{position}]"
        if not isinstance(key, str):
            raise TypeError(f"{place}: a value of type {_type(key)} is not a string")
        if not key:
            raise ValueError(f"{place}: '' is empty")
        holder = holders.setdefault(key, name)
        if holder != name:
            raise ValueError(f"{place}: the key is held by {holder!r} too")
    return frozenset(value)


def _priority(field: str, value: Any) -> int | None:
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{field}: a value of type {_type(value)} is not an integer")
    if not 0 <= value <= MAX_PRIORITY:
        raise ValueError(f"{field}: {_shown_integer(value)} is out of range")
    return value


def _shown_integer(value: int) -> str:
    # The text of a very long integer takes long to make, and Python refuses it.
    return str(value) if abs(value) <= MAX_PRIORITY else f"{value.bit_length()} bits"


def _type(value: Any) -> str:
    return "null" if value is None else type(value).__name__


__all__ = ["decode_organisations"]
