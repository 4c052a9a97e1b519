"""Connections that are open before a query needs them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.configuration import ToAllShards

if TYPE_CHECKING:
    from ..model.leaf import Leaf
    from .gateway import Gateway
    from .surroundings import Surroundings

TICK_MS = 50.0
MOST_A_TICK = 10  # opening takes as long as some answers: queries go between
REST_MS = 2000.0  # between two rounds over all shards; idle connections last longer
FIRST_USE_MS = 20_000.0  # callers come soon after a start
UNUSED_MS = 8000.0  # a daemon that gets no queries keeps nothing open
ROUTES_LOOKED_AT = 20  # routes share their shards


class ReadyConnections:
    """Keeps a connection to the first choice of each shard open.

    The first query after a start would open one to every shard otherwise, and its
    answers would wait for the work of opening them.

    Parameters
    ----------
    around : Surroundings
        Shared state.
    gateway : Gateway
        Names the shards, and when it was used last.
    """

    def __init__(self, around: Surroundings, gateway: Gateway) -> None:
        self._around = around
        self._gateway = gateway
        self._left: list[str] = []
        self._version = 0
        self._rest_until_ms = 0.0

    def start(self) -> None:
        """Begin the rounds."""
        self._around.timers.call_every(TICK_MS, self._tick)

    def _tick(self) -> None:
        now_ms = self._around.timers.now_ms()
        since_start_ms = now_ms - self._around.started_ms
        since_use_ms = now_ms - self._gateway.used_ms
        if since_start_ms > FIRST_USE_MS and since_use_ms > UNUSED_MS:
            return
        if self._gateway.version != self._version:
            self._version = self._gateway.version
            self._left = []
            self._rest_until_ms = now_ms
        if not self._left and now_ms >= self._rest_until_ms:
            self._left = self._shards()
            self._rest_until_ms = now_ms + REST_MS
        self._open_some()

    def _open_some(self) -> None:
        some, self._left = self._left[:MOST_A_TICK], self._left[MOST_A_TICK:]
        for shard in some:
            leaf = self._first_choice(shard)
            if leaf is not None:
                self._around.leafs.keep_ready(leaf)

    def _first_choice(self, shard: str) -> Leaf | None:
        around = self._around
        now_ms = around.timers.now_ms()
        state = around.choice.usual(around.candidates(shard))
        if state is None or state.is_cold(now_ms) or state.is_paused(now_ms):
            return None
        return state.leaf

    def _shards(self) -> list[str]:
        configuration = self._gateway.configuration
        if configuration is None:
            return []
        shards: dict[str, None] = {}
        queries = (r for r in configuration.routes if isinstance(r.target, ToAllShards))
        for _, route in zip(range(ROUTES_LOOKED_AT), queries, strict=False):
            assert isinstance(route.target, ToAllShards)
            shards.update(dict.fromkeys(route.target.shards))
        return list(shards)


__all__ = ["ReadyConnections"]
