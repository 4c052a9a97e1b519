"""Strict conversion of decoded tables, such as TOML, to attrs classes."""

from __future__ import annotations

from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import attrs

T = TypeVar("T")


class FieldError(ValueError):
    """A key of a table is unknown, missing or has an invalid value.

    Parameters
    ----------
    key : str
        Dotted path of the key.
    reason : str
        Rule that the key or its value breaks.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


def convert_table(cls: type[T], name: str, table: object) -> T:
    """Convert a table to an instance of `cls`.

    Nested tables become attrs classes; a missing one without a default counts as
    empty. Lists become tuples, and an integer is accepted where a float is expected;
    no other value is converted.

    Parameters
    ----------
    cls : type
        attrs class whose attributes are scalars, attrs classes, or tuples of
        either.
    name : str
        Dotted path of the table in error messages; empty for the outermost one.
    table : object
        Decoded table; anything but a dict is refused.

    Raises
    ------
    FieldError
        When a key is unknown or missing, or its value has the wrong type or is
        refused by the validator of the attribute.
    """
    if not isinstance(table, dict):
        raise FieldError(name or "document", "must be a table")
    types = get_type_hints(cls)
    fields = attrs.fields_dict(cls)  # type: ignore[arg-type]
    for key in table:
        if key not in fields:
            raise FieldError(_join_path(name, str(key)), "unknown key")
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in table:
            values[key] = _convert(_join_path(name, key), table[key], types[key])
            _validate(field, _join_path(name, key), values[key])
        elif field.default is attrs.NOTHING:
            if not attrs.has(types[key]):
                raise FieldError(_join_path(name, key), "missing")
            values[key] = convert_table(types[key], _join_path(name, key), {})
    return cls(**values)


def _join_path(name: str, key: str) -> str:
    return f"{name}.{key}" if name else key


def _validate(field: attrs.Attribute[Any], key: str, value: object) -> None:
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except ValueError as error:
        raise FieldError(key, str(error.args[0])) from error


def _convert(key: str, value: object, expected_type: Any) -> object:
    if attrs.has(expected_type):
        return convert_table(expected_type, key, value)
    if get_origin(expected_type) is tuple:
        return _convert_items(key, value, get_args(expected_type)[0])
    if expected_type is float and type(value) is int:
        return float(value)
    if type(value) is not expected_type:
        actual_type = type(value).__name__
        raise FieldError(key, f"must be {expected_type.__name__}, not {actual_type}")
    return value


def _convert_items(key: str, value: object, expected_type: Any) -> tuple[object, ...]:
    if not isinstance(value, (list, tuple)):
        raise FieldError(key, "must be a list")
    return tuple(
        _convert(f"{key}[{index}]", item, expected_type)
        for index, item in enumerate(value)
    )


__all__ = ["FieldError", "convert_table"]
