"""Checked values of JSON bodies and headers that come from outside."""

import json
import re
from ipaddress import ip_address
from typing import Any, NoReturn, TypeGuard

# Messages between processes carry integers of 64 bits.
MAX_INTEGER = 2**63 - 1
# Upper bound of times in ms and token counts in headers; sums of them fit 64 bits.
MAX_HEADER_INTEGER = 10**12
# Longest decimal notation that is converted; int() refuses very long ones.
MAX_HEADER_DIGITS = 18
_DECIMAL = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{0,18})?")


def load_object(body: bytes, what: str) -> dict[str, Any]:
    """Return a JSON object.

    Args:
        body: Encoded object.
        what: Name of the body for the error message.

    Raises:
        ValueError: If the body is no JSON object, or is nested too deeply to be read.
    """
    try:
        data = json.loads(body, parse_constant=refuse_constant)
    except RecursionError as error:
        raise ValueError(f"{what} is nested too deeply") from error
    except ValueError as error:
        raise ValueError(f"{what} is not valid JSON: {error}") from error
    if not isinstance(data, dict):
        raise ValueError(f"{what} must be a JSON object")
    return data


def refuse_constant(name: str) -> NoReturn:
    """Refuse a constant such as NaN, which is no JSON number.

    Raises:
        ValueError: In any case.
    """
    raise ValueError(f"{name} is not a JSON number")


def is_integer(value: object, minimum: int = 0) -> TypeGuard[int]:
    """Return whether a value is an integer of 64 bits, at least ``minimum``.

    Examples:
        >>> is_integer(5), is_integer(True), is_integer(2**64), is_integer(5.0)
        (True, False, False, False)
    """
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and minimum <= value <= MAX_INTEGER  # type: ignore[operator]


def is_header_text(value: object) -> TypeGuard[str]:
    """Return whether a value is text that a header can carry unchanged.

    Examples:
        >>> is_header_text("i-1"), is_header_text(""), is_header_text("a" + chr(10))
        (True, False, False)
    """
    return (
        isinstance(value, str)
        and bool(value)
        and value.isascii()
        and (value.isprintable() and value == value.strip())
    )


def is_network_address(value: object) -> TypeGuard[str]:
    """Return whether a value has the form ``IP:PORT``.

    Examples:
        >>> is_network_address("10.0.0.1:80"), is_network_address("10.0.0.1:http")
        (True, False)
    """
    if not is_header_text(value):
        return False
    host, _, port = value.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return port.isdigit() and len(port) <= 5 and 0 < int(port) < 2**16


def parse_count(value: bytes | None) -> int | None:
    """Return the number of a header, at most ``MAX_HEADER_INTEGER``.

    Examples:
        >>> parse_count(b" 12 "), parse_count(b"-1"), parse_count(b"9" * 5000)
        (12, None, 1000000000000)
    """
    digits = (value or b"").strip()
    if not digits.isdigit():
        return None
    significant = digits.lstrip(b"0")
    if len(significant) > MAX_HEADER_DIGITS:
        return MAX_HEADER_INTEGER
    return min(int(significant or b"0"), MAX_HEADER_INTEGER)


def parse_decimal(value: bytes | None) -> float | None:
    """Return a non-negative decimal number, None if it is missing or malformed.

    Examples:
        >>> parse_decimal(b"6.5"), parse_decimal(b"-1"), parse_decimal(b"1e3")
        (6.5, None, None)
    """
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    return float(value)
