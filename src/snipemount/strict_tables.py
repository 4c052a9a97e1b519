"""Strict building of attrs classes from decoded tables."""

from __future__ import annotations

from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import attrs

T = TypeVar("T")


class FieldError(ValueError):
    """One field of a table is at fault.

    Parameters
    ----------
    key : str
        Dotted name of the field.
    reason : str
        What is wrong with it.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f"{key}: {reason}")
        self.key = key
        self.reason = reason


def build(cls: type[T], name: str, table: object) -> T:
    """Return an instance of `cls` with the values in `table`.

    Parameters
    ----------
    cls : type
        Class with annotated attributes: scalars, attrs classes, or tuples of
        either.
    name : str
        Dotted name of the table; empty for the outermost one.
    table : object
        Decoded table.

    Raises
    ------
    FieldError
        On an unknown, missing or badly typed key, or a value out of range.
    """
    if not isinstance(table, dict):
        raise FieldError(name or "document", "must be a table")
    types = get_type_hints(cls)
    fields = attrs.fields_dict(cls)  # type: ignore[arg-type]
    for key in table:
        if key not in fields:
            raise FieldError(_join(name, str(key)), "unknown key")
    values: dict[str, Any] = {}
    for key, field in fields.items():
        if key in table:
            values[key] = _value(_join(name, key), table[key], types[key])
            _validate(field, _join(name, key), values[key])
        elif field.default is attrs.NOTHING:
            if not attrs.has(types[key]):
                raise FieldError(_join(name, key), "missing")
            values[key] = build(types[key], _join(name, key), {})
    return cls(**values)


def _join(name: str, key: str) -> str:
    return f"{name}.{key}" if name else key


def _validate(field: attrs.Attribute[Any], key: str, value: object) -> None:
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except ValueError as error:
        raise FieldError(key, str(error.args[0])) from error


def _value(key: str, value: object, wanted: Any) -> object:
    if attrs.has(wanted):
        return build(wanted, key, value)
    if get_origin(wanted) is tuple:
        return _items(key, value, get_args(wanted)[0])
    if wanted is float and type(value) is int:
        return float(value)
    if type(value) is not wanted:
        found = type(value).__name__
        raise FieldError(key, f"must be {wanted.__name__}, not {found}")
    return value


def _items(key: str, value: object, wanted: Any) -> tuple[object, ...]:
    if not isinstance(value, (list, tuple)):
        raise FieldError(key, "must be a list")
    return tuple(
        _value(f"{key}[{index}]", item, wanted) for index, item in enumerate(value)
    )


__all__ = ["FieldError", "build"]
