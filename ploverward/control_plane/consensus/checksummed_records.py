"""Records of an append-only file: length, CRC-32, body (docs/register.md 3).

The format is stored data: it does not change. One append is one record, so a loss of power in the middle of it can only
leave a torn tail.
"""

import struct
import zlib
from collections.abc import Callable

from ploverward.common import errors

_RECORD_HEAD = struct.Struct(">II")  # bytes of the body, its CRC-32
MIN_BODY_BYTES = 8  # no body is shorter; avoids that zeros are read as a record


def pack(body: bytes) -> bytes:
    """Returns one record."""
    return _RECORD_HEAD.pack(len(body), zlib.crc32(body)) + body


def read(data: bytes, *, on_body: Callable[[bytes], bool]) -> int:
    """Reads all good records from the front, and returns how many bytes these are.

    A bad record with nothing readable after it is a torn tail and is ignored.

    Args:
        data: The bytes of the file.
        on_body: Called with each body; returns whether it could be read.

    Raises:
        StorageError: A bad record has good ones behind it: that is damage.
    """
    offset = 0
    while offset + _RECORD_HEAD.size <= len(data):
        size, check = _RECORD_HEAD.unpack_from(data, offset)
        body = data[offset + _RECORD_HEAD.size : offset + _RECORD_HEAD.size + size]
        if size == 0 or len(body) < size or zlib.crc32(body) != check or not on_body(body):
            break
        offset += _RECORD_HEAD.size + size
    if offset < len(data) and _has_record_after(data, offset):
        raise errors.StorageError(f"damage at byte {offset}", step="read")
    return offset


def _has_record_after(data: bytes, offset: int) -> bool:
    for start in range(offset + 1, len(data) - _RECORD_HEAD.size):
        size, check = _RECORD_HEAD.unpack_from(data, start)
        if MIN_BODY_BYTES <= size <= len(data) - start - _RECORD_HEAD.size:
            body = data[start + _RECORD_HEAD.size : start + _RECORD_HEAD.size + size]
            if zlib.crc32(body) == check:
                return True
    return False
