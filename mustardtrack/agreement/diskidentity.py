"""Identities of the disks of replicas, which tell when a disk was formatted."""

import random
import uuid

# Version of UUIDs whose first 48 bits are a time in milliseconds (RFC 9562).
TIME_ORDERED_VERSION = 7
TIME_BITS, ALL_BITS = 48, 128
RFC_VARIANT = 0b10


def create_disk_identity(wall_ms: int, rng: random.Random) -> str:
    """Return a new identity for a disk that is formatted now.

    Args:
        wall_ms: Time of day in milliseconds.
        rng: Source of the random bits.

    Returns:
        A UUID of version 7 in hexadecimal digits.

    Examples:
        >>> identity = create_disk_identity(1_700_000_000_000, random.SystemRandom())
        >>> read_creation_ms(identity)
        1700000000000
    """
    random_bits = rng.getrandbits(ALL_BITS - TIME_BITS)
    value = wall_ms << ALL_BITS - TIME_BITS | random_bits
    # ``uuid.UUID`` of Python 3.11 sets the bits of versions 1 to 5 only.
    value = value & ~(0xF << 76) | TIME_ORDERED_VERSION << 76
    value = value & ~(0b11 << 62) | RFC_VARIANT << 62
    return uuid.UUID(int=value).hex


def read_creation_ms(identity: str) -> int:
    """Return the time of day at which a disk was formatted, in milliseconds.

    Returns:
        The time, or 0 for identities that do not state it.

    Examples:
        >>> read_creation_ms("0c5f0d2a7b7d4b0e8c0f4f0f0e4a2b1c")
        0
    """
    try:
        value = uuid.UUID(hex=identity)
    except ValueError:
        return 0
    is_time_ordered = value.version == TIME_ORDERED_VERSION
    return value.int >> ALL_BITS - TIME_BITS if is_time_ordered else 0
