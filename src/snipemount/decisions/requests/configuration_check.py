"""Check of a configuration before operators put it in force."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ...model.configuration import ToAllShards, ToService, ToWeightedServices
from .configuration_findings import Contradiction, Invalid, NeverMatches

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ...model.configuration import (
        CallerLimits,
        Configuration,
        Route,
        ServiceTraits,
        WeightedService,
    )
    from .configuration_findings import Finding, Place


def check_configuration(
    configuration: Configuration, in_force: Configuration | None = None
) -> tuple[Finding, ...]:
    """Return what is wrong with a configuration, in the order of its entries.

    Parameters
    ----------
    configuration : Configuration
        Configuration to check.
    in_force : Configuration or None
        Configuration that it would replace, if known.
    """
    return tuple(_findings(configuration, in_force))


def _findings(new: Configuration, old: Configuration | None) -> Iterator[Finding]:
    if old is not None and new.version <= old.version:
        reason = f"is not newer than {old.version}, the version in force"
        yield Contradiction(("version",), new.version, reason)
    for position, route in enumerate(new.routes):
        place = ("routes", position)
        yield from _route_fields(place, route)
        yield from _target(place, route, new.services)
    yield from _overlaps(new.routes)
    for name in new.services:
        yield from _text(("services", str(name), "name"), name)
    yield from _limits(new.limits)


def _route_fields(place: Place, route: Route) -> Iterator[Finding]:
    for field in ("name", "host", "prefix"):
        yield from _text((*place, field), getattr(route, field))
    if route.priority < 0:
        yield Invalid((*place, "priority"), route.priority, "must be at least 0")
    prefix = route.prefix
    if isinstance(prefix, str) and not (prefix[:1] == prefix[-1:] == "/"):
        reason = "matches no path: it must begin and end with a slash"
        yield NeverMatches((*place, "prefix"), prefix, reason)
    objective = (*place, "latency_objective_ms")
    if route.timeout_ms <= 0:
        yield Invalid((*place, "timeout_ms"), route.timeout_ms, "must be above 0")
    elif route.latency_objective_ms > route.timeout_ms:
        reason = f"is longer than the timeout of {route.timeout_ms:g} ms"
        yield Contradiction(objective, route.latency_objective_ms, reason)
    if route.latency_objective_ms < 0:
        yield Invalid(objective, route.latency_objective_ms, "must be above 0")


def _target(
    place: Place, route: Route, services: dict[str, ServiceTraits]
) -> Iterator[Finding]:
    target = (*place, "target")
    match route.target:
        case ToService(service):
            yield from _listed((*target, "service"), service, services)
        case ToWeightedServices(parts):
            yield from _weights((*target, "parts"), parts, services)
        case ToAllShards(shards=shards):
            yield from _shards((*target, "shards"), shards, services)
            yield from _merge_limits(target, route.target)


def _weights(
    place: Place,
    parts: tuple[WeightedService, ...],
    services: dict[str, ServiceTraits],
) -> Iterator[Finding]:
    total = sum(part.weight for part in parts)
    if all(part.weight == 0 for part in parts):
        reason = f"all weights are 0, so {parts[0].service!r:.60} gets every request"
        yield Contradiction((*place, 0, "weight"), parts[0].weight, reason)
    for position, part in enumerate(parts):
        yield from _listed((*place, position, "service"), part.service, services)
        weight = (*place, position, "weight")
        if part.weight < 0:
            yield Invalid(weight, part.weight, "must be at least 0")
        elif part.weight == 0 and total > 0:
            reason = f"{part.service!r:.60} gets no requests of the route"
            yield NeverMatches(weight, part.weight, reason)


def _shards(
    place: Place, shards: tuple[Any, ...], services: dict[str, ServiceTraits]
) -> Iterator[Finding]:
    first_positions: dict[Any, int] = {}
    for position, shard in enumerate(shards):
        yield from _listed((*place, position), shard, services)
        if not isinstance(shard, str):
            continue
        first = first_positions.setdefault(shard, position)
        if first != position:
            reason = f"is named twice: position {first} has it too"
            yield NeverMatches((*place, position), shard, reason)


def _merge_limits(place: Place, target: ToAllShards) -> Iterator[Finding]:
    if target.top_k < 1:
        yield Invalid((*place, "top_k"), target.top_k, "must be at least 1")
    share = (*place, "min_share")
    if target.min_share > 1:
        reason = f"needs more shards than the {len(target.shards)} of the route"
        yield Contradiction(share, target.min_share, reason)
    elif target.min_share <= 0:
        reason = "needs no shard: the answer of a single one is sufficient"
        yield Contradiction(share, target.min_share, reason)


def _listed(
    place: Place, service: Any, services: dict[str, ServiceTraits]
) -> Iterator[Finding]:
    yield from _text(place, service)
    if isinstance(service, str) and service not in services:
        reason = "is not among the services that the configuration lists"
        yield NeverMatches(place, service, reason)


def _text(place: Place, value: Any) -> Iterator[Finding]:
    # The decoder takes texts as they are; another type fails only when it is used.
    if not isinstance(value, str):
        yield Invalid(place, value, "must be a string")


def _overlaps(routes: Iterable[Route]) -> Iterator[Finding]:
    """Find routes with the same name, and routes that a later one replaces."""
    last_positions: dict[tuple[str, str], int] = {}
    named: dict[str, int] = {}
    findings: list[Finding] = []
    for position, route in reversed(list(enumerate(routes))):
        if isinstance(route.host, str) and isinstance(route.prefix, str):
            key = (route.host.lower(), route.prefix)
            last = last_positions.setdefault(key, position)
            if last != position:
                reason = f"position {last} has the same host and prefix, and is used"
                place = ("routes", position, "prefix")
                findings.append(NeverMatches(place, route.prefix, reason))
        if isinstance(route.name, str):
            last = named.setdefault(route.name, position)
            if last != position:
                reason = f"is the name of position {last} too; names must be unique"
                place = ("routes", position, "name")
                findings.append(Contradiction(place, route.name, reason))
    yield from reversed(findings)


def _limits(limits: CallerLimits) -> Iterator[Finding]:
    for field, value in attrs.asdict(limits).items():
        if value <= 0:
            yield Invalid(("limits", field), value, "must be above 0")


__all__ = ["check_configuration"]
