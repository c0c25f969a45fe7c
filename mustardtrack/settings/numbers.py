"""Conversion of numbers in settings that another system fills in.

A template may fill a key with an integer, a fraction or a boolean, whatever the type
that this program uses for it.
"""

import math
import types
from typing import Annotated, Any, Union, get_args, get_origin

import msgspec

# Keys whose value is a lower bound of something that other processes do, so that a
# fraction is rounded up. All others are limits, which are rounded down.
ROUNDED_UP = frozenset({"list_lag_ms"})


def normalize_numbers(data: Any, struct: type[msgspec.Struct]) -> Any:
    """Return settings with the number types that a struct declares.

    Fractions become integers where the struct has integers, and booleans become 0 or
    1 where it has numbers. Everything else is left for the validation of the struct.

    Args:
        data: Parsed settings, in any form.
        struct: Type that the settings are converted to afterwards.

    Examples:
        >>> class Bounds(msgspec.Struct):
        ...     wait_ms: int = 0
        ...     ratio: float = 0.0
        >>> normalize_numbers({"wait_ms": 800.5, "ratio": True}, Bounds)
        {'wait_ms': 800, 'ratio': 1}
    """
    if not isinstance(data, dict):
        return data
    fields = {field.name: field.type for field in msgspec.structs.fields(struct)}
    return {
        key: _normalize(value, fields[key], key in ROUNDED_UP)
        if key in fields
        else value
        for key, value in data.items()
    }


def _normalize(value: Any, declared: Any, is_rounded_up: bool) -> Any:
    """Return a value in the number type of its declaration."""
    kind = _plain_type(declared)
    if get_origin(kind) is list and isinstance(value, list):
        item_type = get_args(kind)[0]
        return [_normalize(item, item_type, is_rounded_up) for item in value]
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return normalize_numbers(value, kind)
    if isinstance(value, bool) and kind in (int, float):
        return int(value)
    is_fraction = isinstance(value, float) and math.isfinite(value)
    if kind is int and is_fraction:
        rounded = math.ceil(value) if is_rounded_up else math.floor(value)
        # A limit below one unit is the smallest limit, not none at all.
        return max(1, rounded) if value > 0 and _is_positive(declared) else rounded
    return value


def _plain_type(declared: Any) -> Any:
    """Return a declared type without its annotations and without None."""
    while get_origin(declared) is Annotated:
        declared = get_args(declared)[0]
    if get_origin(declared) in (Union, types.UnionType):
        options = [item for item in get_args(declared) if item is not types.NoneType]
        return _plain_type(options[0]) if len(options) == 1 else declared
    return declared


def _is_positive(declared: Any) -> bool:
    """Return whether a declared type excludes 0."""
    if get_origin(declared) in (Union, types.UnionType):
        return any(_is_positive(item) for item in get_args(declared))
    return any(
        isinstance(item, msgspec.Meta) and item.gt == 0
        for item in getattr(declared, "__metadata__", ())
    )
