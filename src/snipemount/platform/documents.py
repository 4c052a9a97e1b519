"""Decoders for the documents of the platform's store."""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, Any, TypeVar

from ..errors import MALFORMED_INPUT_ERRORS, DecodeError
from ..finite import finite_number
from ..model.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceTraits,
    ToAllShards,
    ToService,
    ToWeightedServices,
    WeightedService,
)
from ..model.leaf import Leaf, VersionOrder
from .organisation_documents import decode_organisations

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..model.configuration import Target
    from ..ports.platform import StoredObject

T = TypeVar("T")

MS_PER_S = 1000.0
MAX_PORT = 65535
MOVE_STATES = {"running": "running", "completed": "done", "rolled_back": "taken_back"}
MAX_SLOTS = 1_000_000
MAX_COUNT = 2**53
MAX_COLD_MS = 86_400_000.0


def decode_configuration(stored: StoredObject) -> Configuration:
    """Decode a configuration object.

    Raises
    ------
    DecodeError
        When a field is missing or has another type, or an organisation is malformed.
    """
    try:
        return configuration_from(stored.spec)
    except MALFORMED_INPUT_ERRORS as error:
        raise DecodeError(f"{stored.kind.value}/{stored.name}: {error!r}") from error


def configuration_from(spec: dict[str, Any]) -> Configuration:
    """Return the configuration of a document.

    Raises
    ------
    MALFORMED_INPUT_ERRORS
        When a field is missing or has another type, or an organisation is malformed.
    """
    services = _decode_items("backends", _service, spec.get("backends") or ())
    return Configuration(
        version=_field("version", _count, spec["version"]),
        routes=_decode_items("routes", _route, spec["routes"]),
        services={service.name: service for service in services},
        limits=_limits(spec.get("limits") or {}),
        organisations=decode_organisations(spec.get("tenants")),
    )


def _decode_items(
    field: str, decode: Callable[[dict[str, Any]], T], items: Iterable[dict[str, Any]]
) -> tuple[T, ...]:
    """Decode the items of a list; an error names the position of the item."""
    decoded = []
    for position, item in enumerate(items):
        try:
            decoded.append(decode(item))
        except MALFORMED_INPUT_ERRORS as error:
            raise ValueError(f"{field}[{position}]: {reason_of(error)}") from error
    return tuple(decoded)


def reason_of(error: Exception) -> str:
    """Return what is wrong with a document, as the error of its decoder says."""
    match error:
        case KeyError():
            return f"the field {error} is missing"
        case _:
            return str(error)


def _route(item: dict[str, Any]) -> Route:
    timeout_ms = _finite(item, "timeout_ms")
    return Route(
        name=item["name"],
        host=item["host"],
        prefix=item["path_prefix"],
        target=_target(item),
        idempotent=item["type"] == "idempotent",
        timeout_ms=timeout_ms,
        latency_objective_ms=_finite(item, "target_latency_ms", timeout_ms),
        max_attempts=max(1, _whole(item, "max_attempts", 1)),
        priority=_whole(item, "priority", 0),
        public=_public(item),
    )


def _public(item: dict[str, Any]) -> bool:
    value = item.get("public")
    if value is not None and not isinstance(value, bool):
        # Any other value must not open a route to callers without a key.
        shown = f"{value!r:.60} of route {item['name']!r}"
        raise TypeError(f"public: {shown} is not a boolean")
    return bool(value)


def _target(item: dict[str, Any]) -> Target:
    if item.get("gather"):
        shards = tuple(item["gather"])
        return ToAllShards(
            shards,
            _field("top_k", _count, item["top_k"]),
            _finite(item, "min_coverage", 0.0),
        )
    if item.get("weighted_backends"):
        parts = item["weighted_backends"]
        return ToWeightedServices(
            tuple(WeightedService(p["backend"], _finite(p, "weight")) for p in parts)
        )
    return ToService(item["backend"])


def _service(item: dict[str, Any]) -> ServiceTraits:
    return ServiceTraits(
        name=item["name"],
        health_path=item.get("health_path") or "/",
        max_connections=max(1, _whole(item, "max_conns", 1)),
        cold_start_ms=_finite(item, "cold_start_s", 0.0) * MS_PER_S,
        cold_requests_per_s=_finite(item, "warmup_per_s", 0.0),
    )


def _limits(item: dict[str, Any]) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        _whole(item, "max_header_bytes", defaults.max_header_bytes),
        _whole(item, "max_body_bytes", defaults.max_body_bytes),
        _finite(item, "header_timeout_ms", defaults.header_timeout_ms),
        _finite(item, "idle_timeout_ms", defaults.idle_timeout_ms),
    )


def _finite(item: dict[str, Any], key: str, default: float | None = None) -> float:
    value = item[key] if default is None else item.get(key) or default
    return _field(key, finite_number, value)


def _whole(item: dict[str, Any], key: str, default: int) -> int:
    return _field(key, _count, item.get(key) or default)


def _field(key: str, convert: Callable[[Any], T], value: Any) -> T:
    """Convert the value of a field; an error names the field."""
    try:
        return convert(value)
    except MALFORMED_INPUT_ERRORS as error:
        raise ValueError(f"{key}: {error}") from error


def decode_leaf(stored: StoredObject) -> Leaf:
    """Decode a leaf's entry in the directory.

    Raises
    ------
    DecodeError
        When a field is missing, has another type or is out of range. Entries are
        written by other processes, so every field is checked.
    """
    spec = stored.spec
    try:
        host, _, port_text = _text(spec, "address").rpartition(":")
        port = int(port_text)
        state = _text(spec, "state")
        if not 0 < port <= MAX_PORT or state not in ("ready", "draining"):
            raise ValueError("port is out of range, or state is unknown")
        if not (stored.name.isascii() and stored.name.isprintable()):
            raise ValueError("the name cannot be sent in a header")
        return Leaf(
            leaf_id=stored.name,
            service=_text(spec, "backend"),
            host=str(ip_address(host)),
            port=port,
            zone=_text(spec, "zone"),
            version=_text(spec, "version"),
            slots=min(MAX_SLOTS, max(1, _integer(spec, "max_concurrency"))),
            draining=state == "draining",
            cold_ms=min(MAX_COLD_MS, finite_number(_number(spec, "cold_remaining_ms"))),
            started_wall_ms=float(_started_wall_ms(stored)),
        )
    except MALFORMED_INPUT_ERRORS as error:
        raise DecodeError(f"{stored.kind.value}/{stored.name}: {error!r}") from error


def _started_wall_ms(stored: StoredObject) -> int:
    # Unlike the other fields, "born" is not reported by the leaf itself; a valid value
    # is always an integer.
    born = stored.spec.get("born", 0)
    if isinstance(born, bool) or not isinstance(born, int):
        raise TypeError("field 'born' is not an integer")
    return born


def _text(spec: dict[str, Any], key: str) -> str:
    value = spec[key]
    if not isinstance(value, str) or not value:
        raise TypeError(f"field {key!r} is not a non-empty string")
    return value


def _number(spec: dict[str, Any], key: str) -> float:
    value = spec.get(key, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"field {key!r} is not a number")
    return value


def _count(value: Any) -> int:
    number = int(value)
    if abs(number) > MAX_COUNT:
        raise ValueError(f"a number of {len(str(number))} digits is too large")
    return number


def _integer(spec: dict[str, Any], key: str) -> int:
    value = spec[key]
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"field {key!r} is not an integer")
    return value


def decode_version_order(stored: StoredObject) -> VersionOrder:
    """Decode the operators' order to move a service to a version.

    Raises
    ------
    DecodeError
        When a field is missing or has another type.
    """
    spec = stored.spec
    status = stored.status or {}
    try:
        return VersionOrder(
            service=_text(spec, "backend"),
            to_version=_text(spec, "target_version"),
            duration_ms=finite_number(spec["duration_s"]) * MS_PER_S,
            revision=stored.created_version,
            status=MOVE_STATES.get(str(status.get("state") or ""), ""),
        )
    except MALFORMED_INPUT_ERRORS as error:
        raise DecodeError(f"{stored.kind.value}/{stored.name}: {error!r}") from error


def configuration_rank(stored: StoredObject) -> int | None:
    """Return the version that a configuration states; None if it cannot be read."""
    try:
        return _count(stored.spec["version"])
    except MALFORMED_INPUT_ERRORS:
        return None


def leaf_rank(stored: StoredObject) -> tuple[int, int] | None:
    """Return the start of a leaf and the number of its heartbeat.

    None if one of them cannot be read.
    """
    try:
        return _started_wall_ms(stored), _integer(stored.spec, "seq")
    except MALFORMED_INPUT_ERRORS:
        return None


class PlatformDecoders:
    """Decoders, by kind, for the objects that the serving path watches."""

    configuration = staticmethod(decode_configuration)
    configuration_rank = staticmethod(configuration_rank)
    leaf = staticmethod(decode_leaf)
    leaf_rank = staticmethod(leaf_rank)
    version_order = staticmethod(decode_version_order)


__all__ = [
    "PlatformDecoders",
    "configuration_from",
    "decode_configuration",
    "decode_leaf",
    "decode_version_order",
    "reason_of",
]
