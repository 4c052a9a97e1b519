"""Choice of backend servers for the shards of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from ..model.fleet import BackendServer, ShardMap
    from .fleet_view import FleetView

OTHER_ZONE_PENALTY_MS = 8.0
COLD_PENALTY_MS = 5.0
TIE_BREAK_MS = 1.0


@attrs.frozen
class Placed:
    """A backend server and the shards that it is to answer.

    Parameters
    ----------
    server : BackendServer
        Server to ask.
    shards : tuple of int
        Shards wanted from it.
    last_resort : bool
        Whether it is ejected and asked only because no other is left.
    """

    server: BackendServer
    shards: tuple[int, ...]
    last_resort: bool = False


@attrs.frozen
class Placement:
    """Servers for a set of shards.

    Parameters
    ----------
    placed : tuple of Placed
        One for each exchange.
    unplaced : tuple of int
        Shards without any server that may be asked.
    expected_wait_ms : float
        Longest wait to expect on any chosen server.
    """

    placed: tuple[Placed, ...]
    unplaced: tuple[int, ...]
    expected_wait_ms: float


class Placer:
    """Chooses, for each shard, the server with the least expected wait.

    Servers of the daemon's own zone go first unless their queues are longer
    than those of another zone by more than the penalty. Ejected servers are
    passed over unless they are the last ones that hold a shard.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    fleet : FleetView
        Load and health.
    random : Random
        Seeded generator that breaks ties.
    """

    def __init__(self, zone: str, fleet: FleetView, random: Random) -> None:
        self._zone = zone
        self._fleet = fleet
        self._random = random
        self.zones_out: frozenset[str] = frozenset()

    def place(
        self,
        shard_map: ShardMap,
        shards: Iterable[int],
        now_ms: float,
        excluded: Mapping[int, frozenset[str]] | None = None,
        allow_ejected: bool = True,
    ) -> Placement:
        """Return servers for `shards`.

        Parameters
        ----------
        shard_map : ShardMap
            The pinned map.
        shards : Iterable of int
            Shards wanted.
        now_ms : float
            Time of the choice.
        excluded : Mapping of int to frozenset of str, optional
            For a shard, names of servers that must not be asked.
        allow_ejected : bool
            Whether ejected servers may be asked when no others are left.

        Returns
        -------
        Placement
            One exchange for each chosen server.
        """
        excluded = excluded or {}
        scores: dict[str, float] = {}
        left = list(dict.fromkeys(shards))
        chosen: dict[str, list[int]] = {}
        unplaced: list[int] = []
        while left:
            shard = left.pop(0)
            banned = excluded.get(shard, frozenset())
            server = self._nearest(shard_map, shard, banned, scores, now_ms)
            if server is None:
                server = self._best(
                    shard_map.holders[shard], banned, scores, now_ms, allow_ejected
                )
            if server is None:
                unplaced.append(shard)
                continue
            held = shard_map.shards_of[server.name]
            along = [
                other
                for other in left
                if other in held and server.name not in excluded.get(other, frozenset())
            ]
            left = [other for other in left if other not in along]
            chosen.setdefault(server.name, []).extend((shard, *along))
        placed = tuple(
            Placed(
                shard_map.by_name[name],
                tuple(wanted),
                self._fleet.is_ejected(name, now_ms),
            )
            for name, wanted in chosen.items()
        )
        return Placement(placed, tuple(unplaced), self._longest_wait_ms(placed, now_ms))

    def _nearest(
        self,
        shard_map: ShardMap,
        shard: int,
        banned: frozenset[str],
        scores: dict[str, float],
        now_ms: float,
    ) -> BackendServer | None:
        """Return the best server of the own zone, if no other zone can beat it."""
        here = shard_map.holders_in.get(self._zone)
        if here is None:
            return None
        best = self._best(here[shard], banned, scores, now_ms, False)
        if best is not None and scores[best.name] < OTHER_ZONE_PENALTY_MS:
            return best
        return None

    def _best(
        self,
        holders: tuple[BackendServer, ...],
        banned: frozenset[str],
        scores: dict[str, float],
        now_ms: float,
        allow_ejected: bool,
    ) -> BackendServer | None:
        usable = [s for s in holders if s.name not in banned and self._may_ask(s)]
        healthy = [s for s in usable if not self._fleet.is_ejected(s.name, now_ms)]
        candidates = healthy or (usable if allow_ejected else [])
        if not candidates:
            return None
        return min(candidates, key=lambda s: self._score_ms(s, scores, now_ms))

    def _may_ask(self, server: BackendServer) -> bool:
        if server.draining or server.zone in self.zones_out:
            return False
        return not self._fleet.view(server.name).draining

    def _score_ms(
        self, server: BackendServer, scores: dict[str, float], now_ms: float
    ) -> float:
        score = scores.get(server.name)
        if score is None:
            view = self._fleet.view(server.name)
            score = view.expected_wait_ms(now_ms)
            score += COLD_PENALTY_MS * view.load.cold
            score += self._random.random() * TIE_BREAK_MS
            if server.zone != self._zone:
                score += OTHER_ZONE_PENALTY_MS
            scores[server.name] = score
        return score

    def _longest_wait_ms(self, placed: tuple[Placed, ...], now_ms: float) -> float:
        views = [self._fleet.view(p.server.name) for p in placed]
        waits = [view.expected_wait_ms(now_ms) for view in views]
        return max(waits, default=0.0)


__all__ = ["Placed", "Placement", "Placer"]
