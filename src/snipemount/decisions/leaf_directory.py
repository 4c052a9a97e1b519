"""The leafs that may be asked, as the platform's directory tells them."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from .leaf_state import LeafState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..model.leaf import Leaf

RETURN_GRACE_MS = 2200.0  # entries that lapsed in an outage are back by then
MASS_REMOVAL_SHARE = 0.25
MASS_REMOVAL_LEAST = 4
ELSEWHERE_MS = 10_000.0  # until its entry has lapsed, or has its new address


class LeafDirectory:
    """Leafs by service, with the evidence on each.

    Entries that vanish around an outage of the platform's store are kept for a
    grace time after its return; any other removal counts at once.
    """

    def __init__(self) -> None:
        self._leafs: dict[str, LeafState] = {}
        self._services: defaultdict[str, dict[str, LeafState]] = defaultdict(dict)
        self._usable: dict[str, list[LeafState]] = {}
        self._elsewhere: dict[str, float] = {}
        self._doubted: set[str] = set()
        self._closed_zones: frozenset[str] = frozenset()
        self._held_versions: dict[str, str] = {}
        self._in_contact = False
        self._grace_until_ms = -math.inf

    def __len__(self) -> int:
        return len(self._leafs)

    def known(self, leaf_id: str) -> LeafState | None:
        """Return the state of a leaf, if it is known."""
        return self._leafs.get(leaf_id)

    def all_states(self) -> list[LeafState]:
        """Return the states of all leafs."""
        return list(self._leafs.values())

    def service_states(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that may get new work."""
        states = self._usable.get(service)
        if states is None:
            states = self._usable[service] = self._may_get_work(service)
        return states

    def _may_get_work(self, service: str) -> list[LeafState]:
        states = [
            state
            for state in self._services[service].values()
            if not state.leaf.draining and state.leaf.zone not in self._closed_zones
        ]
        held = self._held_versions.get(service)
        if held is None:
            return states
        old = [state for state in states if state.leaf.version != held]
        return old or states

    def elsewhere(self, leaf_id: str, now_ms: float) -> None:
        """Note that another leaf answers at the address that a leaf's entry names.

        Nothing is sent there meanwhile: what arrives counts as load of the service that
        has the address now.
        """
        self._elsewhere[leaf_id] = now_ms + ELSEWHERE_MS

    def at_their_address(
        self, states: list[LeafState], now_ms: float
    ) -> list[LeafState]:
        """Return the leafs of which no other one has the address."""
        if not self._elsewhere:
            return states
        ended = [name for name, end in self._elsewhere.items() if end <= now_ms]
        for leaf_id in ended:
            del self._elsewhere[leaf_id]
        return [s for s in states if s.leaf.leaf_id not in self._elsewhere]

    def hold_versions(self, held: dict[str, str]) -> None:
        """Keep these versions of services unused while others have leafs."""
        self._held_versions = held
        self._usable.clear()

    def close_zones(self, zones: frozenset[str]) -> None:
        """Send nothing more to the leafs of these zones."""
        self._closed_zones = zones
        self._usable.clear()

    def contact(self, now_ms: float) -> None:
        """Note that the store has answered."""
        if not self._in_contact:
            self._grace_until_ms = now_ms + RETURN_GRACE_MS
        self._in_contact = True

    def contact_lost(self) -> None:
        """Note that the store does not answer."""
        self._in_contact = False

    def put(self, leaf: Leaf, now_ms: float) -> None:
        """Take an entry; one of an earlier start is ignored."""
        state = self._leafs.get(leaf.leaf_id)
        if state is None:
            self._add(leaf, now_ms)
            return
        if leaf.started_wall_ms < state.leaf.started_wall_ms:
            return
        self._doubted.discard(leaf.leaf_id)
        moved = (leaf.service, leaf.host, leaf.port)
        known = (state.leaf.service, state.leaf.host, state.leaf.port)
        if leaf.start_key != state.leaf.start_key or moved != known:
            self._drop(leaf.leaf_id)
            self._add(leaf, now_ms)
        else:
            state.update(leaf, now_ms)
            self._usable.pop(leaf.service, None)

    def remove(self, leaf_id: str, now_ms: float) -> Leaf | None:
        """Take the removal of an entry; return the leaf if it is gone for good."""
        if leaf_id not in self._leafs:
            return None
        if now_ms < self._grace_until_ms:
            self._doubted.add(leaf_id)
            return None
        return self._drop(leaf_id)

    def remove_all(self, leaf_ids: Iterable[str], now_ms: float) -> list[Leaf]:
        """Take removals that came together; very many at once are doubted."""
        gone = [leaf_id for leaf_id in leaf_ids if leaf_id in self._leafs]
        most = max(MASS_REMOVAL_LEAST, MASS_REMOVAL_SHARE * len(self._leafs))
        unannounced = [name for name in gone if not self._leafs[name].leaf.draining]
        if len(unannounced) > most:
            self._grace_until_ms = max(self._grace_until_ms, now_ms + RETURN_GRACE_MS)
        removed = (self.remove(leaf_id, now_ms) for leaf_id in gone)
        return [leaf for leaf in removed if leaf is not None]

    def replace_all(self, leafs: Iterable[Leaf], now_ms: float) -> list[Leaf]:
        """Take a whole listing; return the leafs that are gone."""
        listed = {leaf.leaf_id: leaf for leaf in leafs}
        for leaf in listed.values():
            self.put(leaf, now_ms)
        missing = [leaf_id for leaf_id in self._leafs if leaf_id not in listed]
        return self.remove_all(missing, now_ms)

    def settle_doubts(self, now_ms: float) -> list[Leaf]:
        """Drop the doubted leafs whose grace is over."""
        if not self._doubted or not self._in_contact:
            return []
        if now_ms < self._grace_until_ms:
            return []
        doubted = list(self._doubted)
        gone = (self._drop(leaf_id) for leaf_id in doubted)
        return [leaf for leaf in gone if leaf is not None]

    def _add(self, leaf: Leaf, now_ms: float) -> None:
        state = LeafState(leaf, now_ms)
        self._leafs[leaf.leaf_id] = state
        self._services[leaf.service][leaf.leaf_id] = state
        self._usable.pop(leaf.service, None)

    def _drop(self, leaf_id: str) -> Leaf | None:
        self._doubted.discard(leaf_id)
        self._elsewhere.pop(leaf_id, None)
        state = self._leafs.pop(leaf_id, None)
        if state is None:
            return None
        self._services[state.leaf.service].pop(leaf_id, None)
        self._usable.pop(state.leaf.service, None)
        return state.leaf


__all__ = ["LeafDirectory"]
