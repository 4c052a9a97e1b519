"""TLS of the listeners and the mesh, with keys that can be reloaded."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from .errors import SettingsError

if TYPE_CHECKING:
    from .settings import TlsSettings


class TlsKeys:
    """Contexts made from the settings; a reload serves new connections.

    Parameters
    ----------
    settings : TlsSettings
        Files with certificate, key and authority.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._contexts: list[ssl.SSLContext] = []

    @property
    def enabled(self) -> bool:
        """Whether a certificate is configured."""
        return bool(self._settings.certificate)

    def listener(self) -> ssl.SSLContext | None:
        """Return the context of a listener for callers and operators."""
        return self._make(ssl.PROTOCOL_TLS_SERVER) if self.enabled else None

    def mesh_listener(self) -> ssl.SSLContext | None:
        """Return the context of the mesh listener, which checks its peers."""
        if not self.enabled:
            return None
        context = self._make(ssl.PROTOCOL_TLS_SERVER)
        self._trust(context)
        context.verify_mode = ssl.CERT_REQUIRED
        return context

    def mesh_dialer(self) -> ssl.SSLContext | None:
        """Return the context with which other daemons are dialled."""
        if not self.enabled:
            return None
        context = self._make(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        self._trust(context)
        return context

    def reload(self) -> None:
        """Read the certificate and key again, for new connections.

        Raises
        ------
        SettingsError
            When a file cannot be used; the old keys stay in force.
        """
        self._load(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        for context in self._contexts:
            self._load(context)

    def _make(self, protocol: ssl._SSLMethod) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        self._contexts.append(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        settings = self._settings
        try:
            context.load_cert_chain(settings.certificate, settings.key)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"tls.certificate: cannot be used: {error}") from error

    def _trust(self, context: ssl.SSLContext) -> None:
        try:
            context.load_verify_locations(self._settings.authority)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(f"tls.authority: cannot be used: {error}") from error


__all__ = ["TlsKeys"]
