"""Rows of fixed shape inside a frame's blob (docs/digest.md 6): load, reads, lanes, bucket images.

construct describes the frames; a row by construct costs some 16 microseconds each way, a row by struct under one.
"""

import functools
import hashlib
import struct

from ploverward.common import errors

REPORTED = struct.Struct(
    ">8sBHIHHH"
)  # replica key, region, running, tokens to read, marks, ended and failed since the last
LOAD = struct.Struct(">8sHIHB")  # replica key, running, tokens to read, marks, is failing
OWNER_BIT = struct.Struct(">8sH")
_KEY = struct.Struct(">8s")
_READ = struct.Struct(">8sB8sB")  # replica key, region, domain, how many parts
_PART = struct.Struct(">8sI")  # token hash, tokens
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF


@functools.lru_cache(maxsize=16384)
def key_of(replica: str) -> bytes:
    """Eight bytes that stand for a replica id."""
    return hashlib.blake2b(replica.encode(), digest_size=8).digest()


def rows(*, shape, data: bytes) -> list:
    if len(data) % shape.size:
        raise errors.FrameError(f"{len(data)} bytes are no rows of {shape.size}", step="frame")
    return list(shape.iter_unpack(data))


def keys(*, data: bytes) -> list:
    """Replica keys, one behind the other."""
    return [key for (key,) in rows(shape=_KEY, data=data)]


def short(number: int) -> int:
    return max(0, min(int(number), MAX_UINT16))


def long(number: int) -> int:
    return max(0, min(int(number), MAX_UINT32))


def pack_read(*, replica: bytes, region: int, domain: bytes, parts) -> bytes:
    """`parts`: (token hash, tokens) from the front; at most 255 count."""
    parts = parts[:255]
    return _READ.pack(replica, region, domain, len(parts)) + b"".join(
        _PART.pack(token_hash, long(tokens)) for token_hash, tokens in parts
    )


def split_reads(*, data: bytes) -> list:
    """[(region, the read's own bytes)]"""
    found = []
    offset = 0
    while offset < len(data):
        if offset + _READ.size > len(data):
            raise errors.FrameError("a read is cut short", step="frame")
        _replica, region, _domain, count = _READ.unpack_from(data, offset)
        end = offset + _READ.size + count * _PART.size
        if end > len(data):
            raise errors.FrameError("a read is cut short", step="frame")
        found.append((region, data[offset:end]))
        offset = end
    return found


def unpack_read(*, data: bytes) -> tuple:
    """(replica key, domain, ((token hash, tokens), ...))"""
    replica, _region, domain, count = _READ.unpack_from(data, 0)
    if len(data) != _READ.size + count * _PART.size:
        raise errors.FrameError("a read of another length", step="frame")
    return replica, domain, tuple(_PART.iter_unpack(data[_READ.size :]))
