"""What a daemon knows of the stored object of a lease."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..model.store_version import StoreVersion
    from .record import LeaseRecord

# Of a lease time: how long a revision must stay before the lease passes on. The excess
# is for clocks that differ in rate.
EXPIRY_RATIO = 1.25


@attrs.frozen
class Observation:
    """The object as it was last read, or written by this process.

    Parameters
    ----------
    version : StoreVersion
        Its store version; equal numbers of two eras are different ones.
    record : LeaseRecord or None
        Its content; None if unreadable.
    first_ms : float
        End of the first call that showed this revision.
    last_ms : float
        Start of the last read that showed it.
    """

    version: StoreVersion
    record: LeaseRecord | None
    first_ms: float
    last_ms: float

    def expiry_ms(self, lease_ms: int) -> float:
        """Return when a read must start, at the earliest, to show the lease expired.

        Parameters
        ----------
        lease_ms : int
            Lease time of this daemon; the holder's counts if it is longer.
        """
        holder_lease_ms = self.record.lease_ms if self.record else 0
        return self.first_ms + max(lease_ms, holder_lease_ms) * EXPIRY_RATIO

    def has_expired(self, lease_ms: int) -> bool:
        """Return whether nobody can hold the lease any more."""
        return self.last_ms >= self.expiry_ms(lease_ms)


__all__ = ["Observation"]
