"""Which leafs of a service one call may ask, and which one it asks next."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..decisions.leafs.leaf_state import LeafState
    from ..model.configuration import Route
    from ..model.forwarding import ForwardRequest
    from .context import ServingContext


class LeafSelection:
    """Picks the leafs of a call, each of them once.

    Parameters
    ----------
    context : ServingContext
        State that all requests share.
    service : str
        Name of the service, or of the shard, to ask.
    route : Route
        Route of the request.
    request : ForwardRequest
        Request that the leafs get.

    Attributes
    ----------
    tried : set of str
        Ids of the leafs that were picked.
    ignores_hold : bool
        Whether the next leaf is picked as if no leaf had crashed on the request.
    """

    def __init__(
        self,
        context: ServingContext,
        service: str,
        route: Route,
        request: ForwardRequest,
    ) -> None:
        self._context = context
        self._service = service
        self._route = route
        self._request = request
        self.tried: set[str] = set()
        self.ignores_hold = False

    def pick(self, typical_ms: float, hedges: bool) -> LeafState | None:
        """Return the leaf for the next attempt; None if there is none.

        Parameters
        ----------
        typical_ms : float
            Typical latency.
        hedges : bool
            Whether an attempt is pending.
        """
        context = self._context
        states = self._untried(self._leafs_to_hedge() if hedges else self._leafs())
        states = context.crashes.keep_apart(self._request, states)
        now_ms = context.timers.now_ms()
        state = context.choice.pick(states, self.tried, typical_ms, now_ms)
        self.ignores_hold = False
        if state is not None:
            self.tried.add(state.leaf.leaf_id)
        return state

    @property
    def has_other(self) -> bool:
        """Whether a leaf that is not paused can be asked that was not tried."""
        return self._has_unpaused(self._candidates())

    @property
    def has_other_to_hedge(self) -> bool:
        """Whether such a leaf can get a hedge."""
        return self._has_unpaused(self._leafs_to_hedge())

    @property
    def is_held(self) -> bool:
        """Whether leafs could be asked, and the quarantine forbids them all."""
        states = self._untried(self._context.candidates(self._service))
        return bool(states) and not self._allowed(states)

    def _leafs(self) -> list[LeafState]:
        if self.tried:
            return self._candidates()
        context = self._context
        states = context.first_leafs(self._service, self._route, self._request)
        return self._allowed(states)

    def _allowed(self, states: list[LeafState]) -> list[LeafState]:
        if self.ignores_hold:
            return states
        return self._context.crashes.allowed(self._request, states)

    def _leafs_to_hedge(self) -> list[LeafState]:
        """Return the leafs that may get a hedge.

        A limit is kept for first attempts. A request that may crash leafs is sent to
        one at a time.
        """
        if self._context.crashes.is_suspect(self._request):
            return []
        return [state for state in self._candidates() if state.limit is None]

    def _candidates(self) -> list[LeafState]:
        return self._allowed(self._context.candidates(self._service))

    def _untried(self, states: list[LeafState]) -> list[LeafState]:
        if not self.tried:
            return states
        return [state for state in states if state.leaf.leaf_id not in self.tried]

    def _has_unpaused(self, states: list[LeafState]) -> bool:
        now_ms = self._context.timers.now_ms()
        return any(not state.is_paused(now_ms) for state in self._untried(states))


__all__ = ["LeafSelection"]
