"""The stored format of a block of custody trails: an uncompressed header and compressed trails (docs/residency.md).

The uncompressed part tells which requests and batches a block contains, so that a start of the node decompresses no
trails. Format: a fixed-size head, the covered batches as JSON, four bytes of hash for each request id, then the trails
as JSON lines compressed with zlib. Blocks are stored data, so the format must not change.
"""

from __future__ import annotations

import json
import struct
import typing
import zlib
from collections.abc import Sequence

_HEAD = struct.Struct(">QQdII")  # block number, first offset, time of the write, sizes of rows and ids in bytes
ID_BYTES = 4
COMPRESSION_LEVEL = 1  # zlib's fastest level; it compresses trails to a fifth of their size


class BatchRow(typing.NamedTuple):
    """A row of a block's header: one batch that a proxy sent.

    Attributes:
        node: Name of the proxy.
        incarnation: Identifier of the proxy's process.
        number: Number of the batch, counted from 0 in each incarnation.
        is_last: Whether the process ended with this batch.
        trails: Number of trails in the batch.
    """

    node: str
    incarnation: str
    number: int
    is_last: bool
    trails: int


class BlockHeader(typing.NamedTuple):
    """The uncompressed part of a block.

    Attributes:
        number: Number of the block; increases with each block that a node writes.
        first_offset: Offset of the first trail; the other trails follow without a gap.
        written_at: Wall-clock time of the write, in seconds.
        batches: The batches that the block covers.
        ids: The short hash of each trail's request id (`ID_BYTES` each), in the order of the trails.
    """

    number: int
    first_offset: int
    written_at: float
    batches: tuple[BatchRow, ...]
    ids: bytes

    @property
    def trails(self) -> int:
        """The number of trails in the block."""
        return len(self.ids) // ID_BYTES

    @property
    def end_offset(self) -> int:
        """The offset after that of the last trail."""
        return self.first_offset + self.trails

    def find_candidates(self, request_id: str) -> list[int]:
        """Returns the indices of trails that may belong to a request; other requests may share its short hash."""
        wanted = short_hash(request_id)
        return [index for index in range(self.trails) if self.ids[index * ID_BYTES : (index + 1) * ID_BYTES] == wanted]

    def may_contain(self, request_id: str) -> bool:
        """Returns whether the block may contain a trail of the request."""
        return short_hash(request_id) in self.ids and bool(self.find_candidates(request_id))


def short_hash(request_id: str) -> bytes:
    """Returns the hash of a request id that the header stores."""
    return zlib.crc32(request_id.encode()).to_bytes(ID_BYTES, "big")


def pack(
    *,
    number: int,
    first_offset: int,
    written_at: float,
    batches: Sequence[BatchRow],
    trails: Sequence[tuple[str, bytes]],
) -> bytes:
    """Encodes a block as the body of a record.

    Args:
        number: Number of the block.
        first_offset: Offset of the first trail.
        written_at: Wall-clock time of the write, in seconds.
        batches: The batches that the block covers.
        trails: For each trail its request id and the trail as JSON on one line.
    """
    rows = json.dumps([list(row) for row in batches], separators=(",", ":")).encode()
    ids = b"".join(short_hash(request_id) for request_id, _trail in trails)
    lines = b"\n".join(trail for _request_id, trail in trails)
    head = _HEAD.pack(number, first_offset, written_at, len(rows), len(ids))
    return head + rows + ids + zlib.compress(lines, COMPRESSION_LEVEL)


def unpack_header(body: bytes) -> BlockHeader:
    """Decodes the uncompressed part of a block.

    Raises:
        ValueError: The body is not a valid block.
    """
    try:
        number, first_offset, written_at, row_bytes, id_bytes = _HEAD.unpack_from(body)
        rows_end = _HEAD.size + row_bytes
        rows = json.loads(body[_HEAD.size : rows_end])
        ids = body[rows_end : rows_end + id_bytes]
        if len(ids) != id_bytes or id_bytes % ID_BYTES:
            raise ValueError(f"ids: {len(ids)} of {id_bytes} bytes, expected a multiple of {ID_BYTES}")
        return BlockHeader(number, first_offset, written_at, tuple(BatchRow(*row) for row in rows), ids)
    except (struct.error, TypeError) as error:
        raise ValueError(str(error)) from error


def unpack_trails(body: bytes) -> list[dict[str, typing.Any]]:
    """Decompresses the trails of a block, in the order of their offsets.

    Raises:
        ValueError: The body is not a valid block.
    """
    _number, _first_offset, _written_at, row_bytes, id_bytes = _HEAD.unpack_from(body)
    try:
        lines = zlib.decompress(body[_HEAD.size + row_bytes + id_bytes :])
    except zlib.error as error:
        raise ValueError(str(error)) from error
    return [json.loads(line) for line in lines.split(b"\n") if line]
