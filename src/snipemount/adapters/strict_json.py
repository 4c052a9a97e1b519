"""JSON with bounds: no NaN, no duplicate keys, limited depth."""

from __future__ import annotations

import json
from typing import Any

from ..errors import DecodeError


def loads(body: bytes, max_depth: int) -> Any:
    """Return the document in `body`.

    Raises
    ------
    DecodeError
        When it is not JSON, nests deeper than `max_depth`, repeats a key or
        holds NaN or an infinity.
    """
    _check_depth(body, max_depth)
    try:
        return json.loads(
            body,
            parse_constant=_refuse_constant,
            parse_float=_finite,
            object_pairs_hook=_unique,
        )
    except (ValueError, RecursionError) as error:
        raise DecodeError(f"not JSON: {error}") from error


def _check_depth(body: bytes, max_depth: int) -> None:
    depth = 0
    in_text = False
    escaped = False
    for byte in body:
        if in_text:
            if escaped:
                escaped = False
            elif byte == 0x5C:
                escaped = True
            elif byte == 0x22:
                in_text = False
        elif byte == 0x22:
            in_text = True
        elif byte in b"[{":
            depth += 1
            if depth > max_depth:
                raise DecodeError(f"nests deeper than {max_depth}")
        elif byte in b"]}":
            depth -= 1


def _refuse_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def _finite(text: str) -> float:
    value = float(text)
    if value in (float("inf"), float("-inf")):
        raise ValueError(f"{text} is out of range")
    return value


def _unique(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) != len(pairs):
        raise ValueError("an object repeats a key")
    return document


__all__ = ["loads"]
