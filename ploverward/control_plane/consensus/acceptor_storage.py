"""The acceptor's state on disk: an append-only file of checksummed records (docs/register.md 3).

Invariant: once `AcceptorStorage.write` returns, the image is on the disk, whatever happened before. So the first
write of a process, and each one after a failed write, replaces the file: what was read at the start may never have
been synced, and after a failed sync a later one may succeed without having written the pages that were dropped.
"""

import collections.abc
import dataclasses
import typing

from ploverward.common.identifiers import Ballot
from ploverward.control_plane.consensus import log_records
from ploverward.transport import messages

FILE_NAME = "register.log"
NEW_NAME = "register.new"  # the next file until it is renamed
IDENTITY = "\x00identity"  # in place of a register's name, in the row with the node's identity
REWRITE_FACTOR = 32  # a file so many times as long as its image is rewritten, below the limit of the storage
MIN_REWRITE_FACTOR = 4  # but never a shorter one, also above the limit: rewriting would not make room
MIN_REWRITE_BYTES = 64 * 1024  # nor a file as short as this: it costs less to read than to rewrite


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcceptorImage:
    """All that a node has to keep.

    Attributes:
        incarnation: the identity of the disk; empty where there is none, then the rest is empty too.
        first_set: the core set in force before any value was chosen.
        rows: the state of each register.
    """

    incarnation: str = ""
    first_set: tuple[str, ...] = ()
    rows: tuple[messages.RegisterRow, ...] = ()


class Disk(typing.Protocol):
    """What the storage needs of `ploverward.control_plane.consensus.disk.Disk`."""

    def read(self, *, name: str) -> bytes | None:
        """The bytes of the file; None where there is none."""

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Appends behind the first `size_before` bytes, durably."""

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces the file, durably."""


def _identity_row(image: AcceptorImage) -> messages.RegisterRow:
    """The identity is stored as a row: the incarnation and the first set in place of proposers."""
    return messages.RegisterRow(
        register=IDENTITY,
        promised=Ballot(0, image.incarnation),
        accepted=Ballot(0, " ".join(image.first_set)),
        revision=0,
        value=b"",
    )


class AcceptorStorage:
    """Loads and writes the image of one node. `write` runs on a thread, one call at a time; `load` at the start.

    Args:
        disk: where the file is.
        limit_bytes: a longer file is rewritten, unless its image is over a quarter of that.
    """

    def __init__(self, *, disk: Disk, limit_bytes: int) -> None:
        self._disk = disk
        self._limit_bytes = limit_bytes
        self._size = 0  # bytes of the file
        self._image_size = 0  # bytes of the file when it was last rewritten
        self._stored_values: dict[str, Ballot] = {}  # register: accepted ballot of the value in the file
        self._needs_rewrite = True
        self.rewrites = 0

    def load(self) -> AcceptorImage:
        """Returns the image in the file; an empty image where there is no file or no identity in it.

        Raises:
            StorageError: the file is damaged.
            OSError: the disk refused.
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
        """Appends the rows, or rewrites the file. Once it returns, the image is on the disk.

        Args:
            rows: rows of the image that changed since the last write.
            image: all rows.

        Raises:
            OSError: the disk refused; the next write rewrites the file.
        """
        data = log_records.pack_rows([self._without_stored_value(row) for row in rows]) if rows else b""
        if self._needs_rewrite or self._is_long(self._size + len(data)):
            self._rewrite(image)
            return
        if not data:
            return
        self._needs_rewrite = True  # until the append has succeeded
        self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
        self._needs_rewrite = False
        self._size += len(data)
        self._stored_values |= {row.register: row.accepted for row in rows}

    def _is_long(self, size: int) -> bool:
        usual_size = max(MIN_REWRITE_BYTES, REWRITE_FACTOR * self._image_size)
        return size > max(MIN_REWRITE_FACTOR * self._image_size, min(self._limit_bytes, usual_size))

    def _without_stored_value(self, row: messages.RegisterRow) -> messages.RegisterRow:
        return row._replace(value=b"") if self._stored_values.get(row.register) == row.accepted else row

    def _rewrite(self, image: AcceptorImage) -> None:
        data = log_records.pack_rows((_identity_row(image), *image.rows))
        self._needs_rewrite = True
        self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data)
        self._needs_rewrite = False
        self._size = self._image_size = len(data)
        self._stored_values = {row.register: row.accepted for row in image.rows}
        self.rewrites += 1
