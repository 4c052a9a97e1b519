"""Interface to the daemons that queries are delegated to."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.delegation import DelegationMessage
    from .relay import DaemonAddress


class DelegationLink(ABC):
    """Connection between a daemon that delegates and a coordinator, at either end."""

    @abstractmethod
    def send(self, message: DelegationMessage) -> None:
        """Send a message; it is lost if the connection has ended."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection; no callback is called any more at this end."""


class DelegationPort(ABC):
    """Opens connections to coordinators."""

    @abstractmethod
    def connect(
        self,
        daemon: DaemonAddress,
        on_open: Callable[[], None],
        on_message: Callable[[DelegationMessage], None],
        on_end: Callable[[], None],
    ) -> DelegationLink:
        """Open a connection to a coordinator.

        Parameters
        ----------
        daemon : DaemonAddress
            Coordinator to connect to.
        on_open : Callable
            Called when messages can be sent.
        on_message : Callable
            Called with each message of the coordinator.
        on_end : Callable
            Called once when the connection can't be opened or has ended.
        """


class DelegationHandler(ABC):
    """Receives what other daemons delegate to this one."""

    @abstractmethod
    def on_message(self, link: DelegationLink, message: DelegationMessage) -> None:
        """Handle a message of a daemon that delegates."""

    @abstractmethod
    def on_link_opened(self, link: DelegationLink) -> None:
        """Record a connection of a daemon that delegates."""

    @abstractmethod
    def on_link_ended(self, link: DelegationLink) -> None:
        """Cancel the queries of a connection that has ended."""


__all__ = ["DelegationHandler", "DelegationLink", "DelegationPort"]
