"""Checks of the counts of requests that come from other processes and the store."""

from __future__ import annotations

from typing import Any

MAX_NAME_LENGTH = 256
MAX_ORGANISATIONS = 2000  # of one process in one window, and of a stored object
MAX_NUMBER = 2**53  # whole numbers up to it are exact in any JSON decoder


def checked_name(value: Any) -> str:
    """Return the name of a daemon, process or organisation.

    Raises
    ------
    TypeError, ValueError
        When it is not a string, empty or too long.
    """
    if not isinstance(value, str):
        raise TypeError(f"name {value!r} is not a string")
    if not 0 < len(value) <= MAX_NAME_LENGTH:
        raise ValueError(f"a name of {len(value)} characters")
    return value


def checked_count(value: Any) -> int:
    """Return a number of requests.

    Raises
    ------
    TypeError, ValueError
        When it is not a whole number, negative or too large.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"count {value!r} is not a whole number")
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"count {value} is not between 0 and {MAX_NUMBER}")
    return value


def checked_window(value: Any) -> int:
    """Return the number of a window.

    Raises
    ------
    TypeError, ValueError
        When it is not a whole number, negative or too large.
    """
    return checked_count(value)


__all__ = ["MAX_ORGANISATIONS", "checked_count", "checked_name", "checked_window"]
