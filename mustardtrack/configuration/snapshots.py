"""Encoded form of the whole replicated state."""

from typing import Any

import msgspec

from mustardtrack.configuration.objects import ConfigObject
from mustardtrack.configuration.store import decode_objects

Objects = dict[str, dict[str, ConfigObject]]

SNAPSHOT_FORMAT = 1


class SnapshotFormatError(Exception):
    """The bytes are not a snapshot of this version; fetch one from another replica."""


class SnapshotData(msgspec.Struct, array_like=True):
    """Parts of the state, each as dumped by its owner."""

    format: int
    applied_index: int
    last_fence: int
    objects: bytes
    history: list[Any]
    results: list[Any]
    crashes: list[Any]
    claims: list[Any]


def decode_snapshot(data: bytes) -> tuple[SnapshotData, int, Objects]:
    """Decode a snapshot, and the revision and the objects in it.

    Raises:
        SnapshotFormatError: If the bytes are no snapshot of this format.
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
