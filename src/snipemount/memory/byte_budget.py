"""Budget of bytes that many owners share."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable


class ByteBudget:
    """Counts what each owner holds, and keeps the sum within a limit.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all owners together may hold.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held = 0
        self._held_by: dict[Hashable, int] = {}

    def reserve(self, owner: Hashable, count: int) -> bool:
        """Set what an owner holds in all; return whether the budget allows it.

        If it does not, the owner keeps what it had. Less than before is always allowed.
        """
        before = self._held_by.get(owner, 0)
        held = self.held - before + count
        if count > before and held > self.limit_bytes:
            return False
        self.held = held
        self._held_by[owner] = count
        return True

    def held_by(self, owner: Hashable) -> int:
        """Return what an owner holds."""
        return self._held_by.get(owner, 0)

    def release(self, owner: Hashable) -> int:
        """Forget an owner; return what it held."""
        count = self._held_by.pop(owner, 0)
        self.held -= count
        return count


__all__ = ["ByteBudget"]
