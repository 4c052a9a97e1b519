"""Shares of a limit that all daemons keep to without coordination.

Each daemon takes an equal share. Where the limit is less than one for each, the
daemons that rank first by rendezvous hashing take one each and the others nothing.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


RANK_BYTES = 8


def share_of(limit: float, subject: str, daemons: Iterable[str], own: str) -> float:
    """Return this daemon's share of a limit, in the unit of the limit.

    Parameters
    ----------
    limit : float
        Limit over all daemons.
    subject : str
        Name of what is limited, such as a leaf or a service; it determines the order
        in which the daemons rank.
    daemons : Iterable of str
        Names of the daemons that share the limit.
    own : str
        Name of this daemon; it is counted whether `daemons` contains it or not.
    """
    names = {*daemons, own}
    if limit >= len(names):
        return limit / len(names)
    ranked = sorted(names, key=lambda name: _rank(subject, name))
    return 1.0 if own in ranked[: int(limit)] else 0.0


def phase_of(subject: str, name: str) -> float:
    """Return a daemon's place among all daemons for a subject, from 0 to 1."""
    return int.from_bytes(_rank(subject, name)) / 2.0 ** (8 * RANK_BYTES)


def rank_of(subject: str, daemons: Iterable[str], own: str) -> int:
    """Return how many daemons rank before this one for a subject."""
    own_rank = _rank(subject, own)
    return sum(_rank(subject, name) < own_rank for name in daemons)


def _rank(subject: str, name: str) -> bytes:
    return hashlib.blake2b(
        f"{subject}/{name}".encode(), digest_size=RANK_BYTES
    ).digest()


__all__ = ["phase_of", "rank_of", "share_of"]
