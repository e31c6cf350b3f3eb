"""Acceptor state on disk: an append-only file of checksummed records (design 4)."""

import os
import struct
import zlib

import construct

from pw.base import problems
from pw.base import wire

FILE_NAME = "register.log"
NEW_NAME = "register.new"
_RECORD_HEAD = struct.Struct(">II")
_ROW = construct.Sequence(wire.TEXT, wire.NUMBER, wire.TEXT, wire.NUMBER, wire.TEXT, wire.NUMBER, wire.BLOB)
IDENTITY = "\x00identity"


_BATCH = construct.PrefixedArray(construct.VarInt, _ROW)


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
    place = 0
    while place + _RECORD_HEAD.size <= len(data):
        size, check = _RECORD_HEAD.unpack_from(data, place)
        body = data[place + _RECORD_HEAD.size : place + _RECORD_HEAD.size + size]
        if size == 0 or len(body) < size or zlib.crc32(body) != check:
            break
        try:
            rows += [tuple(row) for row in _BATCH.parse(body)]
        except construct.ConstructError:
            break
        place += _RECORD_HEAD.size + size
    if place < len(data) and _has_record_after(data, place):
        raise problems.StoreProblem(f"damage at byte {place}", step="read")
    return rows, place


def _has_record_after(data: bytes, place: int) -> bool:
    for start in range(place + 1, len(data) - _RECORD_HEAD.size):
        size, check = _RECORD_HEAD.unpack_from(data, start)
        if 8 <= size <= len(data) - start - _RECORD_HEAD.size:
            body = data[start + _RECORD_HEAD.size : start + _RECORD_HEAD.size + size]
            if zlib.crc32(body) == check:
                return True
    return False


class Disk:
    """The real disk. Tests put a simulated one in its place."""

    def __init__(self, *, folder: str):
        self.folder = folder

    def read(self, *, name: str):
        try:
            with open(os.path.join(self.folder, name), "rb") as handle:
                return handle.read()
        except FileNotFoundError:
            return None

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        handle = os.open(os.path.join(self.folder, name), os.O_WRONLY | os.O_CREAT, 0o644)
        try:
            os.ftruncate(handle, size_before)
            os.lseek(handle, size_before, os.SEEK_SET)
            view = memoryview(data)
            while view:
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        self.append(name=new_name, data=data, size_before=0)
        os.rename(os.path.join(self.folder, new_name), os.path.join(self.folder, name))
        handle = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class Store:
    """`write` is called on the pool, one call at a time; the rest on the loop."""

    def __init__(self, *, disk, limit_bytes: int):
        self._disk = disk
        self._limit = limit_bytes
        self._size = 0
        self._is_new = True
        self._live_size = 0

    def load(self) -> tuple:
        """(incarnation, rows by register) or ("", {}) where the disk is empty."""
        data = self._disk.read(name=FILE_NAME)
        if data is None:
            return "", {}
        rows, size = read_rows(data)
        self._size = size
        incarnation = ""
        table = {}
        for row in rows:
            if row[0] == IDENTITY:
                incarnation = row[2]
            else:
                table[row[0]] = row
        if not incarnation:
            return "", {}
        self._is_new = False
        return incarnation, table

    def write(self, *, rows: tuple, incarnation: str, table: tuple) -> None:
        """Appends the rows, or writes the whole table anew where the file is new or long."""
        data = pack_rows(rows)
        if self._is_new or self._size + len(data) > max(self._limit, 4 * self._live_size):
            whole = pack_rows(((IDENTITY, 0, incarnation, 0, "", 0, b""), *table))
            self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=whole)
            self._size = self._live_size = len(whole)
            self._is_new = False
            return
        self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
        self._size += len(data)
