"""Shares of the limits on shards, by who runs queries over all shards.

Most of a limit is shared by the daemons that coordinate queries, so that few daemons
have useful shares. The rest is kept for the others, which run queries themselves when
they reach no coordinator. The parts are fixed: their sum never exceeds the limit,
whoever is reachable.
"""

from __future__ import annotations

import attrs

from .shares import share_of

COORDINATORS_PART = 0.75
ASSUMED_DAEMONS = 64  # before the registry has been read; keeps the shares small


@attrs.frozen
class LimitShares:
    """Daemons among which limits are shared.

    Parameters
    ----------
    own : str
        Name of this daemon.
    daemons : frozenset of str
        All daemons; empty until the registry has been read.
    coordinators : frozenset of str
        Those of them that run queries over all shards.
    """

    own: str
    daemons: frozenset[str] = frozenset()
    coordinators: frozenset[str] = frozenset()

    def of_service(self, limit: float, subject: str) -> float:
        """Return this daemon's share of a limit that all daemons use alike.

        Parameters
        ----------
        limit : float
            Limit over all daemons.
        subject : str
            What is limited: a leaf or a service.
        """
        if not self.daemons:
            return limit / ASSUMED_DAEMONS if limit >= ASSUMED_DAEMONS else 0.0
        return share_of(limit, subject, self.daemons, self.own)

    def of_shard(self, limit: float, subject: str) -> float:
        """Return this daemon's share of a limit on a shard or one of its leafs.

        Parameters
        ----------
        limit : float
            Limit over all daemons.
        subject : str
            What is limited: a leaf or a shard.
        """
        others = self.daemons - self.coordinators
        if not others or not self.coordinators:
            return self.of_service(limit, subject)
        if self.own in self.coordinators:
            part = COORDINATORS_PART * limit
            return share_of(part, subject, self.coordinators, self.own)
        part = (1.0 - COORDINATORS_PART) * limit
        return share_of(part, subject, others, self.own)


__all__ = ["LimitShares"]
