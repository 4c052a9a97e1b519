"""Newer configurations from and for the daemons that share delegated queries.

Queries run only where both daemons have the same configuration in force. While the
platform's store answers some daemons and not others, those that have the newer one
hand it on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..model.delegation import (
    ConfigurationAnnounced,
    ConfigurationOffered,
    ConfigurationRequested,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.delegation import ConfigurationMessage
    from ..ports.delegation import DelegationLink
    from ..ports.platform import StoredObject
    from .context import ServingContext

# In this time a newer configuration usually comes from the store or its relay.
CATCH_UP_MS = 80.0
# A large configuration takes longer. It crosses zones to coordinators, which are few;
# the daemons that delegate get it from them.
CATCH_UP_ACROSS_ZONES_MS = 500.0
REQUEST_TIMEOUT_MS = 1000.0  # before another daemon is asked for the same


class ConfigurationExchange:
    """Announces the version in force over all links, and fetches newer ones.

    Parameters
    ----------
    context : ServingContext
        Gives timers and logger.
    version : Callable
        Returns the version in force.
    in_force : Callable
        Returns the stored object of the configuration in force, if there is one.
    apply : Callable
        Puts a stored configuration in force if it is newer.
    """

    def __init__(
        self,
        context: ServingContext,
        version: Callable[[], int],
        in_force: Callable[[], StoredObject | None],
        apply: Callable[[StoredObject], None],
    ) -> None:
        self._context = context
        self._version = version
        self._in_force = in_force
        self._apply = apply
        self._links: dict[DelegationLink, float] = {}
        self._requested_ms: float | None = None

    def add_link(self, link: DelegationLink, crosses_zones: bool) -> None:
        """Announce the version in force over a new link, now and when it changes.

        Parameters
        ----------
        link : DelegationLink
            The link.
        crosses_zones : bool
            Whether this daemon delegates over it to a coordinator in another zone.
        """
        self._links[link] = CATCH_UP_ACROSS_ZONES_MS if crosses_zones else CATCH_UP_MS
        link.send(ConfigurationAnnounced(self._version()))

    def remove_link(self, link: DelegationLink) -> None:
        """Forget a link that has ended."""
        self._links.pop(link, None)

    def announce(self) -> None:
        """Announce a version that has come in force."""
        self._requested_ms = None
        for link in self._links:
            link.send(ConfigurationAnnounced(self._version()))

    def on_message(self, link: DelegationLink, message: ConfigurationMessage) -> None:
        """Handle a message of the daemon at the other end of a link."""
        match message:
            case ConfigurationAnnounced(version) if version > self._version():
                self._context.timers.call_later(
                    self._links.get(link, CATCH_UP_MS),
                    lambda: self._request_if_behind(link, version),
                )
            case ConfigurationRequested():
                stored = self._in_force()
                if stored is not None:
                    link.send(ConfigurationOffered(stored))
            case ConfigurationOffered(stored):
                self._context.logger.info("configuration_offered", name=stored.name)
                self._apply(stored)

    def _request_if_behind(self, link: DelegationLink, version: int) -> None:
        if version <= self._version() or link not in self._links:
            return
        now_ms = self._context.timers.now_ms()
        asked_ms = self._requested_ms
        if asked_ms is not None and now_ms - asked_ms < REQUEST_TIMEOUT_MS:
            return
        self._requested_ms = now_ms
        link.send(ConfigurationRequested())


__all__ = ["ConfigurationExchange"]
