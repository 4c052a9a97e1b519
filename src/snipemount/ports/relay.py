"""Port to the daemons that pass on what the platform's store tells them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..model.relay import RelayMessage


@attrs.frozen
class DaemonAddress:
    """Where another daemon listens for daemons.

    Parameters
    ----------
    name : str
        Its name.
    zone : str
        Availability zone.
    host : str
        IP number.
    port : int
        TCP port.
    """

    name: str
    zone: str
    host: str
    port: int


class RelayPort(ABC):
    """Follows one other daemon, and passes on to those that follow this one."""

    @abstractmethod
    def follow(
        self,
        daemon: DaemonAddress,
        on_message: Callable[[RelayMessage], None],
        on_end: Callable[[], None],
    ) -> None:
        """Leave the daemon followed so far and follow this one."""

    @abstractmethod
    def unfollow(self) -> None:
        """Follow nobody; neither callback is called any more."""

    @abstractmethod
    def publish(self, message: RelayMessage) -> None:
        """Pass a message on to all followers."""

    @abstractmethod
    def tell(self, message: RelayMessage) -> None:
        """Send a message to the daemon that is followed, if any."""


__all__ = ["DaemonAddress", "RelayPort"]
