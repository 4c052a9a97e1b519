"""Version of the platform's store: a number that counts only within its era."""

from __future__ import annotations

import attrs

UNKNOWN_ERA = 0
# The store raises its era by one with each return; a number beyond that is none.
MAX_ERA = 1_000_000
# Bits for the number in a fencing token; the store counts its changes from 1.
NUMBER_BITS = 40


@attrs.frozen(weakref_slot=False)
class StoreVersion:
    """Version of the store, or of an object at its last write.

    The store counts its changes. When it comes back from an older copy it begins a new
    era and gives numbers out again, so equal numbers of two eras mean different states,
    and a lower number of a later era replaces a higher one of an earlier era.

    Parameters
    ----------
    era : int
        Number of returns of the store as it states it; `UNKNOWN_ERA` if it states none.
    number : int
        Number of changes.
    """

    era: int
    number: int

    def precedes(self, other: StoreVersion) -> bool:
        """Return whether the other version replaces this one.

        A version without an era precedes all that have one: nothing shows that it
        belongs to the present history.
        """
        return (self.era, self.number) < (other.era, other.number)

    def is_same_history(self, other: StoreVersion) -> bool:
        """Return whether both belong to one era, so that their numbers compare."""
        return self.era == other.era

    @property
    def fencing_token(self) -> int:
        """Number that grows with each write, also across returns of the store.

        Without an era it is the number itself.
        """
        return (self.era << NUMBER_BITS) + self.number


def later_of(one: StoreVersion, other: StoreVersion) -> StoreVersion:
    """Return the version that replaces the other."""
    return other if one.precedes(other) else one


# Precedes all versions of a store.
NO_VERSION = StoreVersion(UNKNOWN_ERA, 0)

__all__ = ["MAX_ERA", "NO_VERSION", "UNKNOWN_ERA", "StoreVersion", "later_of"]
