"""JSON objects with a list whose entries come from several writers.

One entry that cannot be read must not hide the others, so the list is divided before
its entries are decoded. Bodies that can be read as a whole are not divided.
"""

import json
import re
from dataclasses import dataclass
from typing import Any

from mustardtrack.platform.values import load_object, refuse_constant

# Deeper entries are skipped. The JSON decoder fails at a depth of some hundreds.
MAX_ENTRY_DEPTH = 32
# Dividing a body takes about a second per 5 MB.
MAX_DIVIDED_BYTES = 2_097_152

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_LIST_START = re.compile(rb"\s*:\s*\[")
_OPENING_BY_CLOSING = {b"]": b"[", b"}": b"{"}


@dataclass(frozen=True)
class Listing:
    """Decoded object with a list.

    Attributes:
        data: The object; the value of the list's key holds the readable entries.
        skipped: Number of entries that cannot be read.
    """

    data: dict[str, Any]
    skipped: int = 0


@dataclass(frozen=True)
class _Entry:
    start: int
    end: int
    depth: int


@dataclass(frozen=True)
class _Division:
    """Position of a list in a body, without its brackets, and of its entries."""

    start: int
    end: int
    entries: list[_Entry]


def load_listing(body: bytes, key: str, what: str) -> Listing:
    """Decode an object and the readable entries of its list.

    Args:
        body: Encoded object.
        key: Key of the list.
        what: Name of the body for the error message.

    Raises:
        ValueError: If the rest of the body cannot be read, or the list has no clear
            structure.
    """
    try:
        return Listing(load_object(body, what))
    except ValueError:
        if len(body) > MAX_DIVIDED_BYTES:
            raise
        division = _divide(body, key.encode())
        if division is None:
            raise
    data = load_object(body[: division.start] + body[division.end :], what)
    entries, skipped = [], 0
    for entry in division.entries:
        try:
            if entry.depth > MAX_ENTRY_DEPTH:
                raise ValueError("the entry is nested too deeply")
            text = body[entry.start : entry.end]
            entries.append(json.loads(text, parse_constant=refuse_constant))
        except ValueError:
            skipped += 1
    data[key] = entries
    return Listing(data, skipped)


def _divide(body: bytes, key: bytes) -> _Division | None:
    """Return the list of the outermost object, None without a clear structure."""
    brackets: list[bytes] = []
    list_start: int | None = None
    found: _Division | None = None
    entries: list[_Entry] = []
    entry_start = depth = 0
    for token in _TOKEN.finditer(body):
        symbol = token[0]
        is_listing = list_start is not None
        if symbol in (b"[", b"{"):
            brackets.append(symbol)
            depth = max(depth, len(brackets) - 2)
            if list_start == token.end():
                entry_start, depth, entries = token.end(), 0, []
        elif symbol in _OPENING_BY_CLOSING:
            if not brackets or brackets.pop() != _OPENING_BY_CLOSING[symbol]:
                return None
            if is_listing and len(brackets) == 1:
                assert list_start is not None
                _append_entry(entries, body, entry_start, token.start(), depth)
                found = _Division(list_start, token.start(), entries)
                list_start = None
        elif symbol == b",":
            if is_listing and len(brackets) == 2:
                _append_entry(entries, body, entry_start, token.start(), depth)
                entry_start, depth = token.end(), 0
        elif not is_listing and len(brackets) == 1 and symbol[1:-1] == key:
            start = _LIST_START.match(body, token.end())
            list_start = start.end() if start else None
    return None if brackets else found


def _append_entry(
    entries: list[_Entry], body: bytes, start: int, end: int, depth: int
) -> None:
    if body[start:end].strip():
        entries.append(_Entry(start, end, depth))
