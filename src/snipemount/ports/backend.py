"""Interface to the backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.servers.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer


class BackendPort(ABC):
    """Opens, uses and closes single connections to backend servers.

    The code that opens a connection chooses its id, unique for the server.
    """

    @abstractmethod
    def open(
        self,
        server: BackendServer,
        connection_id: int,
        done: Callable[[bool], None],
    ) -> None:
        """Open a connection; `done` is called with whether it was established."""

    @abstractmethod
    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Check an open connection; call `done` with whether the server responds."""

    @abstractmethod
    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Send an exchange on an idle connection.

        Parameters
        ----------
        server : str
            Name of the server.
        connection_id : int
            Connection to use.
        exchange : Exchange
            Exchange to run.
        budget_ms : float
            Time left until the deadline, which is sent to the server.
        done : Callable
            Called with the outcome.
        """

    @abstractmethod
    def cancel(self, server: str, exchange: Exchange) -> None:
        """Ask the server to stop an exchange."""

    @abstractmethod
    def close(self, server: str, connection_id: int) -> None:
        """Close a connection; `done` of its exchange is not called any more."""


__all__ = ["BackendPort"]
