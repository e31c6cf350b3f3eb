"""Records of an append-only file, each with length, CRC-32 and body (docs/register.md 3).

The format is stored on disk and must not change. Each append writes one record, so that a power loss during an append
can only leave a torn tail.
"""

import struct
import zlib
from collections.abc import Callable

from ploverward.common import errors

_RECORD_HEADER = struct.Struct(">II")  # length of the body in bytes, CRC-32 of the body
MIN_BODY_BYTES = 8  # no body is shorter; prevents a run of zeros from being taken for a record


def pack(body: bytes) -> bytes:
    """Returns the body as one record."""
    return _RECORD_HEADER.pack(len(body), zlib.crc32(body)) + body


def read(data: bytes, *, on_body: Callable[[bytes], bool]) -> int:
    """Reads all valid records from the start of the file.

    An invalid record without a valid one after it is a torn tail and is ignored.

    Args:
        data: The bytes of the file.
        on_body: Called with each body; returns whether the body could be parsed.

    Returns:
        The total length of the valid records in bytes.

    Raises:
        StorageError: An invalid record is followed by a valid one, so the file is damaged.
    """
    offset = 0
    while offset + _RECORD_HEADER.size <= len(data):
        size, checksum = _RECORD_HEADER.unpack_from(data, offset)
        body = data[offset + _RECORD_HEADER.size : offset + _RECORD_HEADER.size + size]
        if size == 0 or len(body) < size or zlib.crc32(body) != checksum or not on_body(body):
            break
        offset += _RECORD_HEADER.size + size
    if offset < len(data) and _has_record_after(data, offset):
        raise errors.StorageError(f"invalid record at byte {offset} is followed by a valid one", step="read")
    return offset


def _has_record_after(data: bytes, offset: int) -> bool:
    for start in range(offset + 1, len(data) - _RECORD_HEADER.size):
        size, checksum = _RECORD_HEADER.unpack_from(data, start)
        if MIN_BODY_BYTES <= size <= len(data) - start - _RECORD_HEADER.size:
            body = data[start + _RECORD_HEADER.size : start + _RECORD_HEADER.size + size]
            if zlib.crc32(body) == checksum:
                return True
    return False
