"""Conversion of the field values in commands."""

import math
import re
from typing import Any

from mustardtrack.configuration.commands import FieldValue
from mustardtrack.configuration.objects import KEY_HASH_PATTERN

BOOLEAN_WORDS = {"true": True, "false": False}
MAX_INTEGER = 10**15

# Types of the fields by kind and field name; fields that are not listed are text.
FIELD_TYPES: dict[tuple[str, str], str] = {
    ("account", "key_hashes"): "hashes",
    ("account", "weight"): "number",
    ("account", "max_concurrent"): "integer",
    ("account", "tokens_per_second"): "number",
    ("account", "requests_per_second"): "number",
    ("class", "rank"): "integer",
    ("class", "floor_share"): "number",
    ("class", "deadline_ms"): "integer",
    ("endpoint", "serves"): "list",
    ("endpoint", "checks_fencing"): "truth",
    ("endpoint", "draining"): "truth",
    ("host", "draining"): "truth",
}
TYPE_DESCRIPTIONS = {
    "hashes": "BLAKE2b hashes of keys, 64 hex digits each",
    "number": "a number",
    "integer": "an integer",
    "truth": "true or false",
    "text": "one word of letters, digits and punctuation",
    "list": "words separated by commas",
}


class ValueFormatError(ValueError):
    """The words are not a valid value of the field type."""


def convert_value(kind: str, field: str, words: list[str]) -> FieldValue:
    """Convert the words after ``field=`` to the type of the field.

    Raises:
        ValueFormatError: If the words are not valid; the message describes the type.

    Examples:
        >>> convert_value("account", "weight", ["2"])
        2.0
    """
    type_name = FIELD_TYPES.get((kind, field), "text")
    value = _CONVERTERS[type_name](words)
    if value is None:
        raise ValueFormatError(TYPE_DESCRIPTIONS[type_name])
    return value


def parse_number(word: str) -> int | float | None:
    """Parse a finite number; return None if the word is not one."""
    if re.fullmatch(r"-?[0-9]{1,16}", word):
        return int(word)
    if re.fullmatch(r"-?[0-9]+(\.[0-9]+)?(e[+-]?[0-9]+)?", word):
        number = float(word)
        return number if math.isfinite(number) else None
    return None


def _convert_integer(words: list[str]) -> Any:
    number = parse_number(words[0]) if len(words) == 1 else None
    if isinstance(number, int) and abs(number) <= MAX_INTEGER:
        return number
    return None


def _convert_number(words: list[str]) -> Any:
    number = parse_number(words[0]) if len(words) == 1 else None
    return None if number is None else float(number)


def _convert_boolean(words: list[str]) -> Any:
    return BOOLEAN_WORDS.get(words[0]) if len(words) == 1 else None


def _convert_text(words: list[str]) -> Any:
    return words[0] if len(words) == 1 and words[0].isprintable() else None


def _convert_list(words: list[str]) -> Any:
    if words == [""]:
        return []
    return words if all(word and word.isprintable() for word in words) else None


def _convert_hashes(words: list[str]) -> Any:
    if words == [""]:
        return []
    return words if all(re.match(KEY_HASH_PATTERN, word) for word in words) else None


_CONVERTERS = {
    "hashes": _convert_hashes,
    "number": _convert_number,
    "integer": _convert_integer,
    "truth": _convert_boolean,
    "text": _convert_text,
    "list": _convert_list,
}
