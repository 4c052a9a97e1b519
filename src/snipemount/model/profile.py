"""Profiles: how a kind of search is served."""

from __future__ import annotations

import attrs


@attrs.frozen
class Route:
    """One route of a service.

    Parameters
    ----------
    name : str
        Name that a caller gives.
    repeatable : bool
        Whether a leg of it may run more than once.
    """

    name: str
    repeatable: bool = True


@attrs.frozen
class ExtraLoadLimits:
    """Share of hedges and retries in the exchanges sent.

    Parameters
    ----------
    ordinary : float
        Limit while no fault is seen, as a fraction of first attempts.
    faulty : float
        Limit while servers fail.
    burst : float
        Extra exchanges that may be saved up.
    """

    ordinary: float = 0.05
    faulty: float = 0.10
    burst: float = 20.0


@attrs.frozen
class ColdStartLimits:
    """Load that a server just after a cold start is given.

    Parameters
    ----------
    initial_fraction : float
        Share of the full concurrency at first; below one slot the exchanges
        are spaced out in time.
    growth : float
        Ratio by which each step raises the share.
    step_ms : float
        Least time between two steps.
    answers : int
        Good answers that each step needs.
    proven_answers : int
        Good answers that each step needs once they come as fast as those of
        warm servers.
    """

    initial_fraction: float = 0.1
    growth: float = 1.5
    step_ms: float = 300.0
    answers: int = 15
    proven_answers: int = 6


@attrs.frozen
class QueueLimits:
    """Bounds of the queue in front of one backend server.

    Parameters
    ----------
    length : int
        Exchanges that may wait.
    wait_ms : float
        Longest wait before an exchange is refused.
    admission_wait_ms : float
        Expected wait from which new queries are refused at the entry.
    target_wait_ms : float
        Mean wait above which an entry daemon lets fewer queries run at once.
    """

    length: int = 64
    wait_ms: float = 150.0
    admission_wait_ms: float = 80.0
    target_wait_ms: float = 25.0


@attrs.frozen
class Profile:
    """How one kind of search is served.

    Parameters
    ----------
    name : str
        Profile name.
    revision : int
        Platform version of the profile.
    operation : str
        Id of the operation that wrote it; settles lost replies.
    routes : tuple of Route
        Routes that callers may name.
    default_deadline_ms : float
        Deadline of a request that names none.
    max_deadline_ms : float
        Longest deadline that a caller may name.
    max_top_k : int
        Most hits an answer may hold.
    hedge_quantile : float
        Quantile of exchange latency after which an exchange is hedged.
    hedging : bool
        Whether slow exchanges are hedged.
    proving_servers : int
        Servers that run a request not yet known to be harmless at once; 0
        sends all exchanges together.
    claim_retention_ms : float
        How long a claimed idempotency key is remembered.
    extra_load : ExtraLoadLimits
        Budget of hedges and retries.
    cold_start : ColdStartLimits
        Limits of a server just after a cold start.
    queue : QueueLimits
        Bounds of each server's queue.
    """

    name: str
    revision: int = 0
    operation: str = ""
    routes: tuple[Route, ...] = (Route("search"),)
    default_deadline_ms: float = 370.0
    max_deadline_ms: float = 10_000.0
    max_top_k: int = 1000
    hedge_quantile: float = 0.97
    hedging: bool = True
    proving_servers: int = 2
    claim_retention_ms: float = 3_600_000.0
    extra_load: ExtraLoadLimits = ExtraLoadLimits()
    cold_start: ColdStartLimits = ColdStartLimits()
    queue: QueueLimits = QueueLimits()

    def route(self, name: str) -> Route | None:
        """Return the route called `name`, or None."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


__all__ = [
    "ColdStartLimits",
    "ExtraLoadLimits",
    "Profile",
    "QueueLimits",
    "Route",
]
