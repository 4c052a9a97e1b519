"""Identity of callers under the configuration in force, and their priority."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from ..model.forwarding import Unauthorized
from ..model.identity import Anonymous, OfOrganisation, Unchecked
from .key_table import KeyTable

if TYPE_CHECKING:
    from ..model.configuration import Route
    from ..model.identity import CallerIdentity, Organisation

DIGEST_KEY_BYTES = 32


class Authenticator:
    """Identifies callers by their API key.

    Parameters
    ----------
    digest_key : bytes or None
        Key of the digests that keys are compared by; None for a random one.
    """

    def __init__(self, digest_key: bytes | None = None) -> None:
        self._digest_key = digest_key or secrets.token_bytes(DIGEST_KEY_BYTES)
        self._table: KeyTable | None = None

    @property
    def requires_keys(self) -> bool:
        """Whether callers of routes that are not public need a key."""
        return self._table is not None

    def put_in_force(self, organisations: tuple[Organisation, ...] | None) -> None:
        """Replace all organisations.

        Parameters
        ----------
        organisations : tuple of Organisation or None
            The organisations; None if callers need no keys.

        Raises
        ------
        ValueError
            When two organisations hold the same key; those in force stay.
        """
        if organisations is None:
            self._table = None
        else:
            self._table = KeyTable(organisations, self._digest_key)

    def identify(self, route: Route, api_key: str) -> CallerIdentity | Unauthorized:
        """Return whom a request belongs to.

        Parameters
        ----------
        route : Route
            Route of the request.
        api_key : str
            Key that the caller sent; empty if it sent none.
        """
        if self._table is None:
            return Unchecked()
        caller = self._table.find(api_key)
        if caller is not None:
            return caller
        return Anonymous() if route.public else Unauthorized()


def effective_priority(route: Route, caller: CallerIdentity) -> int:
    """Return the priority of a request: the organisation's if it has one."""
    match caller:
        case OfOrganisation(priority=int(priority)):
            return priority
    return route.priority


__all__ = ["Authenticator", "effective_priority"]
