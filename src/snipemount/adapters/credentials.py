"""Bearer tokens of the administration interface."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

from ..errors import CredentialsError, ResultCode

if TYPE_CHECKING:
    from ..settings import TokenSettings

BEARER = "Bearer "
OPERATE = "operate"


@attrs.frozen
class Identity:
    """Who is asking.

    Parameters
    ----------
    name : str
        Name of the token.
    role : str
        `read` or `operate`.
    """

    name: str
    role: str


class Credentials:
    """Checks tokens against their hashes, in constant time.

    Parameters
    ----------
    tokens : tuple of TokenSettings
        Names, roles and hashes.
    """

    def __init__(self, tokens: tuple[TokenSettings, ...]) -> None:
        self._tokens = tokens

    def identify(self, header: str | None) -> Identity:
        """Return who sends this `Authorization` header.

        Raises
        ------
        CredentialsError
            When the header is missing or names no known token.
        """
        if header is None or not header.startswith(BEARER):
            raise CredentialsError(ResultCode.UNAUTHENTICATED, "send a bearer token")
        token = header.removeprefix(BEARER).strip()
        digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
        found = None
        for known in self._tokens:
            if hmac.compare_digest(known.sha256, digest):
                found = Identity(known.name, known.role)
        if found is None:
            raise CredentialsError(ResultCode.UNAUTHENTICATED, "the token is unknown")
        return found

    def authorize(self, header: str | None, role: str) -> Identity:
        """Return who is asking, provided that the role is enough.

        Raises
        ------
        CredentialsError
            When the token is unknown or may only read.
        """
        identity = self.identify(header)
        if role == OPERATE and identity.role != OPERATE:
            raise CredentialsError(
                ResultCode.FORBIDDEN, f"{identity.name} may only read"
            )
        return identity


__all__ = ["OPERATE", "Credentials", "Identity"]
