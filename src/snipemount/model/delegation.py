"""Messages between a daemon that delegates queries and their coordinator."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from ..ports.platform import StoredObject
    from .forwarding import ForwardRequest, RequestOutcome


@attrs.frozen
class DelegatedQuery:
    """A caller's query over all shards, for the coordinator to run.

    Parameters
    ----------
    query_id : int
        Number of the query on its connection.
    sender : str
        Name of the daemon that received the query.
    request : ForwardRequest
        The caller's request, unchanged.
    version : int
        Version of the configuration under which it has to run.
    answer_within_ms : float
        Time after which an answer without all parts is due.
    time_left_ms : float
        Time left until the deadline.
    earlier_attempts : tuple of int
        Attempts that other daemons may have made at each shard, in the route's order
        of shards; empty if no other daemon may have run the query.
    """

    query_id: int
    sender: str
    request: ForwardRequest
    version: int
    answer_within_ms: float
    time_left_ms: float
    earlier_attempts: tuple[int, ...]


class DeclineReason(Enum):
    """Why a coordinator does not run a query."""

    BUSY = "busy"  # its VM bears no more
    STOPPING = "stopping"
    OTHER_CONFIGURATION = "other_configuration"  # not the query's version


@attrs.frozen
class QueryAccepted:
    """The coordinator has started the query."""

    query_id: int


@attrs.frozen
class FurtherAttemptsRequested:
    """The coordinator wants to make a second or later attempt at some shards.

    Parameters
    ----------
    query_id : int
        Number of the query on its connection.
    positions : tuple of int
        Positions of the shards in the route's order.
    """

    query_id: int
    positions: tuple[int, ...]


@attrs.frozen
class FurtherAttemptsGranted:
    """The coordinator may make one further attempt at each of some shards.

    The daemon that delegates has counted them. It grants nothing for a query that it
    has given up, so that both runs together stay within the attempts of the route.

    Parameters
    ----------
    query_id : int
        Number of the query on its connection.
    positions : tuple of int
        Positions of the shards in the route's order.
    """

    query_id: int
    positions: tuple[int, ...]


@attrs.frozen
class QueryDeclined:
    """The coordinator has not run the query and will not run it."""

    query_id: int
    reason: DeclineReason


@attrs.frozen
class QueryRunning:
    """The query still runs, after the time at which its answer was due."""

    query_id: int


@attrs.frozen
class QueryEnded:
    """Outcome of a query, and how long the coordinator took for it."""

    query_id: int
    outcome: RequestOutcome
    ran_ms: float


@attrs.frozen
class QueryCancelled:
    """The caller has left, or the query was given to another daemon."""

    query_id: int


@attrs.frozen
class CoordinatorStopping:
    """The coordinator stops: it completes its queries and takes no more."""


@attrs.frozen
class ZonesCutOff:
    """The availability zones whose leafs the coordinator does not reach now."""

    zones: tuple[str, ...]


@attrs.frozen
class ConfigurationAnnounced:
    """Version of the configuration that the sender has in force; 0 for none."""

    version: int


@attrs.frozen
class ConfigurationRequested:
    """The sender wants the configuration that the receiver has in force."""


@attrs.frozen
class ConfigurationOffered:
    """The stored configuration that the sender has in force."""

    stored: StoredObject


ConfigurationMessage = (
    ConfigurationAnnounced | ConfigurationRequested | ConfigurationOffered
)
DelegationMessage = (
    DelegatedQuery
    | QueryAccepted
    | FurtherAttemptsRequested
    | FurtherAttemptsGranted
    | QueryDeclined
    | QueryRunning
    | QueryEnded
    | QueryCancelled
    | CoordinatorStopping
    | ZonesCutOff
    | ConfigurationMessage
)

__all__ = [
    "ConfigurationAnnounced",
    "ConfigurationMessage",
    "ConfigurationOffered",
    "ConfigurationRequested",
    "CoordinatorStopping",
    "DeclineReason",
    "DelegatedQuery",
    "DelegationMessage",
    "FurtherAttemptsGranted",
    "FurtherAttemptsRequested",
    "QueryAccepted",
    "QueryCancelled",
    "QueryDeclined",
    "QueryEnded",
    "QueryRunning",
    "ZonesCutOff",
]
