"""One block of custody trails as it is stored: what it covers in the clear, the trails compressed (docs/residency.md).

The clear part is enough to know which requests and which batches a block has, so that a start reads no trail. Format:
a head, the covered batches as JSON, four bytes for each request id, then the trails as JSON lines in zlib's format. It
is stored data: it does not change.
"""

from __future__ import annotations

import json
import struct
import typing
import zlib
from collections.abc import Sequence

_HEAD = struct.Struct(">QQdII")  # number, offset of the first trail, when written, bytes of the rows, bytes of the ids
ID_BYTES = 4
COMPRESSION_LEVEL = 1  # the fastest; trails shrink to a fifth


class BatchRow(typing.NamedTuple):
    """A batch of a proxy that a block covers.

    Attributes:
        node: The proxy.
        incarnation: Of its process.
        number: Of the batch, from 0 in each incarnation.
        is_last: Whether the process ended with it.
        trails: How many it has.
    """

    node: str
    incarnation: str
    number: int
    is_last: bool
    trails: int


class BlockHeader(typing.NamedTuple):
    """The clear part of a block.

    Attributes:
        number: Of the block; rises with each one that a node writes.
        first_offset: Of its first trail; the others follow without a gap.
        written_at: Wall-clock time in seconds.
        batches: What it covers.
        ids: `ID_BYTES` of the hash of each trail's request, in their order.
    """

    number: int
    first_offset: int
    written_at: float
    batches: tuple[BatchRow, ...]
    ids: bytes

    @property
    def trails(self) -> int:
        """How many trails it has."""
        return len(self.ids) // ID_BYTES

    @property
    def end_offset(self) -> int:
        """One behind the offset of its last trail."""
        return self.first_offset + self.trails

    def positions_of(self, request_id: str) -> list[int]:
        """The indices of trails that may be this request's; another request may share its short hash."""
        wanted = short_hash(request_id)
        return [index for index in range(self.trails) if self.ids[index * ID_BYTES : (index + 1) * ID_BYTES] == wanted]

    def may_have(self, request_id: str) -> bool:
        """Whether the block may have a trail of this request."""
        return short_hash(request_id) in self.ids and bool(self.positions_of(request_id))


def short_hash(request_id: str) -> bytes:
    """Returns the hash by which a request is found."""
    return zlib.crc32(request_id.encode()).to_bytes(ID_BYTES, "big")


def pack(
    *,
    number: int,
    first_offset: int,
    written_at: float,
    batches: Sequence[BatchRow],
    trails: Sequence[tuple[str, bytes]],
) -> bytes:
    """Returns the body of a record.

    Args:
        number: Of the block.
        first_offset: Of its first trail.
        written_at: Wall-clock time in seconds.
        batches: What it covers.
        trails: Request id and trail as JSON on one line.
    """
    rows = json.dumps([list(row) for row in batches], separators=(",", ":")).encode()
    ids = b"".join(short_hash(request_id) for request_id, _trail in trails)
    lines = b"\n".join(trail for _request_id, trail in trails)
    head = _HEAD.pack(number, first_offset, written_at, len(rows), len(ids))
    return head + rows + ids + zlib.compress(lines, COMPRESSION_LEVEL)


def unpack_header(body: bytes) -> BlockHeader:
    """Reads the clear part.

    Raises:
        ValueError: The body is no block.
    """
    try:
        number, first_offset, written_at, row_bytes, id_bytes = _HEAD.unpack_from(body)
        rows_end = _HEAD.size + row_bytes
        rows = json.loads(body[_HEAD.size : rows_end])
        ids = body[rows_end : rows_end + id_bytes]
        if len(ids) != id_bytes or id_bytes % ID_BYTES:
            raise ValueError("ids are cut short")
        return BlockHeader(number, first_offset, written_at, tuple(BatchRow(*row) for row in rows), ids)
    except (struct.error, TypeError) as error:
        raise ValueError(str(error)) from error


def unpack_trails(body: bytes) -> list[dict[str, typing.Any]]:
    """Reads the trails, in the order of their offsets.

    Raises:
        ValueError: The body is no block.
    """
    _number, _first_offset, _written_at, row_bytes, id_bytes = _HEAD.unpack_from(body)
    try:
        lines = zlib.decompress(body[_HEAD.size + row_bytes + id_bytes :])
    except zlib.error as error:
        raise ValueError(str(error)) from error
    return [json.loads(line) for line in lines.split(b"\n") if line]
