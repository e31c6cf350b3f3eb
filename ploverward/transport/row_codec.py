"""Packs and unpacks rows of fixed layout inside a frame's blob (docs/digest.md 6): loads, prompt reads, owner bits.

Frames are encoded by `construct`, rows by `struct`: a row takes about 16 microseconds each way with `construct`, and
less than one with `struct`. Layouts never change, because nodes of different versions exchange rows.
"""

import functools
import hashlib
import struct
from collections.abc import Sequence
from typing import NamedTuple

from ploverward.common import errors

# Replica key, region, running, prefill tokens, suspect count; ended and failed since the last report.
REPORTED_LOAD_ROW = struct.Struct(">8sBHIHHH")
LOAD_ROW = struct.Struct(">8sHIHB")  # replica key, running, prefill tokens, suspect count, flags (failing, full)
OWNER_BIT_ROW = struct.Struct(">8sH")  # replica key, bit of this replica in filters of cached prompts
_KEY = struct.Struct(">8s")
_READ_HEADER = struct.Struct(">8sB8sB")  # replica key, region, domain, number of chunks that follow
_CHUNK = struct.Struct(">8sI")  # chunk hash, tokens
KEY_BYTES = _KEY.size
KEY_CACHE_REPLICAS = 16384  # ids whose keys are cached; the id of an evicted one is hashed again
MAX_READ_CHUNKS = 255  # largest value of the one-byte count in a packed read
MAX_UINT16 = 0xFFFF
MAX_UINT32 = 0xFFFFFFFF


class RegionRead(NamedTuple):
    """A packed read, and the region of the replica that read the prompt."""

    region: int  # index of the region among all regions, sorted by name
    data: bytes


class PromptRead(NamedTuple):
    """A prompt that a replica has read and therefore has in its prefix cache."""

    replica: bytes  # key of the replica
    domain: bytes  # prompts of different domains never share cache entries
    chunks: tuple[tuple[bytes, int], ...]  # (hash, tokens) of each chunk, from the start of the prompt


@functools.lru_cache(maxsize=KEY_CACHE_REPLICAS)
def replica_key(replica: str) -> bytes:
    """Returns the key of a replica: an eight-byte hash of its id."""
    return hashlib.blake2b(replica.encode(), digest_size=KEY_BYTES).digest()


def rows(*, shape: struct.Struct, data: bytes) -> list[tuple]:
    """Splits a blob into rows.

    Args:
        shape: Layout of each row.
        data: Rows, one after the other.

    Raises:
        FrameError: The size of the blob is not a multiple of the size of a row.
    """
    if len(data) % shape.size:
        raise errors.FrameError(
            f"blob of {len(data)} bytes is not a multiple of the row size, {shape.size} bytes", step="frame"
        )
    return list(shape.iter_unpack(data))


def keys(*, data: bytes) -> list[bytes]:
    """Splits a blob into replica keys.

    Raises:
        FrameError: The size of the blob is not a multiple of the size of a key.
    """
    return [key for (key,) in rows(shape=_KEY, data=data)]


def clamp_uint16(number: float) -> int:
    """Returns the integer part of a number, clamped to the range of an unsigned 16-bit field."""
    return max(0, min(int(number), MAX_UINT16))


def clamp_uint32(number: float) -> int:
    """Returns the integer part of a number, clamped to the range of an unsigned 32-bit field."""
    return max(0, min(int(number), MAX_UINT32))


def pack_read(*, replica: bytes, region: int, domain: bytes, parts: Sequence[tuple[bytes, int]]) -> bytes:
    """Packs the read of one prompt.

    Args:
        replica: Key of the replica that read it.
        region: Index of the replica's region among all regions, sorted by name.
        domain: Eight bytes; only prompts of the same domain share cache entries.
        parts: (hash, tokens) of the chunks from the start of the prompt; those beyond `MAX_READ_CHUNKS` are omitted.
    """
    parts = parts[:MAX_READ_CHUNKS]
    return _READ_HEADER.pack(replica, region, domain, len(parts)) + b"".join(
        _CHUNK.pack(chunk_hash, clamp_uint32(tokens)) for chunk_hash, tokens in parts
    )


def split_reads(*, data: bytes) -> list[RegionRead]:
    """Splits a blob into packed reads, which `unpack_read` decodes.

    Raises:
        FrameError: The last read is incomplete.
    """
    found = []
    offset = 0
    while offset < len(data):
        if offset + _READ_HEADER.size > len(data):
            raise errors.FrameError(
                f"prompt read at byte {offset} of {len(data)} needs {_READ_HEADER.size} bytes for its header",
                step="frame",
            )
        _replica, region, _domain, count = _READ_HEADER.unpack_from(data, offset)
        end = offset + _READ_HEADER.size + count * _CHUNK.size
        if end > len(data):
            raise errors.FrameError(
                f"prompt read at byte {offset} with {count} chunks ends at byte {end} of {len(data)}", step="frame"
            )
        found.append(RegionRead(region, data[offset:end]))
        offset = end
    return found


def unpack_read(*, data: bytes) -> PromptRead:
    """Unpacks one read.

    Raises:
        FrameError: The bytes after the header are not exactly as many chunks as it states.
    """
    replica, _region, domain, count = _READ_HEADER.unpack_from(data, 0)
    if len(data) != _READ_HEADER.size + count * _CHUNK.size:
        raise errors.FrameError(f"{len(data)} bytes are not exactly one prompt read of {count} chunks", step="frame")
    return PromptRead(replica, domain, tuple(_CHUNK.iter_unpack(data[_READ_HEADER.size :])))
