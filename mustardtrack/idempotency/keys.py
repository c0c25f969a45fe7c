"""Idempotency keys: version 7 UUIDs, which include their creation time."""

import re
from dataclasses import dataclass
from uuid import UUID

KEY_REMEDY = "send a version 7 UUID created for this call, such as uuidgen --time-v7"

_UUID7_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


class KeyFormatError(ValueError):
    """The text is not a version 7 UUID; the message states the remedy."""


@dataclass(frozen=True)
class IdempotencyKey:
    """A parsed idempotency key.

    Attributes:
        value: The 16-byte UUID.
        created_wall_ms: Creation time in Unix milliseconds, set by the client.
    """

    value: bytes
    created_wall_ms: int


def parse_key(text: str) -> IdempotencyKey:
    """Parse a version 7 UUID in its 36-character form, in either case.

    Raises:
        KeyFormatError: If the text has another form, version or variant.

    Examples:
        >>> parse_key("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").created_wall_ms
        1645557742000
    """
    lowered = text.lower()
    if len(text) != 36 or not _UUID7_PATTERN.fullmatch(lowered):
        raise KeyFormatError(
            f"the idempotency key is not a version 7 UUID, {KEY_REMEDY}"
        )
    value = UUID(lowered).bytes
    return IdempotencyKey(value, int.from_bytes(value[:6], "big"))
