"""Acceptor state on disk: an append-only file of checksummed records (docs/register.md 3)."""

import dataclasses
import os
import struct
import zlib

import construct

from ploverward.common import errors
from ploverward.transport import frames

FILE_NAME = "register.log"
NEW_NAME = "register.new"
_RECORD_HEAD = struct.Struct(">II")
_ROW = construct.Sequence(
    frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.TEXT, frames.NUMBER, frames.BLOB
)
IDENTITY = "\x00identity"
FILE_MODE = 0o644
READ_SIZE = 1 << 20
LONG_FACTOR = 32  # a file so many times as long as what it holds is written anew, within the limit
LEAST_FACTOR = 4  # but never sooner, also past the limit
LEAST_LONG = 64 * 1024  # nor a file as short as this
_BATCH = construct.PrefixedArray(construct.VarInt, _ROW)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Image:
    """All that a node has to keep: its incarnation, the set in force before any value was chosen, a row a register."""

    incarnation: str = ""
    first_set: tuple = ()
    rows: tuple = ()


def pack_rows(rows) -> bytes:
    """One append is one record: a loss of power in the middle of it can only leave a torn tail."""
    body = _BATCH.build(rows)
    return _RECORD_HEAD.pack(len(body), zlib.crc32(body)) + body


def read_rows(data: bytes) -> tuple:
    """The good records from the front, and how many bytes they take.

    A bad record with nothing readable behind it is a torn tail and is cut; a bad one with good
    ones behind it is damage, and a node with damage must not vote.
    """
    rows = []
    offset = 0
    while offset + _RECORD_HEAD.size <= len(data):
        size, check = _RECORD_HEAD.unpack_from(data, offset)
        body = data[offset + _RECORD_HEAD.size : offset + _RECORD_HEAD.size + size]
        if size == 0 or len(body) < size or zlib.crc32(body) != check:
            break
        try:
            rows += [tuple(row) for row in _BATCH.parse(body)]
        except construct.ConstructError:
            break
        offset += _RECORD_HEAD.size + size
    if offset < len(data) and _has_record_after(data, offset):
        raise errors.StorageError(f"damage at byte {offset}", step="read")
    return rows, offset


def _has_record_after(data: bytes, offset: int) -> bool:
    for start in range(offset + 1, len(data) - _RECORD_HEAD.size):
        size, check = _RECORD_HEAD.unpack_from(data, start)
        if 8 <= size <= len(data) - start - _RECORD_HEAD.size:
            body = data[start + _RECORD_HEAD.size : start + _RECORD_HEAD.size + size]
            if zlib.crc32(body) == check:
                return True
    return False


def newest_rows(rows) -> dict:
    """Register: its newest row. A row that only promises leaves out the value: that is the earlier row's."""
    table = {}
    for row in rows:
        previous = table.get(row[0])
        if previous is not None and not row[6] and accepted_of(row) == accepted_of(previous):
            row = (*row[:6], previous[6])
        table[row[0]] = row
    return table


def accepted_of(row: tuple) -> tuple:
    """The ballot that the row's value was accepted under."""
    return row[3], row[4]


class Disk:
    """The real disk. Tests put a simulated `system` in the place of `os`."""

    def __init__(self, *, folder: str, system=os):
        self.folder = folder
        self._system = system

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def read(self, *, name: str):
        """The bytes of the file, or None where there is none."""
        system = self._system
        try:
            handle = system.open(self._path(name), os.O_RDONLY)
        except FileNotFoundError:
            return None
        parts = []
        try:
            while part := system.read(handle, READ_SIZE):
                parts.append(part)
        finally:
            system.close(handle)
        return b"".join(parts)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes behind the first `size_before` bytes and syncs; what a failed write left behind them is cut off."""
        handle = self._system.open(self._path(name), os.O_WRONLY)
        try:
            self._system.ftruncate(handle, size_before)
            self._system.lseek(handle, size_before, os.SEEK_SET)
            self._write(handle, data)
        finally:
            self._system.close(handle)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Puts a file with this data in the place of the one of this name; either whole file is there at any moment."""
        self._remove(new_name)
        handle = self._system.open(self._path(new_name), os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        try:
            self._write(handle, data)
        finally:
            self._system.close(handle)
        self._system.rename(self._path(new_name), self._path(name))
        self._sync_folder()

    def _remove(self, name: str) -> None:
        # Never written over: after a loss of power its name may stand for the very file that is to be replaced.
        try:
            self._system.unlink(self._path(name))
        except FileNotFoundError:
            pass

    def _write(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._system.write(handle, view) :]
        self._system.fsync(handle)

    def _sync_folder(self) -> None:
        handle = self._system.open(self.folder, os.O_RDONLY)
        try:
            self._system.fsync(handle)
        finally:
            self._system.close(handle)


class AcceptorStorage:
    """`write` is called on the pool, one call at a time; the rest on the loop.

    The first write of a process, and each one after a failed write, puts a whole new file in place of the old one: what
    was read at the start may never have been synced, and after a failed sync a later one may tell of success without
    having written the pages that were dropped.
    """

    def __init__(self, *, disk, limit_bytes: int):
        self._disk = disk
        self._limit = limit_bytes
        self._size = 0
        self._live_size = 0
        self._accepted = {}  # register: the ballot whose value the file holds
        self._needs_rewrite = True
        self.rewrites = 0

    def load(self) -> Image:
        """What the file holds; an image without an incarnation where there is none."""
        data = self._disk.read(name=FILE_NAME)
        if data is None:
            return Image()
        rows, _size = read_rows(data)
        incarnation = ""
        first_set = ()
        table = newest_rows(rows)
        identity = table.pop(IDENTITY, None)
        if identity is not None:
            incarnation = identity[2]
            first_set = tuple(identity[4].split())
        if not incarnation:
            return Image()
        return Image(incarnation=incarnation, first_set=first_set, rows=tuple(table.values()))

    def write(self, *, rows: tuple, image: Image) -> None:
        """Appends the rows, or writes the whole image anew. Once it returns, the disk holds the image."""
        shortened = tuple(self._without_known_value(row) for row in rows)
        data = pack_rows(shortened) if rows else b""
        wanted = max(LEAST_LONG, LONG_FACTOR * self._live_size)
        is_long = self._size + len(data) > max(LEAST_FACTOR * self._live_size, min(self._limit, wanted))
        if self._needs_rewrite or is_long:
            self._rewrite(image)
            return
        if not data:
            return
        self._needs_rewrite = True  # until it is known that all went well
        self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
        self._needs_rewrite = False
        self._size += len(data)
        self._accepted |= {row[0]: accepted_of(row) for row in rows}

    def _without_known_value(self, row: tuple) -> tuple:
        return (*row[:6], b"") if self._accepted.get(row[0]) == accepted_of(row) else row

    def _rewrite(self, image: Image) -> None:
        identity = (IDENTITY, 0, image.incarnation, 0, " ".join(image.first_set), 0, b"")
        data = pack_rows((identity, *image.rows))
        self._needs_rewrite = True
        self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data)
        self._needs_rewrite = False
        self._size = self._live_size = len(data)
        self._accepted = {row[0]: accepted_of(row) for row in image.rows}
        self.rewrites += 1
