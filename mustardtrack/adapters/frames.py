"""Checksummed frame format of the files of a control replica."""

import struct
import zlib
from collections.abc import Iterator

MAGIC = b"mtlg"
_HEADER = struct.Struct("<4sIIQ")
HEADER_BYTES = _HEADER.size


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return a frame: magic, length, CRC-32, sequence number and payload.

    The checksum detects corruption, not tampering.

    Examples:
        >>> list(read_frames(encode_frame(1, b"x"), 1))
        [(1, b'x', 21)]
    """
    checksum = _checksum(sequence, payload)
    return _HEADER.pack(MAGIC, len(payload), checksum, sequence) + payload


def read_frames(data: bytes, first_sequence: int) -> Iterator[tuple[int, bytes, int]]:
    """Yield sequence, payload and end offset of the leading valid frames.

    Stops at the first frame that is incomplete, corrupt or out of sequence.
    """
    offset = 0
    sequence = first_sequence
    while True:
        frame = _parse_frame_at(data, offset)
        if frame is None or frame[0] != sequence:
            return
        yield frame
        sequence += 1
        offset = frame[2]


def has_frame_after(data: bytes, offset: int) -> bool:
    """Return whether a valid frame starts anywhere after ``offset``."""
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        if _parse_frame_at(data, position) is not None:
            return True
        position = data.find(MAGIC, position + 1)
    return False


def _parse_frame_at(data: bytes, offset: int) -> tuple[int, bytes, int] | None:
    if len(data) - offset < HEADER_BYTES:
        return None
    magic, length, checksum, sequence = _HEADER.unpack_from(data, offset)
    end = offset + HEADER_BYTES + length
    if magic != MAGIC or end > len(data):
        return None
    payload = data[offset + HEADER_BYTES : end]
    if _checksum(sequence, payload) != checksum:
        return None
    return sequence, payload, end


def _checksum(sequence: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(struct.pack("<QI", sequence, len(payload))))
