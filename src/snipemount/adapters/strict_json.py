"""Strict JSON decoder: refuses NaN, infinities, duplicate keys and deep nesting."""

from __future__ import annotations

import json
from typing import Any

from ..errors import DecodeError


def loads(body: bytes, max_depth: int) -> Any:
    """Decode a JSON document.

    Raises
    ------
    DecodeError
        When `body` is not JSON, is nested deeper than `max_depth`, repeats a key in
        an object, or contains NaN or an infinite number.
    """
    _check_depth(body, max_depth)
    try:
        return json.loads(
            body,
            parse_constant=_reject_constant,
            parse_float=_parse_finite_float,
            object_pairs_hook=_reject_duplicate_keys,
        )
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error


def _check_depth(body: bytes, max_depth: int) -> None:
    depth = 0
    in_string = False
    escaped = False
    for byte in body:
        if in_string:
            if escaped:
                escaped = False
            elif byte == 0x5C:  # backslash
                escaped = True
            elif byte == 0x22:  # double quote
                in_string = False
        elif byte == 0x22:
            in_string = True
        elif byte in b"[{":
            depth += 1
            if depth > max_depth:
                raise DecodeError(f"nests deeper than {max_depth}")
        elif byte in b"]}":
            depth -= 1


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def _parse_finite_float(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("an object repeats a key")
    return document


__all__ = ["loads"]
