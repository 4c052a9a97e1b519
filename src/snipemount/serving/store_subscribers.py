"""Subscribers of the store's feed: they update the gateway and the directory."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

import attrs

from ..errors import DecodeError

if TYPE_CHECKING:
    from collections.abc import Callable

    from structlog.typing import FilteringBoundLogger

    from ..model.configuration import Configuration
    from ..model.leaf import Leaf, VersionOrder
    from ..ports.platform import StoredObject
    from .context import ServingContext
    from .gateway import Gateway

MOVE_DONE = "done"


class StoreDecoders(Protocol):
    """Decoders of stored objects; each raises DecodeError for an invalid one."""

    def configuration(self, stored: StoredObject) -> Configuration:
        """Decode a configuration."""

    def configuration_rank(self, stored: StoredObject) -> Any:
        """Return what orders configurations; None if it cannot be read."""

    def leaf(self, stored: StoredObject) -> Leaf:
        """Decode a leaf's entry."""

    def leaf_rank(self, stored: StoredObject) -> Any:
        """Return what orders the states of an entry; None if it cannot be read."""

    def version_order(self, stored: StoredObject) -> VersionOrder:
        """Decode the operators' order to move a service to a version."""


@attrs.define(eq=False)
class ConfigurationSubscriber:
    """Puts each newer configuration in force at the gateway."""

    gateway: Gateway
    decoders: StoreDecoders
    logger: FilteringBoundLogger
    on_in_force: Callable[[], None]
    in_force: StoredObject | None = None

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Apply the stored configuration, if there is one."""
        for stored in objects:
            self.changed(stored)

    def changed(self, stored: StoredObject) -> None:
        """Put a newer version in force; one that cannot be decoded is only logged."""
        try:
            configuration = self.decoders.configuration(stored)
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
                **_organisation_fields(configuration),
            )
            self.in_force = stored
            self.on_in_force()

    def removed(self, name: str) -> None:
        """Keep the configuration in force: an accepted one is never reverted."""
        self.logger.warning("configuration_removed", name=name)

    def confirmed(self) -> None:
        """Do nothing: the leafs' subscriber records that the store responds."""

    def store_unreachable(self, reason: str) -> None:
        """Log that changes of the configuration are not received for now."""
        self.logger.warning(
            "configuration_feed_lost", reason=reason, version=self.gateway.version
        )


def _organisation_fields(configuration: Configuration) -> dict[str, int]:
    organisations = configuration.organisations
    return {} if organisations is None else {"organisations": len(organisations)}


@attrs.define(eq=False)
class LeafSubscriber:
    """Keeps the directory of leafs up to date.

    Parameters
    ----------
    context : ServingContext
        Holds the directory, and the port whose connections to gone leafs are closed.
    decoders : StoreDecoders
        Decoders of stored objects.
    logger : FilteringBoundLogger
        Receives changes of leafs and of the store's reachability.
    pending_removals : set of str
        Entries removed since the last confirmation.
    unreadable_names : set of str
        Entries whose decoding failed; each is logged once.
    store_reachable : bool
        Whether the store has responded since its last failure.
    """

    context: ServingContext
    decoders: StoreDecoders
    logger: FilteringBoundLogger
    pending_removals: set[str] = attrs.field(factory=set)
    unreadable_names: set[str] = attrs.field(factory=set)
    store_reachable: bool = False

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace the directory's entries; logs the leafs that are no longer listed."""
        now_ms = self.context.timers.now_ms()
        self.context.directory.store_responded(now_ms)
        decoded = (self._decode(stored) for stored in objects)
        leafs = [leaf for leaf in decoded if leaf is not None]
        self._drop(self.context.directory.replace_all(leafs, now_ms), "not_listed")
        self._log_held(self.context.directory.pending_removal_count)

    def changed(self, stored: StoredObject) -> None:
        """Add or update a leaf; an entry that cannot be decoded counts as removed."""
        leaf = self._decode(stored)
        if leaf is None:
            self.pending_removals.add(stored.name)
            return
        self.pending_removals.discard(leaf.leaf_id)
        known = self.context.directory.find(leaf.leaf_id)
        if leaf.draining and (known is None or not known.leaf.draining):
            self.logger.info("leaf_draining", leaf=leaf.leaf_id, service=leaf.service)
        self.context.directory.put(leaf, self.context.timers.now_ms())

    def removed(self, name: str) -> None:
        """Collect a removal until the next confirmation.

        The directory takes the removals of a batch together: it keeps the leafs for a
        grace time when very many are removed at once.
        """
        self.pending_removals.add(name)

    def confirmed(self) -> None:
        """Record that the store responds, and apply the removals of this batch."""
        now_ms = self.context.timers.now_ms()
        if not self.store_reachable:
            self.logger.info("store_reached")
        self.store_reachable = True
        self.context.directory.store_responded(now_ms)
        removals, self.pending_removals = sorted(self.pending_removals), set()
        self._drop(self.context.directory.remove_all(removals, now_ms), "removed")
        self._log_held(len(removals))
        self.remove_expired()

    def store_unreachable(self, reason: str) -> None:
        """Record that the store does not respond: entries may lapse while leafs run."""
        if self.store_reachable:
            self.logger.warning("store_lost", reason=reason)
        self.store_reachable = False
        self.context.directory.store_unreachable()

    def remove_expired(self) -> None:
        """Drop the leafs whose entries did not return within the grace time."""
        gone = self.context.directory.remove_expired(self.context.timers.now_ms())
        self._drop(gone, "not_back_after_outage")

    def _log_held(self, reported: int) -> None:
        held = self.context.directory.pending_removal_count
        if reported and held:
            self.logger.info("leaf_removals_held", reported=reported, held=held)

    def _drop(self, leafs: list[Leaf], reason: str) -> None:
        for leaf in leafs:
            self.context.leafs.close_idle(leaf)
            self.logger.info(
                "leaf_gone", leaf=leaf.leaf_id, service=leaf.service, reason=reason
            )

    def _decode(self, stored: StoredObject) -> Leaf | None:
        try:
            return self.decoders.leaf(stored)
        except DecodeError as error:
            if stored.name not in self.unreadable_names:
                self.unreadable_names.add(stored.name)
                self.logger.warning("leaf_entry_unreadable", reason=error.detail)
            return None


@attrs.define(eq=False)
class ZoneSubscriber:
    """Takes zones out of the directory, and brings them back, by the operators' orders.

    Parameters
    ----------
    context : ServingContext
        Holds the directory.
    logger : FilteringBoundLogger
        Receives changes of the zones taken out.
    zones_out : set of str
        Zones that are taken out.
    """

    context: ServingContext
    logger: FilteringBoundLogger
    zones_out: set[str] = attrs.field(factory=set)

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Take out exactly the listed zones."""
        self._take_out({stored.name for stored in objects})

    def changed(self, stored: StoredObject) -> None:
        """Take out one more zone."""
        self._take_out(self.zones_out | {stored.name})

    def removed(self, name: str) -> None:
        """Bring a zone back."""
        self._take_out(self.zones_out - {name})

    def confirmed(self) -> None:
        """Do nothing: the leafs' subscriber records that the store responds."""

    def store_unreachable(self, reason: str) -> None:
        """Keep the zones out: only the store brings a zone back."""

    def _take_out(self, zones: set[str]) -> None:
        if zones == self.zones_out:
            return
        self.logger.info("zones_closed", zones=",".join(sorted(zones)))
        self.zones_out = zones
        self.context.directory.set_zones_out(frozenset(zones))


@attrs.define(eq=False)
class VersionSubscriber:
    """Holds back the versions that the operators have ordered moves to.

    Until its move is done, a new version gets no traffic while the old one has leafs.
    That keeps a bad version's share of the traffic within its limit.

    Parameters
    ----------
    context : ServingContext
        Holds the directory.
    decoders : StoreDecoders
        Decoders of stored objects.
    logger : FilteringBoundLogger
        Receives new and changed orders.
    orders : dict of str to VersionOrder
        Known orders by the name of their object.
    """

    context: ServingContext
    decoders: StoreDecoders
    logger: FilteringBoundLogger
    orders: dict[str, VersionOrder] = attrs.field(factory=dict)

    def listed(self, objects: tuple[StoredObject, ...]) -> None:
        """Replace all orders."""
        self.orders.clear()
        for stored in objects:
            self._put_order(stored)
        self._set_held_versions()

    def changed(self, stored: StoredObject) -> None:
        """Add or replace one order."""
        self._put_order(stored)
        self._set_held_versions()

    def removed(self, name: str) -> None:
        """Remove an order."""
        self.orders.pop(name, None)
        self._set_held_versions()

    def confirmed(self) -> None:
        """Do nothing: the leafs' subscriber records that the store responds."""

    def store_unreachable(self, reason: str) -> None:
        """Keep the held versions held."""

    def _put_order(self, stored: StoredObject) -> None:
        try:
            order = self.decoders.version_order(stored)
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

    def _set_held_versions(self) -> None:
        held = {
            order.service: order.to_version
            for order in self.orders.values()
            if order.status != MOVE_DONE
        }
        self.context.directory.set_held_versions(held)


__all__ = [
    "ConfigurationSubscriber",
    "LeafSubscriber",
    "StoreDecoders",
    "VersionSubscriber",
    "ZoneSubscriber",
]
