"""Limits that leafs state, as this daemon keeps them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

from ..decisions.fleet.shares import phase_of
from ..decisions.leafs.leaf_limit import LeafLimit, LeafLimitShare, burst_of
from ..model.leaf_notice import NoLimit, RequestLimit, UnreadableLimit

if TYPE_CHECKING:
    from collections.abc import Iterable

    from structlog.typing import FilteringBoundLogger

    from ..decisions.leafs.leaf_directory import LeafDirectory
    from ..decisions.leafs.leaf_state import LeafState
    from ..model.leaf_notice import StatedLimit
    from ..timers import TimerService


class SharedLimits(Protocol):
    """What leaf limits need to know of the daemons that share them."""

    @property
    def own_name(self) -> str:
        """Name of this daemon."""

    @property
    def daemon_count(self) -> int:
        """Number of daemons that share the limits."""

    def own_share(self, limit: float, subject: str, service: str) -> float:
        """Return this daemon's share of a limit on a leaf of a service."""


class LeafLimits:
    """Gives each leaf that states a limit this daemon's share of it.

    Parameters
    ----------
    directory : LeafDirectory
        Known leafs, with what each has stated.
    shares : SharedLimits
        Shares of the limits among the daemons.
    timers : TimerService
        Clock.
    logger : FilteringBoundLogger
        Receives limits that have changed.
    """

    def __init__(
        self,
        directory: LeafDirectory,
        shares: SharedLimits,
        timers: TimerService,
        logger: FilteringBoundLogger,
    ) -> None:
        self._directory = directory
        self._shares = shares
        self._timers = timers
        self._logger = logger

    def note(self, state: LeafState, stated: StatedLimit) -> None:
        """Record the limit that a leaf states; logs one that has changed."""
        match stated:
            case UnreadableLimit():
                return
            case NoLimit():
                if state.limit is None:
                    return
                state.statements.limit = None
                self._log(state, "none")
            case RequestLimit(per_s):
                if state.limit is not None and state.limit.per_s == per_s:
                    return
                self._set(state, per_s)
                self._log(state, per_s)

    def recompute_shares(self) -> None:
        """Recompute this daemon's shares after a change of the daemons."""
        for state in self._directory.all_states():
            if state.limit is not None:
                self._set(state, state.limit.per_s)

    def allowed(self, states: list[LeafState]) -> list[LeafState]:
        """Return the leafs that take a request of this daemon now, as they state."""
        if all(state.statements.empty for state in states):
            return states
        now_ms = self._timers.now_ms()
        return [s for s in states if s.statements.ms_until_allowed(now_ms) <= 0.0]

    def ms_until_allowed(self, states: Iterable[LeafState]) -> float:
        """Return the time until one of the leafs may get a request; inf for none."""
        now_ms = self._timers.now_ms()
        waits_ms = (state.statements.ms_until_allowed(now_ms) for state in states)
        return min(waits_ms, default=math.inf)

    def _set(self, state: LeafState, per_s: float) -> None:
        now_ms = self._timers.now_ms()
        share = self._share(state, per_s)
        if state.limit is None:
            state.statements.limit = LeafLimit(per_s, share, now_ms)
        else:
            state.limit.update(per_s, share, now_ms)

    def _share(self, state: LeafState, per_s: float) -> LeafLimitShare:
        shares = self._shares
        leaf = state.leaf
        return LeafLimitShare(
            shares.own_share(burst_of(per_s), leaf.leaf_id, leaf.service),
            shares.daemon_count,
            phase_of(leaf.leaf_id, shares.own_name),
        )

    def _log(self, state: LeafState, per_s: float | str) -> None:
        self._logger.info(
            "leaf_limit",
            leaf=state.leaf.leaf_id,
            service=state.leaf.service,
            per_s=per_s,
        )


__all__ = ["LeafLimits", "SharedLimits"]
