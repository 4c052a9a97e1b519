"""Validation of profiles."""

from __future__ import annotations

from typing import Any

import attrs

from ...errors import RequestError, ResultCode
from ...model.profile import Profile
from ...strict_tables import FieldError, convert_table

MAX_ROUTES = 100
MAX_NAME_CHARS = 100


def check_profile(name: str, document: Any) -> Profile:
    """Validate a decoded document and return its profile.

    Raises
    ------
    RequestError
        With code `INVALID_FIELD`, the name of the invalid field and the reason.
    """
    try:
        profile = convert_table(
            Profile, "", {**_settable_fields(document), "name": name}
        )
        _check_fields(profile)
    except FieldError as error:
        raise RequestError(ResultCode.INVALID_FIELD, str(error)) from error
    return profile


def differences(old: Profile, new: Profile) -> tuple[str, ...]:
    """Return a line with old and new value for each field that differs.

    `revision` and `operation` are not compared.
    """
    before, after = attrs.asdict(old), attrs.asdict(new)
    ignored = {"revision", "operation"}
    return tuple(
        f"{key}: {before[key]} -> {after[key]}"
        for key in before
        if key not in ignored and before[key] != after[key]
    )


def _settable_fields(document: Any) -> dict[str, Any]:
    if not isinstance(document, dict):
        raise FieldError("profile", "must be a table")
    for key in ("revision", "operation"):
        if key in document:
            raise FieldError(key, "is set by the server and must be left out")
    return document


def _check_fields(profile: Profile) -> None:
    rules = (
        (
            0 < len(profile.name) <= MAX_NAME_CHARS,
            "name",
            "must have 1 to 100 characters",
        ),
        (bool(profile.routes), "routes", "must name at least one route"),
        (len(profile.routes) <= MAX_ROUTES, "routes", "must have at most 100 entries"),
        (
            _has_unique_route_names(profile),
            "routes",
            "must have unique, non-empty names",
        ),
        (
            0 < profile.default_deadline_ms <= profile.max_deadline_ms < float("inf"),
            "default_deadline_ms",
            "must be above 0 and at most max_deadline_ms",
        ),
        (profile.max_top_k >= 1, "max_top_k", "must be at least 1"),
        (0.5 <= profile.hedge_quantile < 1, "hedge_quantile", "must be in [0.5, 1)"),
        (0 <= profile.proving_servers <= 2, "proving_servers", "must be 0, 1 or 2"),
        (
            profile.claim_retention_ms >= 60_000,
            "claim_retention_ms",
            "must be at least 60000",
        ),
    )
    _require_all(rules)
    _check_limits(profile)


def _check_limits(profile: Profile) -> None:
    load, cold, queue = profile.extra_load, profile.cold_start, profile.queue
    rules = (
        (
            0 <= load.ordinary <= load.faulty <= 0.10,
            "extra_load",
            "needs 0 <= ordinary <= faulty <= 0.1",
        ),
        (0 <= load.burst <= 1000, "extra_load.burst", "must be in [0, 1000]"),
        (
            0 < cold.initial_fraction <= 0.5,
            "cold_start.initial_fraction",
            "must be in (0, 0.5]",
        ),
        (1 < cold.growth <= 2, "cold_start.growth", "must be in (1, 2]"),
        (cold.step_ms >= 100, "cold_start.step_ms", "must be at least 100"),
        (
            1 <= cold.proven_answers <= cold.answers,
            "cold_start.proven_answers",
            "must be from 1 to answers",
        ),
        (1 <= queue.length <= 10_000, "queue.length", "must be in [1, 10000]"),
        (
            0 < queue.target_wait_ms <= queue.admission_wait_ms <= queue.wait_ms,
            "queue",
            "needs 0 < target_wait_ms <= admission_wait_ms <= wait_ms",
        ),
        (
            queue.wait_ms < profile.max_deadline_ms,
            "queue.wait_ms",
            "must be below max_deadline_ms",
        ),
    )
    _require_all(rules)


def _require_all(rules: tuple[tuple[bool, str, str], ...]) -> None:
    for holds, key, reason in rules:
        if not holds:
            raise FieldError(key, reason)


def _has_unique_route_names(profile: Profile) -> bool:
    names = [route.name for route in profile.routes]
    return len(names) == len(set(names)) and all(names)


__all__ = ["check_profile", "differences"]
