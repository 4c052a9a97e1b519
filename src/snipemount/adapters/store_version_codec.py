"""Store versions in the messages between daemons.

An era is written only where it is not implied: a listing states it once for all of its
objects, and builds that know no eras read what has none.
"""

from __future__ import annotations

from typing import Any

from ..model.store_version import MAX_ERA, UNKNOWN_ERA, StoreVersion


def encode_version(version: StoreVersion, implied_era: int = UNKNOWN_ERA) -> Any:
    """Return the number of a version, with its era before it unless that is implied."""
    if version.era == implied_era:
        return version.number
    return [version.era, version.number]


def decode_version(value: Any, implied_era: int = UNKNOWN_ERA) -> StoreVersion:
    """Return the version that a value stands for.

    Raises
    ------
    TypeError, ValueError
        When the value is malformed.
    """
    if isinstance(value, list):
        era, number = value
        if not UNKNOWN_ERA <= int(era) <= MAX_ERA:
            raise ValueError(f"era {era} is not between {UNKNOWN_ERA} and {MAX_ERA}")
        return StoreVersion(int(era), int(number))
    return StoreVersion(implied_era, int(value))


__all__ = ["decode_version", "encode_version"]
