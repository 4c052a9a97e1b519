"""Authentication and authorization of operators by bearer tokens."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

import attrs

from ..errors import CredentialsError, ResultCode

if TYPE_CHECKING:
    from ..settings import TokenSettings

BEARER_PREFIX = "Bearer "
OPERATE_ROLE = "operate"


@attrs.frozen
class Identity:
    """Operator who is authenticated by a token.

    Parameters
    ----------
    name : str
        Name of the token in the settings.
    role : str
        `read` or `operate`.
    """

    name: str
    role: str


class Credentials:
    """Compares tokens with the configured SHA-256 hashes in constant time.

    Parameters
    ----------
    tokens : tuple of TokenSettings
        Names, roles and hashes of the tokens that are accepted.
    """

    def __init__(self, tokens: tuple[TokenSettings, ...]) -> None:
        self._tokens = tokens

    def authenticate(self, header: str | None) -> Identity:
        """Return the identity of the token in an `Authorization` header.

        Raises
        ------
        CredentialsError
            When the header is missing, is not a bearer token, or the token is unknown.
        """
        if header is None or not header.startswith(BEARER_PREFIX):
            raise CredentialsError(ResultCode.UNAUTHENTICATED, "send a bearer token")
        token = header.removeprefix(BEARER_PREFIX).strip()
        digest = hashlib.sha256(token.encode("utf-8", "replace")).hexdigest()
        identity = None
        for configured in self._tokens:
            if hmac.compare_digest(configured.sha256, digest):
                identity = Identity(configured.name, configured.role)
        if identity is None:
            raise CredentialsError(ResultCode.UNAUTHENTICATED, "the token is unknown")
        return identity

    def authorize(self, header: str | None, required_role: str) -> Identity:
        """Return the identity of the token if it has the required role.

        Raises
        ------
        CredentialsError
            When authentication fails, or `operate` is required and the token's role is
            `read`.
        """
        identity = self.authenticate(header)
        if required_role == OPERATE_ROLE and identity.role != OPERATE_ROLE:
            raise CredentialsError(
                ResultCode.FORBIDDEN, f"{identity.name} may only read"
            )
        return identity


__all__ = ["OPERATE_ROLE", "Credentials", "Identity"]
