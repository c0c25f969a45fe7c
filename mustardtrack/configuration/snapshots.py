"""Encoding of the complete replicated state."""

from typing import Any

import msgspec

from mustardtrack.configuration.objects import ConfigObject
from mustardtrack.configuration.store import decode_objects

Objects = dict[str, dict[str, ConfigObject]]

SNAPSHOT_FORMAT = 1


class SnapshotFormatError(Exception):
    """The bytes are not a snapshot of this format; fetch one from another replica."""


class SnapshotData(msgspec.Struct, array_like=True):
    """Encoded parts of the state; the order of the fields is the format."""

    format: int
    applied_index: int
    last_fence: int
    objects: bytes
    history: list[Any]
    results: list[Any]
    crashes: list[Any]
    claims: list[Any]


def decode_snapshot(data: bytes) -> tuple[SnapshotData, int, Objects]:
    """Decode a snapshot, with its revision and objects.

    Raises:
        SnapshotFormatError: If the bytes are not a snapshot of this format.
    """
    try:
        stored = msgspec.msgpack.decode(data, type=SnapshotData)
        revision, objects = decode_objects(stored.objects)
    except msgspec.DecodeError as error:
        raise SnapshotFormatError(
            f"not a snapshot ({error}), fetch one from another replica"
        ) from error
    if stored.format != SNAPSHOT_FORMAT:
        raise SnapshotFormatError(
            f"snapshot format {stored.format} is not supported, "
            f"run the release that wrote it"
        )
    return stored, revision, objects
