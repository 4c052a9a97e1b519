"""Durations of the stages of a query over all shards."""

from __future__ import annotations

import attrs


@attrs.frozen
class QueryStages:
    """What a query over all shards spent its time on.

    Times count from the arrival of the query at the daemon that runs it.

    Parameters
    ----------
    sent_ms : float
        When the first attempts at all shards had been started.
    connections_opened : int
        Number of attempts that opened a connection.
    connect_ms : float
        Longest time that an attempt waited for its connection.
    first_part_ms : float
        When the first shard had answered; 0 if none has.
    median_part_ms : float
        When half of the shards that answered had answered.
    last_part_ms : float
        When the last shard had answered.
    bytes_read : int
        Bytes read from leafs, headers included.
    loop_lag_ms : float
        Lag of the daemon's timers.
    """

    sent_ms: float
    connections_opened: int
    connect_ms: float
    first_part_ms: float
    median_part_ms: float
    last_part_ms: float
    bytes_read: int
    loop_lag_ms: float


__all__ = ["QueryStages"]
