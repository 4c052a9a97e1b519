"""Connections to leafs that are opened before a query needs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.configuration import ToAllShards

if TYPE_CHECKING:
    from ..model.leaf import Leaf
    from .context import ServingContext
    from .gateway import Gateway

TICK_PERIOD_MS = 50.0
# Opening a connection takes the loop as long as reading some answers; between two
# ticks it serves queries.
MAX_OPENED_PER_TICK = 10
ROUND_PERIOD_MS = 2000.0  # shorter than connections stay open while idle
STARTUP_MS = 20_000.0  # callers send requests soon after a start
MAX_IDLE_MS = 8000.0  # a daemon without requests stops opening connections
MAX_ROUTES = 20  # bounds the work of a round; routes share their shards


class ReadyConnections:
    """Keeps a connection open to the preferred leaf of each shard.

    Otherwise the first query after a start would open one to every shard, and its
    answers would be read only after that work. A daemon that delegates its queries
    needs none.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    gateway : Gateway
        Gives the configured shards and the time of the last request.
    """

    def __init__(self, context: ServingContext, gateway: Gateway) -> None:
        self._context = context
        self._gateway = gateway
        self._unvisited: list[str] = []
        self._version = 0
        self._next_round_ms = 0.0

    def start(self) -> None:
        """Start the rounds over all shards, a few connections per tick."""
        self._context.timers.call_every(TICK_PERIOD_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._context.timers.now_ms()
        since_start_ms = now_ms - self._context.started_ms
        since_request_ms = now_ms - self._gateway.last_request_ms
        if since_start_ms > STARTUP_MS and since_request_ms > MAX_IDLE_MS:
            return
        if self._gateway.delegates:
            return
        if self._gateway.version != self._version:
            self._version = self._gateway.version
            self._unvisited = []
            self._next_round_ms = now_ms
        if not self._unvisited and now_ms >= self._next_round_ms:
            self._unvisited = self._shards()
            self._next_round_ms = now_ms + ROUND_PERIOD_MS
        self._open_next()

    def _open_next(self) -> None:
        shards, self._unvisited = (
            self._unvisited[:MAX_OPENED_PER_TICK],
            self._unvisited[MAX_OPENED_PER_TICK:],
        )
        for shard in shards:
            leaf = self._first_choice(shard)
            if leaf is not None:
                self._context.leafs.ensure_connection(leaf)

    def _first_choice(self, shard: str) -> Leaf | None:
        context = self._context
        now_ms = context.timers.now_ms()
        state = context.choice.preferred(context.candidates(shard))
        if state is None or state.is_cold(now_ms) or state.is_paused(now_ms):
            return None
        return state.leaf

    def _shards(self) -> list[str]:
        configuration = self._gateway.configuration
        if configuration is None:
            return []
        shards: dict[str, None] = {}
        queries = (r for r in configuration.routes if isinstance(r.target, ToAllShards))
        for _, route in zip(range(MAX_ROUTES), queries, strict=False):
            assert isinstance(route.target, ToAllShards)
            shards.update(dict.fromkeys(route.target.shards))
        return list(shards)


__all__ = ["ReadyConnections"]
