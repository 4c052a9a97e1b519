"""Choice of backend servers for the shards of a query."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from random import Random

    from ...model.fleet import BackendServer, ShardMap
    from .fleet_view import FleetView

OTHER_ZONE_PENALTY_MS = 8.0
COLD_PENALTY_MS = 5.0
MAX_TIE_BREAK_MS = 1.0


@attrs.frozen
class ServerAssignment:
    """A backend server and the shards that are requested from it.

    Parameters
    ----------
    server : BackendServer
        Server that the exchange goes to.
    shards : tuple of int
        Shards requested from it.
    last_resort : bool
        Whether it is ejected and used only because no other server is left.
    """

    server: BackendServer
    shards: tuple[int, ...]
    last_resort: bool = False


@attrs.frozen
class Placement:
    """Assignment of a set of shards to servers.

    Parameters
    ----------
    assignments : tuple of ServerAssignment
        One entry for each exchange.
    unassigned : tuple of int
        Shards for which no server may be used.
    expected_wait_ms : float
        Longest expected wait at any of the servers.
    """

    assignments: tuple[ServerAssignment, ...]
    unassigned: tuple[int, ...]
    expected_wait_ms: float


class Placer:
    """Chooses, for each shard, the server with the shortest expected wait.

    Servers of the daemon's own zone are preferred unless their expected wait exceeds
    that of another zone by more than the penalty. Ejected servers are used only when no
    other server holds a shard.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    fleet : FleetView
        Load and health of the servers.
    random : Random
        Seeded generator that breaks ties.

    Attributes
    ----------
    zones_out : frozenset of str
        Zones taken out by operators; their servers are not used.
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
        """Assign shards to servers.

        A chosen server also gets the other shards that it holds, to save exchanges.

        Parameters
        ----------
        shard_map : ShardMap
            Map of the snapshot that the query reads.
        shards : Iterable of int
            Shards to assign.
        now_ms : float
            Current time.
        excluded : Mapping of int to frozenset of str, optional
            For a shard, names of servers that must not be used.
        allow_ejected : bool
            Whether ejected servers may be used when no others are left.

        Returns
        -------
        Placement
            One exchange per chosen server.
        """
        excluded = excluded or {}
        scores: dict[str, float] = {}
        remaining = list(dict.fromkeys(shards))
        chosen: dict[str, list[int]] = {}
        unassigned: list[int] = []
        while remaining:
            shard = remaining.pop(0)
            excluded_names = excluded.get(shard, frozenset())
            server = self._best_in_own_zone(
                shard_map, shard, excluded_names, scores, now_ms
            )
            if server is None:
                server = self._best(
                    shard_map.holders[shard],
                    excluded_names,
                    scores,
                    now_ms,
                    allow_ejected,
                )
            if server is None:
                unassigned.append(shard)
                continue
            held_shards = shard_map.shards_by_server[server.name]
            also_held = [
                other
                for other in remaining
                if other in held_shards
                and server.name not in excluded.get(other, frozenset())
            ]
            remaining = [other for other in remaining if other not in also_held]
            chosen.setdefault(server.name, []).extend((shard, *also_held))
        assignments = tuple(
            ServerAssignment(
                shard_map.servers_by_name[name],
                tuple(wanted),
                self._fleet.is_ejected(name, now_ms),
            )
            for name, wanted in chosen.items()
        )
        return Placement(
            assignments, tuple(unassigned), self._longest_wait_ms(assignments, now_ms)
        )

    def _best_in_own_zone(
        self,
        shard_map: ShardMap,
        shard: int,
        excluded_names: frozenset[str],
        scores: dict[str, float],
        now_ms: float,
    ) -> BackendServer | None:
        """Return the best server of the own zone, or None if another may be better.

        Servers of other zones score at least the penalty, so a lower score is the best.
        """
        local_holders = shard_map.holders_by_zone.get(self._zone)
        if local_holders is None:
            return None
        best = self._best(local_holders[shard], excluded_names, scores, now_ms, False)
        if best is not None and scores[best.name] < OTHER_ZONE_PENALTY_MS:
            return best
        return None

    def _best(
        self,
        holders: tuple[BackendServer, ...],
        excluded_names: frozenset[str],
        scores: dict[str, float],
        now_ms: float,
        allow_ejected: bool,
    ) -> BackendServer | None:
        usable = [
            s for s in holders if s.name not in excluded_names and self._may_use(s)
        ]
        healthy = [s for s in usable if not self._fleet.is_ejected(s.name, now_ms)]
        candidates = healthy or (usable if allow_ejected else [])
        if not candidates:
            return None
        return min(candidates, key=lambda s: self._score_ms(s, scores, now_ms))

    def _may_use(self, server: BackendServer) -> bool:
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
            score += self._random.random() * MAX_TIE_BREAK_MS
            if server.zone != self._zone:
                score += OTHER_ZONE_PENALTY_MS
            scores[server.name] = score
        return score

    def _longest_wait_ms(
        self, assignments: tuple[ServerAssignment, ...], now_ms: float
    ) -> float:
        views = [self._fleet.view(a.server.name) for a in assignments]
        waits = [view.expected_wait_ms(now_ms) for view in views]
        return max(waits, default=0.0)


__all__ = ["Placement", "Placer", "ServerAssignment"]
