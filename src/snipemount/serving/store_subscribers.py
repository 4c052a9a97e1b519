"""Who takes what the platform's store tells: gateway, directory, closed zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from ..errors import DecodeError

if TYPE_CHECKING:
    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import Configuration
    from ..model.leaf import Leaf, VersionOrder
    from ..ports.platform import StoredObject
    from .gateway import Gateway
    from .surroundings import Surroundings

MOVE_DONE = "done"


class Documents(Protocol):
    """Decoders of stored objects; each raises DecodeError."""

    def configuration(self, stored: StoredObject) -> Configuration:
        """Decode the operators' configuration."""

    def leaf(self, stored: StoredObject) -> Leaf:
        """Decode an entry of the directory."""

    def version_order(self, stored: StoredObject) -> VersionOrder:
        """Decode an order to move a service to a version."""


@attrs.define(eq=False)
class ConfigurationSubscriber:
    """Puts each newer configuration in force."""

    gateway: Gateway
    documents: Documents
    logger: FilteringBoundLogger

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take the configuration, if it has been written."""
        for stored in objects:
            self.changed(stored)

    def changed(self, stored: StoredObject) -> None:
        """Put a newer version in force; one that is unreadable changes nothing."""
        try:
            configuration = self.documents.configuration(stored)
        except DecodeError as error:
            self.logger.error("configuration_unreadable", reason=error.detail)
            return
        before = self.gateway.version
        if self.gateway.put_in_force(configuration):
            self.logger.info(
                "configuration_in_force",
                version=configuration.version,
                before=before,
                routes=len(configuration.routes),
            )

    def removed(self, name: str) -> None:
        """Keep what is in force: an accepted configuration never goes back."""
        self.logger.warning("configuration_removed", name=name)

    def contact(self) -> None:
        """Nothing to note: the leafs' feed tells of the store."""

    def contact_lost(self, reason: str) -> None:
        """Log that changes are not heard for now."""
        self.logger.warning(
            "configuration_feed_lost", reason=reason, version=self.gateway.version
        )


@attrs.define(eq=False)
class LeafSubscriber:
    """Keeps the directory of leafs."""

    around: Surroundings
    documents: Documents
    logger: FilteringBoundLogger
    removals: set[str] = attrs.field(factory=set)
    unreadable: set[str] = attrs.field(factory=set)
    in_contact: bool = False

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take a whole listing."""
        now_ms = self.around.timers.now_ms()
        self.around.directory.contact(now_ms)
        decoded = (self._decode(stored) for stored in objects)
        leafs = [leaf for leaf in decoded if leaf is not None]
        self._gone(self.around.directory.replace_all(leafs, now_ms), "not_listed")

    def changed(self, stored: StoredObject) -> None:
        """Take one entry; one that is unreadable names no leaf to use."""
        leaf = self._decode(stored)
        if leaf is None:
            self.removals.add(stored.name)
            return
        self.removals.discard(leaf.leaf_id)
        known = self.around.directory.known(leaf.leaf_id)
        if leaf.draining and (known is None or not known.leaf.draining):
            self.logger.info("leaf_draining", leaf=leaf.leaf_id, service=leaf.service)
        self.around.directory.put(leaf, self.around.timers.now_ms())

    def removed(self, name: str) -> None:
        """Collect removals: many that come together are doubted."""
        self.removals.add(name)

    def contact(self) -> None:
        """Apply the removals of this batch."""
        now_ms = self.around.timers.now_ms()
        if not self.in_contact:
            self.logger.info("store_reached")
        self.in_contact = True
        self.around.directory.contact(now_ms)
        removals, self.removals = sorted(self.removals), set()
        self._gone(self.around.directory.remove_all(removals, now_ms), "removed")

    def contact_lost(self, reason: str) -> None:
        """Note that entries may lapse though their leafs live."""
        if self.in_contact:
            self.logger.warning("store_lost", reason=reason)
        self.in_contact = False
        self.around.directory.contact_lost()

    def settle_doubts(self) -> None:
        """Drop the leafs that did not come back after an outage."""
        gone = self.around.directory.settle_doubts(self.around.timers.now_ms())
        self._gone(gone, "not_back_after_outage")

    def _gone(self, leafs: list[Leaf], reason: str) -> None:
        for leaf in leafs:
            self.around.leafs.forget(leaf)
            self.logger.info(
                "leaf_gone", leaf=leaf.leaf_id, service=leaf.service, reason=reason
            )

    def _decode(self, stored: StoredObject) -> Leaf | None:
        try:
            return self.documents.leaf(stored)
        except DecodeError as error:
            if stored.name not in self.unreadable:
                self.unreadable.add(stored.name)
                self.logger.warning("leaf_entry_unreadable", reason=error.detail)
            return None


@attrs.define(eq=False)
class ZoneSubscriber:
    """Closes the zones that operators have taken out."""

    around: Surroundings
    logger: FilteringBoundLogger
    closed: set[str] = attrs.field(factory=set)

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all orders."""
        self._close({stored.name for stored in objects})

    def changed(self, stored: StoredObject) -> None:
        """Take one order."""
        self._close(self.closed | {stored.name})

    def removed(self, name: str) -> None:
        """Open a zone again."""
        self._close(self.closed - {name})

    def contact(self) -> None:
        """Nothing to note: the leafs' feed tells of the store."""

    def contact_lost(self, reason: str) -> None:
        """Keep closed what is closed: only the store opens a zone again."""

    def _close(self, zones: set[str]) -> None:
        if zones == self.closed:
            return
        self.logger.info("zones_closed", zones=",".join(sorted(zones)))
        self.closed = zones
        self.around.directory.close_zones(frozenset(zones))


@attrs.define(eq=False)
class VersionSubscriber:
    """Holds back the new versions that operators have ordered.

    Until a move is judged, a new version gets no traffic while the old one has
    leafs: that is the safe side of the bound on a bad version's share.
    """

    around: Surroundings
    documents: Documents
    logger: FilteringBoundLogger
    orders: dict[str, VersionOrder] = attrs.field(factory=dict)

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take all orders."""
        self.orders.clear()
        for stored in objects:
            self._take(stored)
        self._hold()

    def changed(self, stored: StoredObject) -> None:
        """Take one order."""
        self._take(stored)
        self._hold()

    def removed(self, name: str) -> None:
        """Drop an order."""
        self.orders.pop(name, None)
        self._hold()

    def contact(self) -> None:
        """Nothing to note: the leafs' feed tells of the store."""

    def contact_lost(self, reason: str) -> None:
        """Keep holding what is held."""

    def _take(self, stored: StoredObject) -> None:
        try:
            order = self.documents.version_order(stored)
        except DecodeError as error:
            self.logger.warning("version_order_unreadable", reason=error.detail)
            return
        if self.orders.get(stored.name) != order:
            self.logger.info(
                "version_ordered",
                service=order.service,
                version=order.to_version,
                status=order.status,
            )
        self.orders[stored.name] = order

    def _hold(self) -> None:
        held = {
            order.service: order.to_version
            for order in self.orders.values()
            if order.status != MOVE_DONE
        }
        self.around.directory.hold_versions(held)


__all__ = [
    "ConfigurationSubscriber",
    "Documents",
    "LeafSubscriber",
    "VersionSubscriber",
    "ZoneSubscriber",
]
