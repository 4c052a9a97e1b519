"""TLS contexts of the listeners and the mesh, with keys that can be reloaded."""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING

from .errors import SettingsError

if TYPE_CHECKING:
    from .settings import TlsSettings


class TlsContexts:
    """Creates TLS contexts and reloads their certificate and key in place.

    A reload applies to new connections; open ones keep their keys.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the certificate, key and authority files; no certificate turns
        TLS off.
    """

    def __init__(self, settings: TlsSettings) -> None:
        self._settings = settings
        self._contexts: list[ssl.SSLContext] = []

    @property
    def enabled(self) -> bool:
        """Whether the settings name a certificate."""
        return bool(self._settings.certificate)

    def listener_context(self) -> ssl.SSLContext | None:
        """Return a context for the caller or admin listener, or None without TLS.

        Raises
        ------
        SettingsError
            When the certificate or key cannot be loaded.
        """
        return self._new_context(ssl.PROTOCOL_TLS_SERVER) if self.enabled else None

    def mesh_listener_context(self) -> ssl.SSLContext | None:
        """Return the context of the mesh listener, or None without TLS.

        It requires a client certificate that the configured authority has signed.

        Raises
        ------
        SettingsError
            When the certificate, key or authority cannot be loaded.
        """
        if not self.enabled:
            return None
        context = self._new_context(ssl.PROTOCOL_TLS_SERVER)
        self._load_authority(context)
        context.verify_mode = ssl.CERT_REQUIRED
        return context

    def mesh_client_context(self) -> ssl.SSLContext | None:
        """Return the context for connections to other daemons, or None without TLS.

        It verifies the authority of the peer's certificate but not the host name.

        Raises
        ------
        SettingsError
            When the certificate, key or authority cannot be loaded.
        """
        if not self.enabled:
            return None
        context = self._new_context(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = False
        self._load_authority(context)
        return context

    def reload(self) -> None:
        """Load the certificate and key again, for new connections.

        They are loaded into a new context first, so that a faulty file does not
        reach the contexts in use.

        Raises
        ------
        SettingsError
            When a file cannot be loaded; the old keys stay in use.
        """
        self._load_keys(ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        for context in self._contexts:
            self._load_keys(context)

    def _new_context(self, protocol: ssl._SSLMethod) -> ssl.SSLContext:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load_keys(context)
        self._contexts.append(context)
        return context

    def _load_keys(self, context: ssl.SSLContext) -> None:
        settings = self._settings
        try:
            context.load_cert_chain(settings.certificate, settings.key)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f"tls.certificate: cannot load {settings.certificate} "
                f"with key {settings.key}: {error}"
            ) from error

    def _load_authority(self, context: ssl.SSLContext) -> None:
        try:
            context.load_verify_locations(self._settings.authority)
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f"tls.authority: cannot load {self._settings.authority}: {error}"
            ) from error


__all__ = ["TlsContexts"]
