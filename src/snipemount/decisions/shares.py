"""Parts of a bound that all daemons keep together without talking.

Each daemon takes an equal part; where the bound is less than one for each, the daemons
that come first by rendezvous hashing take one each and the others nothing.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def share_of(bound: float, subject: str, daemons: Iterable[str], own: str) -> float:
    """Return this daemon's part of a bound.

    Parameters
    ----------
    bound : float
        Bound over all daemons.
    subject : str
        What is bounded, such as a leaf or a service; other subjects rank the daemons
        in another order.
    daemons : Iterable of str
        Names of the daemons that share it.
    own : str
        This daemon, whether named among them or not.
    """
    names = {*daemons, own}
    if bound >= len(names):
        return bound / len(names)
    ranked = sorted(names, key=lambda name: _weight(subject, name))
    return 1.0 if own in ranked[: int(bound)] else 0.0


def _weight(subject: str, name: str) -> bytes:
    return hashlib.blake2b(f"{subject}/{name}".encode(), digest_size=8).digest()


__all__ = ["share_of"]
