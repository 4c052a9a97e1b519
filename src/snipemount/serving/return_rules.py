"""What stays known of each kind when the store returns from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.fleet.store_return import KeepForGrace, KeepNewest, TakeListing
from ..decisions.leafs.leaf_directory import REMOVAL_GRACE_MS
from ..ports.platform import Kind

if TYPE_CHECKING:
    from ..decisions.fleet.store_return import ReturnRule
    from ..ports.platform import StoredObject
    from .store_subscribers import StoreDecoders

# For operators to give an order again. One that they have taken back instead costs the
# use of a zone for this time; one that is dropped too soon brings requests there.
ORDER_KEPT_MS = 10_000.0


def return_rules(decoders: StoreDecoders) -> dict[Kind, ReturnRule]:
    """Return the rule of each kind that is followed.

    A configuration never goes back to an older one. Leafs write their entries again
    within the grace time of an outage. Orders that were taken back must not count as
    taken back for long, as operators may have given them anew. What is known of crashes
    does not depend on the store.
    """
    orders = KeepForGrace(_no_rank, ORDER_KEPT_MS, REMOVAL_GRACE_MS)
    return {
        Kind.CONFIGURATION: KeepNewest(decoders.configuration_rank),
        Kind.LEAF: KeepForGrace(decoders.leaf_rank, REMOVAL_GRACE_MS, REMOVAL_GRACE_MS),
        Kind.ZONE_ORDER: orders,
        Kind.VERSION_ORDER: orders,
        Kind.CRASH_REPORT: TakeListing(),
    }


def _no_rank(stored: StoredObject) -> None:
    """Return None: an order does not state which of its states is newer."""


__all__ = ["return_rules"]
