"""Records of the acceptor's file: length, CRC-32, then rows of registers (docs/register.md 3).

The format is stored data: it does not change. One append is one record, so a loss of power in the middle of it can only
leave a torn tail.
"""

import collections.abc
import struct
import zlib

import construct

from ploverward.common import errors
from ploverward.common.identifiers import Ballot
from ploverward.transport import frames
from ploverward.transport import messages

_RECORD_HEAD = struct.Struct(">II")  # bytes of the body, its CRC-32
MIN_BODY_BYTES = 8  # no body is shorter; avoids that zeros are read as a record
_ROW = construct.Sequence(
    frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.BLOB
)
_BATCH = construct.PrefixedArray(construct.VarInt, _ROW)


def flatten(row: messages.RegisterRow) -> tuple:
    """The fields of a row as they are stored: register, promised, accepted (two fields each), revision, value."""
    return (row.register, *row.promised, *row.accepted, row.revision, row.value)


def unflatten(fields: collections.abc.Sequence) -> messages.RegisterRow:
    """The reverse of `flatten`."""
    register, promised_number, promised_by, accepted_number, accepted_by, revision, value = fields
    return messages.RegisterRow(
        register=register,
        promised=Ballot(promised_number, promised_by),
        accepted=Ballot(accepted_number, accepted_by),
        revision=revision,
        value=value,
    )


def pack_rows(rows: collections.abc.Iterable[messages.RegisterRow]) -> bytes:
    """One record with these rows."""
    body = _BATCH.build([flatten(row) for row in rows])
    return _RECORD_HEAD.pack(len(body), zlib.crc32(body)) + body


def read_rows(data: bytes) -> tuple[list[messages.RegisterRow], int]:
    """The rows of all good records from the front, and how many bytes these records are.

    A bad record with nothing readable after it is a torn tail and is ignored.

    Raises:
        StorageError: a bad record has good ones behind it. That is damage, and a node with damage must not vote.
    """
    rows: list[messages.RegisterRow] = []
    offset = 0
    while offset + _RECORD_HEAD.size <= len(data):
        size, check = _RECORD_HEAD.unpack_from(data, offset)
        body = data[offset + _RECORD_HEAD.size : offset + _RECORD_HEAD.size + size]
        if size == 0 or len(body) < size or zlib.crc32(body) != check:
            break
        try:
            rows += [unflatten(fields) for fields in _BATCH.parse(body)]
        except construct.ConstructError:
            break
        offset += _RECORD_HEAD.size + size
    if offset < len(data) and _has_record_after(data, offset):
        raise errors.StorageError(f"damage at byte {offset}", step="read")
    return rows, offset


def _has_record_after(data: bytes, offset: int) -> bool:
    for start in range(offset + 1, len(data) - _RECORD_HEAD.size):
        size, check = _RECORD_HEAD.unpack_from(data, start)
        if MIN_BODY_BYTES <= size <= len(data) - start - _RECORD_HEAD.size:
            body = data[start + _RECORD_HEAD.size : start + _RECORD_HEAD.size + size]
            if zlib.crc32(body) == check:
                return True
    return False


def newest_rows(rows: collections.abc.Iterable[messages.RegisterRow]) -> dict[str, messages.RegisterRow]:
    """Register to its newest row. A row that only promises leaves the value out: the earlier row has it."""
    newest: dict[str, messages.RegisterRow] = {}
    for row in rows:
        previous = newest.get(row.register)
        is_promise = previous is not None and not row.value and row.accepted == previous.accepted
        newest[row.register] = row._replace(value=previous.value) if previous and is_promise else row
    return newest
