"""Rows of fixed shape inside a frame's blob (docs/digest.md 6): loads, prompt reads, cache bits.

`construct` describes frames; a row by `construct` costs some 16 microseconds each way, a row by `struct` under one.
Shapes never change: nodes of two versions exchange them.
"""

import functools
import hashlib
import struct
from collections.abc import Sequence
from typing import NamedTuple

from ploverward.common import errors

# Replica key, region, running, prefill tokens, suspect count, ended and failed since the last report.
REPORTED_LOAD_ROW = struct.Struct(">8sBHIHHH")
LOAD_ROW = struct.Struct(">8sHIHB")  # replica key, running, prefill tokens, suspect count, is failing
OWNER_BIT_ROW = struct.Struct(">8sH")  # replica key, the replica's bit in filters of cached prompts
_KEY = struct.Struct(">8s")
_READ = struct.Struct(">8sB8sB")  # replica key, region, domain, how many chunks follow
_CHUNK = struct.Struct(">8sI")  # chunk hash, tokens
KEY_BYTES = _KEY.size
KEY_CACHE_REPLICAS = 16384  # an evicted id is only hashed again
MAX_READ_CHUNKS = 255  # what the row's field can say
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF


class RegionRead(NamedTuple):
    """A packed read and the region of the replica that it happened at."""

    region: int  # the region's position among all regions, by name
    data: bytes


class PromptRead(NamedTuple):
    """A prompt that a replica has read, and so keeps in its prefix cache."""

    replica: bytes  # its key
    domain: bytes  # prompts of two domains never share a cache
    chunks: tuple[tuple[bytes, int], ...]  # (hash, tokens) from the prompt's front


@functools.lru_cache(maxsize=KEY_CACHE_REPLICAS)
def replica_key(replica: str) -> bytes:
    """Returns the eight bytes that stand for a replica's id."""
    return hashlib.blake2b(replica.encode(), digest_size=KEY_BYTES).digest()


def rows(*, shape: struct.Struct, data: bytes) -> list[tuple]:
    """Splits a blob into rows.

    Args:
        shape: The shape of each row.
        data: Rows, one behind the other.

    Raises:
        FrameError: The blob's size is no multiple of a row's.
    """
    if len(data) % shape.size:
        raise errors.FrameError(f"{len(data)} bytes are no rows of {shape.size}", step="frame")
    return list(shape.iter_unpack(data))


def keys(*, data: bytes) -> list[bytes]:
    """Returns replica keys that stand one behind the other.

    Raises:
        FrameError: The blob's size is no multiple of a key's.
    """
    return [key for (key,) in rows(shape=_KEY, data=data)]


def clamp_uint16(number: float) -> int:
    """Returns what a field of two bytes can say of a count: the nearest number that fits."""
    return max(0, min(int(number), MAX_UINT16))


def clamp_uint32(number: float) -> int:
    """Returns what a field of four bytes can say of a count: the nearest number that fits."""
    return max(0, min(int(number), MAX_UINT32))


def pack_read(*, replica: bytes, region: int, domain: bytes, parts: Sequence[tuple[bytes, int]]) -> bytes:
    """Packs one read of a prompt.

    Args:
        replica: The key of the replica that read it.
        region: The position of the replica's region among all regions, by name.
        domain: Within which the prompt's cache may be shared; eight bytes.
        parts: (hash, tokens) of the prompt's chunks from its front; those beyond `MAX_READ_CHUNKS` are left out.
    """
    parts = parts[:MAX_READ_CHUNKS]
    return _READ.pack(replica, region, domain, len(parts)) + b"".join(
        _CHUNK.pack(chunk_hash, clamp_uint32(tokens)) for chunk_hash, tokens in parts
    )


def split_reads(*, data: bytes) -> list[RegionRead]:
    """Splits a blob into packed reads, which `unpack_read` reads.

    Raises:
        FrameError: The last read is cut short.
    """
    found = []
    offset = 0
    while offset < len(data):
        if offset + _READ.size > len(data):
            raise errors.FrameError("a read is cut short", step="frame")
        _replica, region, _domain, count = _READ.unpack_from(data, offset)
        end = offset + _READ.size + count * _CHUNK.size
        if end > len(data):
            raise errors.FrameError("a read is cut short", step="frame")
        found.append(RegionRead(region, data[offset:end]))
        offset = end
    return found


def unpack_read(*, data: bytes) -> PromptRead:
    """Unpacks one read.

    Raises:
        FrameError: The bytes are not exactly one read.
    """
    replica, _region, domain, count = _READ.unpack_from(data, 0)
    if len(data) != _READ.size + count * _CHUNK.size:
        raise errors.FrameError("a read of another length", step="frame")
    return PromptRead(replica, domain, tuple(_CHUNK.iter_unpack(data[_READ.size :])))
