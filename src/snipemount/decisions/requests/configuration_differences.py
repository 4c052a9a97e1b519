"""Differences between two configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from ...model.configuration import ToAllShards, ToService, ToWeightedServices
from .configuration_findings import Added, Changed, MembersChanged, Removed

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from ...model.configuration import Configuration, Route, Target
    from ...model.identity import Organisation
    from .configuration_findings import Difference, Place, Value


def configuration_differences(
    old: Configuration, new: Configuration
) -> tuple[Difference, ...]:
    """Return what a new configuration changes; of keys only their number.

    Entries are compared by name; their order is not compared.
    """
    return tuple(_differences(old, new))


def _differences(old: Configuration, new: Configuration) -> Iterator[Difference]:
    yield from _changed(("version",), old.version, new.version)
    yield from _entries(("routes",), _routes(old), _routes(new))
    yield from _entries(("services",), _services(old), _services(new))
    limits = attrs.asdict(new.limits)
    for field, value in attrs.asdict(old.limits).items():
        yield from _changed(("limits", field), value, limits[field])
    place = ("organisations",)
    if (old.organisations is None) != (new.organisations is None):
        yield Removed(place) if new.organisations is None else Added(place)
    yield from _entries(place, _organisations(old), _organisations(new))


# Compared values of an entry, by their place in it; entries by name.
Values = dict[tuple[str, ...], Any]
Entries = dict[str, Values]


def _routes(configuration: Configuration) -> Entries:
    return {str(route.name): _route_values(route) for route in configuration.routes}


def _services(configuration: Configuration) -> Entries:
    return {
        str(name): {(field,): value for field, value in attrs.asdict(service).items()}
        for name, service in configuration.services.items()
    }


def _organisations(configuration: Configuration) -> Entries:
    return {
        organisation.name: _organisation_values(organisation)
        for organisation in configuration.organisations or ()
    }


def _organisation_values(organisation: Organisation) -> Values:
    return {
        ("api_keys",): organisation.api_keys,
        ("priority",): organisation.priority,
    }


def _route_values(route: Route) -> Values:
    values: Values = {
        (field,): value
        for field, value in attrs.asdict(route, recurse=False).items()
        if field != "target"
    }
    return values | {
        ("target", field): value for field, value in _target_values(route.target)
    }


def _target_values(target: Target) -> list[tuple[str, Any]]:
    match target:
        case ToService(service):
            return [("service", service)]
        case ToWeightedServices(parts):
            shares = ", ".join(f"{part.service} {part.weight:g}" for part in parts)
            return [("parts", shares)]
        case ToAllShards(shards, top_k, min_share):
            # A shard's name of another type may not be hashable.
            names = frozenset(str(shard) for shard in shards)
            return [("shards", names), ("top_k", top_k), ("min_share", min_share)]


def _entries(place: Place, old: Entries, new: Entries) -> Iterator[Difference]:
    for name in sorted(old.keys() - new.keys()):
        yield Removed((*place, name))
    for name in sorted(new.keys() - old.keys()):
        yield Added((*place, name))
    for name, values in old.items():
        if name in new:
            yield from _values((*place, name), values, new[name])


def _values(place: Place, old: Values, new: Values) -> Iterator[Difference]:
    for field in {**old, **new}:
        before, after = old.get(field), new.get(field)
        if field not in new:
            yield Removed((*place, *field))
        elif field not in old:
            yield Added((*place, *field))
        elif isinstance(before, frozenset) and isinstance(after, frozenset):
            yield from _changed_members((*place, *field), before, after)
        else:
            yield from _changed((*place, *field), before, after)


def _changed_members(
    place: Place, old: Collection[str], new: Collection[str]
) -> Iterator[Difference]:
    added, removed = set(new) - set(old), set(old) - set(new)
    if added or removed:
        counts = len(old), len(new), len(added), len(removed)
        yield MembersChanged(place, *counts)


def _changed(place: Place, old: Value, new: Value) -> Iterator[Difference]:
    if old != new:
        yield Changed(place, old, new)


__all__ = ["configuration_differences"]
