"""Files with a configuration in the platform's format, and the names of its fields."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from .documents import MS_PER_S, configuration_from, reason_of

if TYPE_CHECKING:
    from pathlib import Path

    from ..model.configuration import Configuration

# By attribute of the model. The target has no field of its own: its fields are the
# route's.
FIELD_NAMES = {
    "cold_requests_per_s": "warmup_per_s",
    "cold_start_ms": "cold_start_s",
    "idempotent": "type",
    "latency_objective_ms": "target_latency_ms",
    "max_connections": "max_conns",
    "min_share": "min_coverage",
    "organisations": "tenants",
    "parts": "weighted_backends",
    "prefix": "path_prefix",
    "service": "backend",
    "services": "backends",
    "shards": "gather",
}
MAX_SHOWN_CHARACTERS = 80


def read_configuration(path: Path) -> Configuration:
    """Read a file that holds the document of a configuration.

    Raises
    ------
    DecodeError
        When the file cannot be read or decoded; `detail` is the reason, without keys.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
        if not isinstance(document, dict):
            raise TypeError(f"a value of type {type(document).__name__} is no object")
        return configuration_from(document)
    except (OSError, *MALFORMED_INPUT_ERRORS) as error:
        raise DecodeError(reason_of(error)) from error


def place_name(place: tuple[str | int, ...]) -> str:
    """Return a place in a configuration as the file names it.

    Parameters
    ----------
    place : tuple of str or int
        Attributes of the model, and after a list's name a position or a name in it.
    """
    text, in_list = "", False
    for part in place:
        if isinstance(part, int):
            text += f"[{part}]"
        elif in_list:
            text += f"[{shown(part)}]"
        elif part != "target":
            text += f".{FIELD_NAMES.get(part, part)}"
        in_list = part in ("routes", "services", "organisations") and not in_list
    return text.removeprefix(".")


def field_value(place: tuple[str | int, ...], value: object) -> str:
    """Return a value of the model as the file states it, shortened if it is long."""
    match place[-1], value:
        case "idempotent", bool():
            return "'idempotent'" if value else "not 'idempotent'"
        case "cold_start_ms", int() | float():
            return f"{value / MS_PER_S:g}"
        case _, None:
            return "absent"
        case _, float():
            return f"{value:.15g}"
    return shown(value)


def shown(value: object) -> str:
    """Return the literal of a value, shortened if it is long."""
    text = repr(value)
    if len(text) <= MAX_SHOWN_CHARACTERS:
        return text
    return f"{text[:MAX_SHOWN_CHARACTERS]}..."


__all__ = ["field_value", "place_name", "read_configuration"]
