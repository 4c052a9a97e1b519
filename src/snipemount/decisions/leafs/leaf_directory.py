"""Leafs registered in the platform's store, and which of them may get requests."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

from .leaf_state import LeafState

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from ...model.leaf import Leaf
    from .leaf_state import LeafStatements

# Leafs whose entries lapsed in an outage have registered again within this time.
REMOVAL_GRACE_MS = 2200.0
# An entry lapses after three heartbeats without one; the first may be nearly due.
MIN_LAPSE_HEARTBEATS = 2
DEFAULT_HEARTBEAT_MS = 1200.0
DEFAULT_DRAIN_MS = 3000.0
# To learn of a removal after a watch was cut off, and until the next periodic check.
LEARN_MS = 600.0
MASS_REMOVAL_SHARE = 0.25
MIN_MASS_REMOVAL = 4
# Within this time the stale entry lapses or is updated to the new address.
REUSED_ADDRESS_MS = 10_000.0
MAX_PAST_STATEMENTS = 1000


class LeafDirectory:
    """Leafs by service, with the state of each.

    Entries that are removed around an outage of the platform's store, or very many
    at once, are kept for a grace time; any other removal applies at once. The store
    was away if it has not responded for so long that entries of running leafs may have
    lapsed; a call that fails between two responses is no outage.

    Parameters
    ----------
    heartbeat_ms : float
        Period of the leafs' heartbeats, which keep their entries from lapsing.
    drain_ms : float
        Time after which a leaf that is gone may get no request.
    """

    def __init__(
        self,
        heartbeat_ms: float = DEFAULT_HEARTBEAT_MS,
        drain_ms: float = DEFAULT_DRAIN_MS,
    ) -> None:
        self._doubt_grace_ms = max(0.0, min(REMOVAL_GRACE_MS, drain_ms - LEARN_MS))
        self._min_outage_ms = MIN_LAPSE_HEARTBEATS * heartbeat_ms
        self._leafs: dict[str, LeafState] = {}
        self._services: defaultdict[str, dict[str, LeafState]] = defaultdict(dict)
        self._usable: dict[str, list[LeafState]] = {}
        self._reused_until_ms: dict[str, float] = {}
        # What leafs stated whose entries were removed: an entry may return.
        self._past_statements: dict[Hashable, LeafStatements] = {}
        # When each entry that is gone from the store is dropped here.
        self._pending_removals: dict[str, float] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._held_versions: dict[str, str] = {}
        self._store_responds = False
        self._responded_ms = -math.inf
        self._grace_until_ms = -math.inf

    def __len__(self) -> int:
        return len(self._leafs)

    def find(self, leaf_id: str) -> LeafState | None:
        """Return the state of a leaf, or None if the directory lacks it."""
        return self._leafs.get(leaf_id)

    def all_states(self) -> list[LeafState]:
        """Return the states of all leafs."""
        return list(self._leafs.values())

    @property
    def pending_removal_count(self) -> int:
        """Number of leafs whose entries are gone but kept for the grace time."""
        return len(self._pending_removals)

    @property
    def limited_count(self) -> int:
        """Number of leafs that state a limit on requests."""
        return sum(s.limit is not None for s in self._leafs.values())

    def service_states(self, service: str) -> list[LeafState]:
        """Return the leafs of a service that may get new requests."""
        states = self._usable.get(service)
        if states is None:
            states = self._usable[service] = self._select_usable(service)
        return states

    def _select_usable(self, service: str) -> list[LeafState]:
        states = [
            state
            for state in self._services[service].values()
            if not (state.leaf.draining or state.statements.leaving)
            and state.leaf.zone not in self._zones_out
        ]
        held = self._held_versions.get(service)
        if held is None:
            return states
        others = [state for state in states if state.leaf.version != held]
        return others or states

    def present_state(self, state: LeafState) -> LeafState:
        """Return the state that the same start of a leaf has now.

        Its entry may have lapsed and returned since an attempt began. What it states
        while it has no entry is kept for its return.
        """
        present = self._leafs.get(state.leaf.leaf_id)
        if present is not None and _start_of(present.leaf) == _start_of(state.leaf):
            return present
        self._keep_statements(state)
        return state

    def _keep_statements(self, state: LeafState) -> None:
        self._past_statements.setdefault(_start_of(state.leaf), state.statements)
        if len(self._past_statements) > MAX_PAST_STATEMENTS:
            del self._past_statements[next(iter(self._past_statements))]

    def mark_leaving(self, state: LeafState) -> None:
        """Exclude a leaf that states that it leaves, until its end."""
        state.statements.leaving = True
        self._usable.pop(state.leaf.service, None)

    def mark_address_reused(self, leaf_id: str, now_ms: float) -> None:
        """Exclude a leaf for a while because another leaf answers at its address.

        A request sent there would count as load of the other leaf's service.
        """
        self._reused_until_ms[leaf_id] = now_ms + REUSED_ADDRESS_MS

    def without_reused_addresses(
        self, states: list[LeafState], now_ms: float
    ) -> list[LeafState]:
        """Return the leafs whose address isn't used by another leaf."""
        if not self._reused_until_ms:
            return states
        expired = [name for name, end in self._reused_until_ms.items() if end <= now_ms]
        for leaf_id in expired:
            del self._reused_until_ms[leaf_id]
        return [s for s in states if s.leaf.leaf_id not in self._reused_until_ms]

    def set_held_versions(self, held: dict[str, str]) -> None:
        """Set, by service, the version that is not used while another one has leafs."""
        self._held_versions = held
        self._usable.clear()

    def set_zones_out(self, zones: frozenset[str]) -> None:
        """Set the zones whose leafs get no requests, as taken out by operators."""
        self._zones_out = zones
        self._usable.clear()

    def store_responded(self, now_ms: float) -> None:
        """Record a response of the store; after an outage, start the grace time.

        Only a silence that is longer than a watch can have waited shows an outage for
        certain. A shorter one may be a watch that was cut off: it prolongs nothing that
        is pending, and the bound on leafs that are gone holds.
        """
        silent_ms = now_ms - self._responded_ms
        if not self._store_responds and silent_ms >= self._min_outage_ms:
            if silent_ms >= self._min_outage_ms + REMOVAL_GRACE_MS:
                self._grace_until_ms = now_ms + REMOVAL_GRACE_MS
                held = dict.fromkeys(self._pending_removals, self._grace_until_ms)
                self._pending_removals = held
            else:
                self._grace_until_ms = now_ms + self._doubt_grace_ms
        self._store_responds = True
        self._responded_ms = now_ms

    def store_unreachable(self) -> None:
        """Record that the store does not respond."""
        self._store_responds = False

    def put(self, leaf: Leaf, now_ms: float) -> None:
        """Add or update an entry; ignore it if it is of an earlier start of the leaf.

        A new start, service or address resets the leaf's state.
        """
        state = self._leafs.get(leaf.leaf_id)
        if state is None:
            self._add(leaf, now_ms)
            return
        if leaf.started_wall_ms < state.leaf.started_wall_ms:
            return
        self._pending_removals.pop(leaf.leaf_id, None)
        address = (leaf.service, leaf.host, leaf.port)
        known_address = (state.leaf.service, state.leaf.host, state.leaf.port)
        if leaf.incarnation != state.leaf.incarnation or address != known_address:
            self._drop(leaf.leaf_id)
            self._add(leaf, now_ms)
        else:
            state.update(leaf, now_ms)
            self._usable.pop(leaf.service, None)

    def remove(self, leaf_id: str, now_ms: float) -> Leaf | None:
        """Remove an entry, or keep it until the grace time is over.

        A later grace time does not prolong that, unless the store was away.

        Returns
        -------
        Leaf or None
            The leaf, if it was removed at once.
        """
        if leaf_id not in self._leafs:
            return None
        if now_ms < self._grace_until_ms:
            self._pending_removals.setdefault(leaf_id, self._grace_until_ms)
            return None
        return self._drop(leaf_id)

    def remove_all(self, leaf_ids: Iterable[str], now_ms: float) -> list[Leaf]:
        """Remove entries of one batch of changes.

        Very many removals of leafs that weren't draining indicate a fault of the store
        and start a grace time.

        Returns
        -------
        list of Leaf
            The leafs that were removed at once.
        """
        known_ids = [leaf_id for leaf_id in leaf_ids if leaf_id in self._leafs]
        max_removals = max(MIN_MASS_REMOVAL, MASS_REMOVAL_SHARE * len(self._leafs))
        unannounced = [
            name for name in known_ids if not self._leafs[name].leaf.draining
        ]
        if len(unannounced) > max_removals:
            grace_until_ms = now_ms + self._doubt_grace_ms
            self._grace_until_ms = max(self._grace_until_ms, grace_until_ms)
        removed = (self.remove(leaf_id, now_ms) for leaf_id in known_ids)
        return [leaf for leaf in removed if leaf is not None]

    def replace_all(self, leafs: Iterable[Leaf], now_ms: float) -> list[Leaf]:
        """Apply a complete listing.

        Returns
        -------
        list of Leaf
            The leafs that were removed at once.
        """
        listed = {leaf.leaf_id: leaf for leaf in leafs}
        for leaf in listed.values():
            self.put(leaf, now_ms)
        missing = [leaf_id for leaf_id in self._leafs if leaf_id not in listed]
        return self.remove_all(missing, now_ms)

    def remove_expired(self, now_ms: float) -> list[Leaf]:
        """Remove the entries whose grace time is over, while the store responds.

        Returns
        -------
        list of Leaf
            The leafs that were removed.
        """
        if not self._store_responds:
            return []
        expired = [
            name for name, end in self._pending_removals.items() if end <= now_ms
        ]
        removed = (self._drop(leaf_id) for leaf_id in expired)
        return [leaf for leaf in removed if leaf is not None]

    def _add(self, leaf: Leaf, now_ms: float) -> None:
        state = LeafState(leaf, now_ms)
        statements = self._past_statements.pop(_start_of(leaf), None)
        if statements is not None:
            state.statements = statements
        self._leafs[leaf.leaf_id] = state
        self._services[leaf.service][leaf.leaf_id] = state
        self._usable.pop(leaf.service, None)

    def _drop(self, leaf_id: str) -> Leaf | None:
        self._pending_removals.pop(leaf_id, None)
        self._reused_until_ms.pop(leaf_id, None)
        state = self._leafs.pop(leaf_id, None)
        if state is None:
            return None
        self._services[state.leaf.service].pop(leaf_id, None)
        self._usable.pop(state.leaf.service, None)
        if not state.statements.empty:
            self._keep_statements(state)
        return state.leaf


def _start_of(leaf: Leaf) -> Hashable:
    """Return what identifies one start of a leaf, also at another address.

    An entry without the time of the start is told from another by its address.
    """
    if leaf.started_wall_ms > 0.0:
        return leaf.incarnation
    return leaf.incarnation, leaf.service, leaf.host, leaf.port


__all__ = ["LeafDirectory"]
