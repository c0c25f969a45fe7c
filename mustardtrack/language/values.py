"""Values of fields as written in commands."""

import math
import re
from typing import Any

from mustardtrack.configuration.commands import FieldValue
from mustardtrack.configuration.objects import KEY_HASH_PATTERN

TRUTH = {"true": True, "false": False}
MAX_INTEGER = 10**15

# Fields that are not plain text; the type of the others is text.
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
EXPECTATIONS = {
    "hashes": "BLAKE2b hashes of keys, 64 hex digits each",
    "number": "a number",
    "integer": "an integer",
    "truth": "true or false",
    "text": "one word of letters, digits and punctuation",
    "list": "words separated by commas",
}


class ValueFormatError(ValueError):
    """The words are no value of the type."""


def read_value(kind: str, field: str, words: list[str]) -> FieldValue:
    """Convert the words after ``field=`` to the type of the field.

    Raises:
        ValueFormatError: If they do not fit; the text says what is expected.

    Examples:
        >>> read_value("account", "weight", ["2"])
        2.0
    """
    expected = FIELD_TYPES.get((kind, field), "text")
    value = _READERS[expected](words)
    if value is None:
        raise ValueFormatError(EXPECTATIONS[expected])
    return value


def read_number(word: str) -> int | float | None:
    """Return the number a word stands for, None if it is not a number."""
    if re.fullmatch(r"-?[0-9]{1,16}", word):
        return int(word)
    if re.fullmatch(r"-?[0-9]+(\.[0-9]+)?(e[+-]?[0-9]+)?", word):
        number = float(word)
        return number if math.isfinite(number) else None
    return None


def _read_integer(words: list[str]) -> Any:
    number = read_number(words[0]) if len(words) == 1 else None
    if isinstance(number, int) and abs(number) <= MAX_INTEGER:
        return number
    return None


def _read_number(words: list[str]) -> Any:
    number = read_number(words[0]) if len(words) == 1 else None
    return None if number is None else float(number)


def _read_truth(words: list[str]) -> Any:
    return TRUTH.get(words[0]) if len(words) == 1 else None


def _read_text(words: list[str]) -> Any:
    return words[0] if len(words) == 1 and words[0].isprintable() else None


def _read_list(words: list[str]) -> Any:
    if words == [""]:
        return []
    return words if all(word and word.isprintable() for word in words) else None


def _read_hashes(words: list[str]) -> Any:
    if words == [""]:
        return []
    return words if all(re.match(KEY_HASH_PATTERN, word) for word in words) else None


_READERS = {
    "hashes": _read_hashes,
    "number": _read_number,
    "integer": _read_integer,
    "truth": _read_truth,
    "text": _read_text,
    "list": _read_list,
}
