"""Settings of a daemon, read from TOML and checked."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING, Any, get_type_hints

import attrs

from .errors import SettingsError

if TYPE_CHECKING:
    from pathlib import Path

MAX_PORT = 65535


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
        Port for other daemons; 0 takes a free one.
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


@attrs.frozen
class Settings:
    """All settings of a daemon; one attribute for each TOML table."""

    daemon: DaemonSettings
    platform: PlatformSettings
    caller: CallerSettings = CallerSettings()
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()
    shutdown: ShutdownSettings = ShutdownSettings()


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
    tables = get_type_hints(Settings)
    _refuse_unknown(document, tables, "")
    parts = {
        name: _build_table(cls, name, document.get(name))
        for name, cls in tables.items()
    }
    return Settings(**parts)


def _build_table(cls: type[Any], name: str, table: object) -> Any:
    if table is None:
        table = {}
    if not isinstance(table, dict):
        raise SettingsError(f"{name}: must be a table")
    types = get_type_hints(cls)
    _refuse_unknown(table, types, f"{name}.")
    values = {}
    for key, value in table.items():
        values[key] = _check_type(f"{name}.{key}", value, types[key])
    for attribute in attrs.fields(cls):
        if attribute.default is attrs.NOTHING and attribute.name not in values:
            raise SettingsError(f"{name}.{attribute.name}: missing")
    return _construct(cls, name, values)


def _construct(cls: type[Any], name: str, values: dict[str, Any]) -> Any:
    for attribute in attrs.fields(cls):
        if attribute.validator is None or attribute.name not in values:
            continue
        try:
            attribute.validator(None, attribute, values[attribute.name])
        except ValueError as error:
            reason = error.args[0]
            raise SettingsError(f"{name}.{attribute.name}: {reason}") from error
    return cls(**values)


def _refuse_unknown(table: dict[str, Any], known: dict[str, Any], prefix: str) -> None:
    for key in table:
        if key not in known:
            raise SettingsError(f"{prefix}{key}: unknown key")


def _check_type(key: str, value: object, wanted: type[Any]) -> object:
    if wanted is float and type(value) is int:
        return float(value)
    if type(value) is not wanted:
        found = type(value).__name__
        raise SettingsError(f"{key}: must be {wanted.__name__}, not {found}")
    return value


__all__ = [
    "CallerSettings",
    "DaemonSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "ShutdownSettings",
    "StatsdSettings",
    "load_settings",
    "parse_settings",
]
