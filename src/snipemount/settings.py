"""Settings of a daemon, read from a TOML file and validated."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

import attrs

from .errors import SettingsError
from .ports.store_address import DEFAULT_CALL_TIMEOUT_MS
from .strict_tables import FieldError, convert_table

if TYPE_CHECKING:
    from pathlib import Path

MAX_PORT = 65535
ROLES = ("read", "operate")
SHA256_HEX_CHARS = 64


def _check_port(instance: object, attribute: attrs.Attribute[int], value: int) -> None:
    if not 0 <= value <= MAX_PORT:
        raise ValueError(f"must be between 0 and {MAX_PORT}")


def _check_positive(
    instance: object, attribute: attrs.Attribute[Any], value: float
) -> None:
    if not 0 < value < float("inf"):
        raise ValueError("must be a finite number greater than 0")


def _check_text(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    if not value.strip():
        raise ValueError("must not be empty")


@attrs.frozen
class DaemonSettings:
    """Name, zone and addresses of the daemon.

    Parameters
    ----------
    name : str
        Name, unique among all daemons.
    zone : str
        Availability zone in which the daemon runs.
    host : str
        IP address that the listeners bind to and peers connect to.
    caller_port : int
        TCP port for callers; 0 binds a free port.
    mesh_port : int
        TCP port for other daemons.
    """

    name: str = attrs.field(validator=_check_text)
    zone: str = attrs.field(validator=_check_text)
    host: str = attrs.field(default="127.0.0.1", validator=_check_text)
    caller_port: int = attrs.field(default=8400, validator=_check_port)
    mesh_port: int = attrs.field(default=8401, validator=_check_port)


@attrs.frozen
class PlatformSettings:
    """Connection to the platform's object API.

    Parameters
    ----------
    url : str
        Base URL of the object API.
    call_timeout_ms : float
        Timeout of one call.
    """

    url: str = attrs.field(validator=_check_text)
    call_timeout_ms: float = attrs.field(
        default=DEFAULT_CALL_TIMEOUT_MS, validator=_check_positive
    )


@attrs.frozen
class CallerSettings:
    """Limits on request bodies at the caller interface.

    Parameters
    ----------
    max_body_bytes : int
        Maximum size of a request body.
    max_depth : int
        Maximum nesting depth of a request body.
    """

    max_body_bytes: int = attrs.field(default=65536, validator=_check_positive)
    max_depth: int = attrs.field(default=16, validator=_check_positive)


@attrs.frozen
class StatsdSettings:
    """Destination of the metrics.

    Parameters
    ----------
    host : str
        IP address of the statsd server; empty turns metrics off.
    port : int
        UDP port of the statsd server.
    prefix : str
        Prefix of all metric names.
    """

    host: str = ""
    port: int = attrs.field(default=8125, validator=_check_port)
    prefix: str = attrs.field(default="snipemount", validator=_check_text)


@attrs.frozen
class LogSettings:
    """Verbosity of the log.

    Parameters
    ----------
    level : str
        Lowest level that is logged: debug, info, warning or error.
    """

    level: str = attrs.field(
        default="info",
        validator=attrs.validators.in_(("debug", "info", "warning", "error")),
    )


@attrs.frozen
class ShutdownSettings:
    """Times of a graceful shutdown.

    Parameters
    ----------
    balancer_grace_ms : float
        Time between the first failing readiness check and the first refused request.
    drain_ms : float
        Maximum time for running requests to complete.
    """

    balancer_grace_ms: float = attrs.field(default=2000.0, validator=_check_positive)
    drain_ms: float = attrs.field(default=15_000.0, validator=_check_positive)


def _check_role(instance: object, attribute: attrs.Attribute[str], value: str) -> None:
    if value not in ROLES:
        raise ValueError(f"must be one of {', '.join(ROLES)}")


def _check_sha256(
    instance: object, attribute: attrs.Attribute[str], value: str
) -> None:
    if len(value) != SHA256_HEX_CHARS or set(value) - set("0123456789abcdef"):
        raise ValueError("must be the SHA-256 of the token in lower-case hex")


@attrs.frozen
class TokenSettings:
    """Credential for the administration interface.

    Parameters
    ----------
    name : str
        Name of the holder; logged with every change.
    role : str
        `read`, or `operate` to also allow changes.
    sha256 : str
        SHA-256 of the bearer token, in lower-case hex.
    """

    name: str = attrs.field(validator=_check_text)
    role: str = attrs.field(validator=_check_role)
    sha256: str = attrs.field(validator=_check_sha256)


@attrs.frozen
class AdminSettings:
    """Administration interface.

    Parameters
    ----------
    port : int
        TCP port for operators; 0 binds a free port.
    tokens : tuple of TokenSettings
        Accepted credentials; without any, every operation is refused.
    """

    port: int = attrs.field(default=8402, validator=_check_port)
    tokens: tuple[TokenSettings, ...] = ()


@attrs.frozen
class TlsSettings:
    """TLS files for the listeners and the mesh; no certificate turns TLS off.

    Parameters
    ----------
    certificate : str
        PEM file with the certificate chain.
    key : str
        PEM file with the private key.
    authority : str
        PEM file with the authority that has signed the daemons' certificates.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class SeedSettings:
    """Address of a daemon that is contacted until the catalogue is ready.

    Parameters
    ----------
    host : str
        IP address of the daemon.
    mesh_port : int
        TCP port of its mesh listener.
    """

    host: str = attrs.field(validator=_check_text)
    mesh_port: int = attrs.field(validator=_check_port)


@attrs.frozen
class MeshSettings:
    """Mesh of connections between the daemons.

    Parameters
    ----------
    seeds : tuple of SeedSettings
        Daemons that are contacted until the catalogue is ready, so that they can
        supply it while the platform is unreachable.
    """

    seeds: tuple[SeedSettings, ...] = ()


@attrs.frozen
class Settings:
    """All settings of a daemon, one attribute for each TOML table."""

    daemon: DaemonSettings
    platform: PlatformSettings
    caller: CallerSettings = CallerSettings()
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    admin: AdminSettings = AdminSettings()
    tls: TlsSettings = TlsSettings()
    mesh: MeshSettings = MeshSettings()


def load_settings(path: Path) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        When the file cannot be read or is invalid; the one-line message names the
        file or key and the reason.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate settings given as TOML text.

    Parameters
    ----------
    text : str
        Content of a settings file.
    source : str
        Name of the text in error messages.

    Raises
    ------
    SettingsError
        When the text is not TOML or a setting is invalid; the one-line message
        names the source or key and the reason.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not valid TOML: {error}") from error
    try:
        return convert_table(Settings, "", document)
    except FieldError as error:
        raise SettingsError(str(error)) from error


__all__ = [
    "AdminSettings",
    "CallerSettings",
    "DaemonSettings",
    "LogSettings",
    "MeshSettings",
    "PlatformSettings",
    "SeedSettings",
    "Settings",
    "ShutdownSettings",
    "StatsdSettings",
    "TlsSettings",
    "TokenSettings",
    "load_settings",
    "parse_settings",
]
