"""Settings of a daemon, read from TOML and checked."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any

import attrs

from .errors import SettingsError
from .strict_tables import FieldError, build

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
    """Identity and addresses of the daemon.

    Parameters
    ----------
    name : str
        Unique name.
    zone : str
        Availability zone.
    host : str
        IP number that the listeners bind to and peers connect to.
    caller_port : int
        Port for callers; 0 takes a free one.
    mesh_port : int
        Port for other daemons.
    """

    name: str = attrs.field(validator=_check_text)
    zone: str = attrs.field(validator=_check_text)
    host: str = attrs.field(default="127.0.0.1", validator=_check_text)
    caller_port: int = attrs.field(default=8400, validator=_check_port)
    mesh_port: int = attrs.field(default=8401, validator=_check_port)


@attrs.frozen
class PlatformSettings:
    """Where the platform's object API is.

    Parameters
    ----------
    url : str
        Base URL.
    call_timeout_ms : float
        Longest wait for one call.
    """

    url: str = attrs.field(validator=_check_text)
    call_timeout_ms: float = attrs.field(default=1000.0, validator=_check_positive)


@attrs.frozen
class CallerSettings:
    """Limits of the caller interface.

    Parameters
    ----------
    max_body_bytes : int
        Largest request body.
    max_depth : int
        Deepest nesting of a request body.
    """

    max_body_bytes: int = attrs.field(default=65536, validator=_check_positive)
    max_depth: int = attrs.field(default=16, validator=_check_positive)


@attrs.frozen
class StatsdSettings:
    """Where metrics go.

    Parameters
    ----------
    host : str
        IP number of the statsd server; empty sends none.
    port : int
        UDP port.
    prefix : str
        Start of every metric's name.
    """

    host: str = ""
    port: int = attrs.field(default=8125, validator=_check_port)
    prefix: str = attrs.field(default="snipemount", validator=_check_text)


@attrs.frozen
class LogSettings:
    """What is logged.

    Parameters
    ----------
    level : str
        One of debug, info, warning, error.
    """

    level: str = attrs.field(
        default="info",
        validator=attrs.validators.in_(("debug", "info", "warning", "error")),
    )


@attrs.frozen
class ShutdownSettings:
    """How a daemon stops.

    Parameters
    ----------
    balancer_grace_ms : float
        Time between the failing readiness check and the first refusal.
    drain_ms : float
        Longest time that running requests are given.
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
    """Who may use the administration interface.

    Parameters
    ----------
    name : str
        Who; stands in the log of every change.
    role : str
        `read`, or `operate` for changes too.
    sha256 : str
        SHA-256 of the bearer token, in hex.
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
        Port; 0 takes a free one.
    tokens : tuple of TokenSettings
        Credentials; without any, nothing is shown and nothing changed.
    """

    port: int = attrs.field(default=8402, validator=_check_port)
    tokens: tuple[TokenSettings, ...] = ()


@attrs.frozen
class TlsSettings:
    """Keys of the listeners and the mesh; without files there is no TLS.

    Parameters
    ----------
    certificate : str
        PEM file with the certificate chain.
    key : str
        PEM file with the private key.
    authority : str
        PEM file with the authority that signs the daemons' certificates.
    """

    certificate: str = ""
    key: str = ""
    authority: str = ""


@attrs.frozen
class SeedSettings:
    """A daemon to ask while the platform does not answer.

    Parameters
    ----------
    host : str
        IP number.
    mesh_port : int
        Port of its mesh listener.
    """

    host: str = attrs.field(validator=_check_text)
    mesh_port: int = attrs.field(validator=_check_port)


@attrs.frozen
class MeshSettings:
    """Mesh between the daemons.

    Parameters
    ----------
    seeds : tuple of SeedSettings
        Daemons to ask while the platform does not answer.
    """

    seeds: tuple[SeedSettings, ...] = ()


@attrs.frozen
class Settings:
    """All settings of a daemon; one attribute for each TOML table."""

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
    """Read and check a settings file.

    Raises
    ------
    SettingsError
        With one line that names the file or key and the reason.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Check settings given as TOML text.

    Raises
    ------
    SettingsError
        With one line that names the key and the reason.
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{source}: not TOML: {error}") from error
    try:
        return build(Settings, "", document)
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
