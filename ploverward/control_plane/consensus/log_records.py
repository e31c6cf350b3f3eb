"""Encoding of register rows as records of the acceptor's file (docs/register.md 3).

The format is stored on disk and must not change.
"""

import collections.abc

import construct

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import checksummed_records
from ploverward.transport import frames
from ploverward.transport import messages

_ROW = construct.Sequence(
    frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.BLOB
)
_BATCH = construct.PrefixedArray(construct.VarInt, _ROW)


def flatten(row: messages.RegisterRow) -> tuple:
    """Returns the fields of a row as stored: register, promised and accepted (two fields each), revision, value."""
    return (row.register, *row.promised, *row.accepted, row.revision, row.value)


def unflatten(fields: collections.abc.Sequence) -> messages.RegisterRow:
    """Returns the row with these fields; the inverse of `flatten`."""
    register, promised_number, promised_by, accepted_number, accepted_by, revision, value = fields
    return messages.RegisterRow(
        register=register,
        promised=Ballot(promised_number, promised_by),
        accepted=Ballot(accepted_number, accepted_by),
        revision=revision,
        value=value,
    )


def pack_rows(rows: collections.abc.Iterable[messages.RegisterRow]) -> bytes:
    """Returns one record that contains these rows."""
    return checksummed_records.pack(_BATCH.build([flatten(row) for row in rows]))


def read_rows(data: bytes) -> tuple[list[messages.RegisterRow], int]:
    """Reads the rows of all valid records from the start of the file.

    Returns:
        The rows, and the total length of these records in bytes.

    Raises:
        StorageError: An invalid record is followed by a valid one. The file is damaged, and its node must not vote.
    """
    rows: list[messages.RegisterRow] = []

    def read_body(body: bytes) -> bool:
        try:
            rows.extend([unflatten(fields) for fields in _BATCH.parse(body)])
        except construct.ConstructError:
            return False
        return True

    size = checksummed_records.read(data, on_body=read_body)
    return rows, size


def newest_rows(rows: collections.abc.Iterable[messages.RegisterRow]) -> dict[str, messages.RegisterRow]:
    """Returns the newest row of each register, by register name.

    A row that was written for a promise omits the accepted value; it is taken from the previous row of the register.
    """
    newest: dict[str, messages.RegisterRow] = {}
    for row in rows:
        previous = newest.get(row.register)
        is_promise = previous is not None and not row.value and row.accepted == previous.accepted
        newest[row.register] = row._replace(value=previous.value) if previous and is_promise else row
    return newest
