"""The files of custody trails: a ring of segments of bounded size (docs/residency.md). The oldest is overwritten.

A segment is a file of records (`checksummed_records`), each of them a block. Its methods run on threads; one block is
written at a time. A torn tail ends a segment; a damaged one keeps what stands before the damage.
"""

from __future__ import annotations

import logging
import typing

from ploverward.common import errors
from ploverward.control_plane.audit import trail_block
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import checksummed_records

_log = logging.getLogger(__name__)

SEGMENTS = 8
NEW_NAME = "custody.new"  # the next content of a segment until it is renamed


class StoredBlock(typing.NamedTuple):
    """Where a block is.

    Attributes:
        segment: Number of the file.
        begin: Its first byte there, the record's head included.
        end: One behind its last byte.
        header: What it covers.
    """

    segment: int
    begin: int
    end: int
    header: trail_block.BlockHeader


def file_name(segment: int) -> str:
    """Returns the name of a segment's file."""
    return f"custody-{segment}.log"


class TrailSegments:
    """Reads and writes the segments of one node.

    Args:
        disk: Where the files are.
        limit_bytes: Of all segments together.
    """

    def __init__(self, *, disk: acceptor_storage.Disk, limit_bytes: int) -> None:
        self._disk = disk
        self._segment_bytes = max(1, limit_bytes // SEGMENTS)
        self._segment = 0  # that is written to
        self._size = 0  # bytes of its good records
        self._is_new = True  # whether the next block replaces the file

    def load(self) -> list[StoredBlock]:
        """Returns all blocks, the oldest first, and continues behind the newest one."""
        found: list[StoredBlock] = []
        for segment in range(SEGMENTS):
            found += self._load_segment(segment)
        found.sort(key=lambda block: block.header.number)
        if found:
            newest = found[-1]
            self._segment, self._size, self._is_new = newest.segment, newest.end, False
        return found

    def _load_segment(self, segment: int) -> list[StoredBlock]:
        found: list[StoredBlock] = []
        try:
            data = self._disk.read(name=file_name(segment)) or b""
            self._read_blocks(data, segment, found)
        except (errors.StorageError, OSError) as error:
            _log.error("custody_unreadable", extra={"segment": segment, "fault": str(error)})
        return found

    def _read_blocks(self, data: bytes, segment: int, found: list[StoredBlock]) -> None:
        begin = 0

        def on_body(body: bytes) -> bool:
            nonlocal begin
            try:
                header = trail_block.unpack_header(body)
            except ValueError:
                return False
            end = begin + len(checksummed_records.pack(b"")) + len(body)
            found.append(StoredBlock(segment, begin, end, header))
            begin = end
            return True

        checksummed_records.read(data, on_body=on_body)

    def write(self, body: bytes) -> StoredBlock:
        """Appends a block. Once it returns, the block is on the disk. A full segment is followed by the oldest one.

        Raises:
            OSError: The disk refused; the next block goes to the next segment, as the state of this one is unknown.
        """
        record = checksummed_records.pack(body)
        if not self._is_new and self._size + len(record) > self._segment_bytes:
            self._begin_next()
        begin = self._size
        try:
            if self._is_new:
                self._disk.replace(name=file_name(self._segment), new_name=NEW_NAME, data=record)
            else:
                self._disk.append(name=file_name(self._segment), data=record, size_before=begin)
        except OSError:
            self._begin_next()
            raise
        self._is_new = False
        self._size = begin + len(record)
        return StoredBlock(self._segment, begin, self._size, trail_block.unpack_header(body))

    def _begin_next(self) -> None:
        self._segment = (self._segment + 1) % SEGMENTS
        self._size = 0
        self._is_new = True

    def read(self, block: StoredBlock) -> list[dict[str, typing.Any]]:
        """Returns the trails of a block; none where it has been overwritten meanwhile.

        Raises:
            OSError: The disk refused.
        """
        data = (self._disk.read(name=file_name(block.segment)) or b"")[block.begin : block.end]
        trails: list[dict[str, typing.Any]] = []

        def on_body(body: bytes) -> bool:
            if trail_block.unpack_header(body) != block.header:
                return False
            trails.extend(trail_block.unpack_trails(body))
            return True

        try:
            checksummed_records.read(data, on_body=on_body)
        except (errors.StorageError, ValueError):
            return []
        return trails
