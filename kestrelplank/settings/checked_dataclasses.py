"""Conversion of decoded TOML or JSON to dataclasses; errors name the field by its dotted path.

The types are checked here rather than by the `serde` library, whose checks delay the start of a program and do not
always name the field.
"""

import dataclasses
import types
import typing
from functools import cache
from typing import TypeVar

from serde import SerdeError, deserialize, disabled, from_dict

from kestrelplank.settings.errors import InvalidSettingsError

Checked = TypeVar("Checked")
SCALAR_TYPES = (str, int, float, bool, type(None))
DOCUMENT_PATH = "top"  # the path of the document itself in error messages


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """A field of a checked dataclass; values of one of the `scalar_types` need no further check."""

    name: str
    hint: object
    required: bool
    scalar_types: tuple[type, ...]


@typing.dataclass_transform()
def checked_dataclass(cls: type[Checked]) -> type[Checked]:
    """Decorate a class as a dataclass for `decode_checked`."""
    return deserialize(dataclasses.dataclass(cls), type_check=disabled)


def decode_checked(target: type[Checked], data: object, path: str = "") -> Checked:
    """Return `data` as an instance of the `checked_dataclass` `target`.

    :param path: the dotted path of `data` in its document, for error messages.
    :raises InvalidSettingsError: a field is missing or has the wrong type.
    """
    _check(target, data, path)
    try:
        return from_dict(target, data)
    except SerdeError as err:
        raise InvalidSettingsError(str(err).splitlines()[0], field=path or DOCUMENT_PATH) from err


def _check(expected: object, value: object, path: str) -> None:
    """Raise InvalidSettingsError if `value` is not of the type `expected`."""
    if type(value) is expected:
        return
    fields = _fields_of(expected)
    if fields is not None:
        _check_table(fields, value, path)
        return
    origin, arguments = typing.get_origin(expected), typing.get_args(expected)
    if origin in (types.UnionType, typing.Union):
        types_but_none = [member for member in arguments if member is not type(None)]
        if len(types_but_none) == 1 and value is not None:
            _check(types_but_none[0], value, path)
        elif not any(_fits(member, value, path) for member in arguments):
            raise InvalidSettingsError(f"{value!r} is not of an accepted type", field=path)
    elif origin in (list, dict):
        _check_collection(origin, arguments[-1], value, path)
    elif isinstance(expected, type):
        _check_scalar(expected, value, path)


def _fits(expected: object, value: object, path: str) -> bool:
    """Whether `value` is of the type `expected`."""
    try:
        _check(expected, value, path)
    except InvalidSettingsError:
        return False
    return True


def _check_table(fields: tuple[_Field, ...], value: object, path: str) -> None:
    """Check each field of a table; unknown fields are ignored."""
    if not isinstance(value, dict):
        raise InvalidSettingsError(f"expected a table, got {type(value).__name__}", field=path or DOCUMENT_PATH)
    for field in fields:
        if field.name not in value:
            if field.required:
                raise InvalidSettingsError("missing", field=f"{path}.{field.name}".lstrip("."))
        elif type(value[field.name]) not in field.scalar_types:
            _check(field.hint, value[field.name], f"{path}.{field.name}" if path else field.name)


def _check_collection(origin: type, item_type: object, value: object, path: str) -> None:
    """Check each item of a list, or each value of a table with arbitrary keys."""
    if not isinstance(value, origin):
        kind = "list" if origin is list else "table"
        raise InvalidSettingsError(f"expected a {kind}, got {type(value).__name__}", field=path)
    items = value.items() if isinstance(value, dict) else enumerate(typing.cast("list[object]", value))
    for index, item in items:
        _check(item_type, item, f"{path}[{index}]")


def _check_scalar(expected: type, value: object, path: str) -> None:
    """Check a string, number or boolean; a boolean is not accepted as a number."""
    if not isinstance(value, expected) or isinstance(value, bool) and expected is not bool:
        raise InvalidSettingsError(f"{value!r} is not of type {expected.__name__}", field=path)


@cache
def _fields_of(target: object) -> tuple[_Field, ...] | None:
    """Return the fields of a dataclass, or None for any other type."""
    if not (isinstance(target, type) and dataclasses.is_dataclass(target)):
        return None
    hints = typing.get_type_hints(target)
    return tuple(
        _Field(field.name, hints[field.name], _is_required(field), _scalar_types(hints[field.name]))
        for field in dataclasses.fields(target)
    )


def _is_required(field: "dataclasses.Field[object]") -> bool:
    """Whether the field has no default."""
    return field.default is dataclasses.MISSING and field.default_factory is dataclasses.MISSING


def _scalar_types(hint: object) -> tuple[type, ...]:
    """Return the scalar types in a type hint that is a scalar type or a union; none for a list or table."""
    if typing.get_origin(hint) in (list, dict):
        return ()
    return tuple(member for member in typing.get_args(hint) or (hint,) if member in SCALAR_TYPES)
