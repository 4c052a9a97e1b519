"""Port to the backend servers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.owner_messages import BackendOutcome
    from ..model.exchange import Exchange
    from ..model.fleet import BackendServer


class BackendPort(ABC):
    """Opens, uses and closes single connections to backend servers."""

    @abstractmethod
    def open(
        self,
        server: BackendServer,
        connection_id: int,
        done: Callable[[bool], None],
    ) -> None:
        """Open a connection; `done` gets whether it stands."""

    @abstractmethod
    def ping(
        self, server: str, connection_id: int, done: Callable[[bool], None]
    ) -> None:
        """Ask for a sign of life on an open connection."""

    @abstractmethod
    def send(
        self,
        server: str,
        connection_id: int,
        exchange: Exchange,
        budget_ms: float,
        done: Callable[[BackendOutcome], None],
    ) -> None:
        """Run an exchange on an idle connection."""

    @abstractmethod
    def cancel(self, server: str, exchange: Exchange) -> None:
        """Tell the server that an exchange is no longer wanted."""

    @abstractmethod
    def close(self, server: str, connection_id: int) -> None:
        """Close a connection; its exchange gets no outcome any more."""


__all__ = ["BackendPort"]
