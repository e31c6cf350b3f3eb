"""The acceptor's state on disk: an append-only file of checksummed records (docs/register.md 3).

Invariant: once `AcceptorStorage.write` returns, the image is on the disk, whatever happened before. Therefore the first
write of a process and each write after a failed one replace the file: the bytes read at the start may never have been
synced, and after a failed fsync the kernel may have dropped dirty pages, so that a later fsync succeeds without having
written them.
"""

import collections.abc
import dataclasses
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import log_records
from ploverward.transport import messages

FILE_NAME = "register.log"
NEW_NAME = "register.new"  # the replacement file until it is renamed to `FILE_NAME`
IDENTITY = "\x00identity"  # takes the place of the register name in the row that holds the node's identity
REWRITE_FACTOR = 32  # a file this many times as large as its image is rewritten, even below `limit_bytes`
MIN_REWRITE_FACTOR = 4  # a smaller multiple is not rewritten, even above `limit_bytes`: this would free too little
MIN_REWRITE_BYTES = 64 * 1024  # up to this size a file costs less to read than to rewrite


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptorImage:
    """The complete durable state of a node's acceptor.

    Attributes:
        incarnation: The identity of the disk. If it is empty, the disk has none and the other fields are empty too.
        first_set: The core set in force before any value was chosen.
        rows: The state of each register.
    """

    incarnation: str = ""
    first_set: tuple[str, ...] = ()
    rows: tuple[messages.RegisterRow, ...] = ()


class Disk(typing.Protocol):
    """The methods of `ploverward.control_plane.consensus.disk.Disk` that a storage uses."""

    def read(self, *, name: str) -> bytes | None:
        """Returns the bytes of the file, or None if it does not exist."""

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes `data` durably after the first `size_before` bytes and drops what followed them."""

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces the file by one with this data, durably and atomically."""


def _identity_row(image: AcceptorImage) -> messages.RegisterRow:
    """Returns the identity as a row, with the incarnation and the first set in place of proposer names."""
    return messages.RegisterRow(
        register=IDENTITY,
        promised=Ballot(0, image.incarnation),
        accepted=Ballot(0, " ".join(image.first_set)),
        revision=0,
        value=b"",
    )


class AcceptorStorage:
    """Loads and writes the image of one node.

    `load` is called once at the start. `write` runs on a worker thread, one call at a time.

    Args:
        disk: The folder with the file.
        limit_bytes: A file that would grow beyond this size is rewritten, unless its image takes up more than a quarter
            of it.

    Attributes:
        rewrites: The number of times that the file was rewritten.
    """

    def __init__(self, *, disk: Disk, limit_bytes: int) -> None:
        self._disk = disk
        self._limit_bytes = limit_bytes
        self._size = 0  # of the file, in bytes
        self._image_size = 0  # size of the file after its last rewrite, in bytes
        self._stored_values: dict[str, Ballot] = {}  # register: ballot of the accepted value that is in the file
        self._needs_rewrite = True
        self.rewrites = 0

    def load(self) -> AcceptorImage:
        """Returns the image in the file, or an empty image if there is no file or no identity in it.

        Raises:
            StorageError: The file is damaged.
            OSError: The file cannot be read.
        """
        data = self._disk.read(name=FILE_NAME)
        if data is None:
            return AcceptorImage()
        rows, _size = log_records.read_rows(data)
        newest = log_records.newest_rows(rows)
        identity = newest.pop(IDENTITY, None)
        if identity is None or not identity.promised.proposer:
            return AcceptorImage()
        return AcceptorImage(
            incarnation=identity.promised.proposer,
            first_set=tuple(identity.accepted.proposer.split()),
            rows=tuple(newest.values()),
        )

    def write(self, *, rows: collections.abc.Collection[messages.RegisterRow], image: AcceptorImage) -> None:
        """Appends the changed rows, or rewrites the file. Once it returns, the image is on the disk.

        Args:
            rows: The rows of the image that changed since the last write.
            image: The complete state.

        Raises:
            OSError: The write failed; the next write rewrites the file.
        """
        data = log_records.pack_rows([self._without_stored_value(row) for row in rows]) if rows else b""
        if self._needs_rewrite or self._exceeds_rewrite_size(self._size + len(data)):
            self._rewrite(image)
            return
        if not data:
            return
        self._needs_rewrite = True  # until the append has succeeded
        self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
        self._needs_rewrite = False
        self._size += len(data)
        self._stored_values |= {row.register: row.accepted for row in rows}

    def _exceeds_rewrite_size(self, size: int) -> bool:
        rewrite_size = max(MIN_REWRITE_BYTES, REWRITE_FACTOR * self._image_size)
        return size > max(MIN_REWRITE_FACTOR * self._image_size, min(self._limit_bytes, rewrite_size))

    def _without_stored_value(self, row: messages.RegisterRow) -> messages.RegisterRow:
        """Returns the row, without its value if an earlier row in the file has that value."""
        return row._replace(value=b"") if self._stored_values.get(row.register) == row.accepted else row

    def _rewrite(self, image: AcceptorImage) -> None:
        data = log_records.pack_rows((_identity_row(image), *image.rows))
        self._needs_rewrite = True
        self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data)
        self._needs_rewrite = False
        self._size = self._image_size = len(data)
        self._stored_values = {row.register: row.accepted for row in image.rows}
        self.rewrites += 1
