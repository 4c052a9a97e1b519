"""Profiles: limits and deadlines of a service, chosen by the operators."""

from __future__ import annotations

import attrs


@attrs.frozen
class ProfileRoute:
    """A kind of query that a service accepts.

    Parameters
    ----------
    name : str
        Name by which a caller selects the route.
    repeatable : bool
        Whether its legs are idempotent: they may run more than once.
    """

    name: str
    repeatable: bool = True


@attrs.frozen
class ExtraLoadLimits:
    """Budget of extra attempts (hedges and retries).

    Parameters
    ----------
    ordinary : float
        Extra attempts as a fraction of first attempts while no server fails.
    faulty : float
        Extra attempts as a fraction of first attempts while servers fail.
    burst : float
        Maximum number of unused extra attempts that the budget keeps for later.
    """

    ordinary: float = 0.05
    faulty: float = 0.10
    burst: float = 20.0


@attrs.frozen
class ColdStartLimits:
    """Limits on the load that is sent to a server after a cold start.

    Parameters
    ----------
    initial_fraction : float
        Share of the full concurrency at the start; when it is less than one slot,
        the exchanges are spaced out in time.
    growth : float
        Factor by which each step raises the share.
    step_ms : float
        Minimum time between two steps.
    answers : int
        Answers that each step needs while the latency of warm servers is not yet
        known.
    proven_answers : int
        Answers that each step needs once the latency of warm servers is known; only
        answers that are not much slower count.
    """

    initial_fraction: float = 0.1
    growth: float = 1.5
    step_ms: float = 300.0
    answers: int = 15
    proven_answers: int = 6


@attrs.frozen
class QueueLimits:
    """Limits of the queue of one backend server.

    Parameters
    ----------
    length : int
        Maximum number of waiting exchanges.
    wait_ms : float
        Maximum wait, after which an exchange is refused.
    admission_wait_ms : float
        Expected wait above which the entry daemon refuses new queries.
    target_wait_ms : float
        Mean wait above which the entry daemon reduces the number of queries that it
        runs at once.
    """

    length: int = 64
    wait_ms: float = 150.0
    admission_wait_ms: float = 80.0
    target_wait_ms: float = 25.0


@attrs.frozen
class Profile:
    """States how the services that use the profile are served.

    Parameters
    ----------
    name : str
        Name of the profile.
    revision : int
        Store version at which the profile was written.
    operation : str
        Id of the write that stored the profile. A writer that got no reply compares
        it to find out whether its write took effect.
    routes : tuple of ProfileRoute
        Routes that callers may select.
    default_deadline_ms : float
        Deadline of a request that states none.
    max_deadline_ms : float
        Maximum deadline that a caller may state.
    max_top_k : int
        Maximum number of hits in an answer.
    hedge_quantile : float
        Quantile of exchange latency after which an exchange is hedged.
    hedging : bool
        Whether slow exchanges are hedged.
    proving_servers : int
        Number of servers to which a request is sent first while no server is known to
        have answered it, so that a request that crashes servers reaches few; 0 sends
        all exchanges at once.
    claim_retention_ms : float
        Time for which a claimed idempotency key is kept.
    extra_load : ExtraLoadLimits
        Budget of extra attempts.
    cold_start : ColdStartLimits
        Limits on the load of a server after a cold start.
    queue : QueueLimits
        Limits of each server's queue.
    """

    name: str
    revision: int = 0
    operation: str = ""
    routes: tuple[ProfileRoute, ...] = (ProfileRoute("search"),)
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

    def route(self, name: str) -> ProfileRoute | None:
        """Return the route called `name`, or None."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


__all__ = [
    "ColdStartLimits",
    "ExtraLoadLimits",
    "Profile",
    "ProfileRoute",
    "QueueLimits",
]
