"""Document in which the store keeps who holds a duty."""

from __future__ import annotations

from typing import Any

import attrs

# Longest lease that is believed: a greater one, of another writer, would keep the duty
# from passing to anybody.
MAX_LEASE_MS = 600_000


@attrs.frozen
class LeaseRecord:
    """Content of the stored object of a lease.

    Parameters
    ----------
    holder : str
        Name of the daemon; empty if nobody has acquired the lease yet.
    run : str
        Random id of the holder's process.
    renewal : int
        Number of the write in its process, so that no two writes are equal.
    lease_ms : int
        Time for which the holder takes the lease as valid after a write.
    checkpoint : dict
        Document of the duty.
    """

    holder: str
    run: str
    renewal: int
    lease_ms: int
    checkpoint: dict[str, Any]

    def is_earlier_state_of(self, other: LeaseRecord) -> bool:
        """Return whether the same process wrote this record before the other one."""
        is_same_process = (self.holder, self.run) == (other.holder, other.run)
        return is_same_process and self.renewal < other.renewal

    def spec(self) -> dict[str, Any]:
        """Return the document to store."""
        return {
            "holder": self.holder,
            "run": self.run,
            "renewal": self.renewal,
            "lease_ms": self.lease_ms,
            "checkpoint": self.checkpoint,
        }


def read_record(spec: dict[str, Any]) -> LeaseRecord | None:
    """Return the content of a stored document; None if it is malformed."""
    match spec:
        case {
            "holder": str(holder),
            "run": str(run),
            "renewal": int(renewal),
            "lease_ms": int(lease_ms),
            "checkpoint": dict(checkpoint),
        } if 0 < lease_ms <= MAX_LEASE_MS:
            return LeaseRecord(holder, run, renewal, lease_ms, checkpoint)
    return None


__all__ = ["MAX_LEASE_MS", "LeaseRecord", "read_record"]
