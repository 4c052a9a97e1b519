"""Check of numbers that come from other processes."""

from __future__ import annotations

import math
from typing import Any


def finite_number(value: Any) -> float:
    """Return a number as a float.

    Raises
    ------
    OverflowError, TypeError, ValueError
        When it is no number, infinite, or too large.
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not a finite number")
    return number


__all__ = ["finite_number"]
