"""Interface to the daemons that relay the contents of the platform's store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.relay import FollowerMessage, RelayMessage


@attrs.frozen
class DaemonAddress:
    """Address on which a daemon accepts connections of other daemons.

    Parameters
    ----------
    name : str
        Name of the daemon.
    zone : str
        Availability zone of the daemon.
    host : str
        IP address.
    port : int
        TCP port of the relay.
    query_port : int
        TCP port for delegated queries; 0 if the daemon takes none.
    legs_per_s : float
        Legs of queries that its VM bears per second; 0 if the daemon states none.
    """

    name: str
    zone: str
    host: str
    port: int
    query_port: int = 0
    legs_per_s: float = 0.0

    @property
    def accepts_queries(self) -> bool:
        """Whether other daemons can delegate queries to it."""
        return self.query_port > 0 and self.legs_per_s > 0.0


class RelayPort(ABC):
    """Follows one other daemon, and sends messages to the followers of this one."""

    @abstractmethod
    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Follow a daemon in place of the one that was followed so far.

        Parameters
        ----------
        daemon : DaemonAddress
            Daemon to follow.
        on_message : Callable
            Called with each of its messages.
        on_end : Callable
            Called when it can no longer be followed.
        """

    @abstractmethod
    def unfollow(self) -> None:
        """Stop following; neither callback is called any more."""

    @abstractmethod
    def publish(self, message: RelayMessage) -> None:
        """Send a message to all followers."""

    @abstractmethod
    def report(self, message: FollowerMessage) -> None:
        """Send a message to the daemon that is followed, if there is one."""


__all__ = ["DaemonAddress", "RelayPort"]
