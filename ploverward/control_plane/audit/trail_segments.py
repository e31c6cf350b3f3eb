"""The files that hold custody trails: a ring of segments of bounded size (docs/residency.md).

When the newest segment is full, the oldest one is overwritten. A segment is a file of records (`checksummed_records`),
each of which is a block. All methods run on worker threads; one block is written at a time. Reading a segment stops at
a truncated or damaged record: the blocks before it are kept.
"""

from __future__ import annotations

import logging
import typing

from ploverward.common import errors
from ploverward.control_plane.audit import trail_block
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import checksummed_records

_log = logging.getLogger(__name__)

SEGMENT_COUNT = 8
NEW_NAME = "custody.new"  # temporary file of a segment's new content, until it is renamed


class StoredBlock(typing.NamedTuple):
    """Location of a block on disk.

    Attributes:
        segment: Number of the segment file.
        begin: Position of the record's first byte in the file, including the record's head.
        end: Position after the record's last byte.
        header: The block's header.
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
        disk: The directory of the segment files.
        limit_bytes: Upper limit of the size of all segments together.
    """

    def __init__(self, *, disk: acceptor_storage.Disk, limit_bytes: int) -> None:
        self._disk = disk
        self._segment_bytes = max(1, limit_bytes // SEGMENT_COUNT)
        self._segment = 0  # number of the segment that is written to
        self._size = 0  # bytes of the valid records in that segment
        self._must_replace_file = True  # the next write replaces the segment file instead of appending to it

    def load(self) -> list[StoredBlock]:
        """Returns all stored blocks, the oldest first; later writes append after the newest one."""
        found: list[StoredBlock] = []
        for segment in range(SEGMENT_COUNT):
            found += self._load_segment(segment)
        found.sort(key=lambda block: block.header.number)
        if found:
            newest = found[-1]
            self._segment, self._size, self._must_replace_file = newest.segment, newest.end, False
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
        """Writes a block, which is durable when the method returns.

        A block that does not fit the current segment replaces the content of the oldest one.

        Raises:
            OSError: The write failed. The next block goes to the next segment, as the state of this one is unknown.
        """
        record = checksummed_records.pack(body)
        if not self._must_replace_file and self._size + len(record) > self._segment_bytes:
            self._advance_segment()
        begin = self._size
        try:
            if self._must_replace_file:
                self._disk.replace(name=file_name(self._segment), new_name=NEW_NAME, data=record)
            else:
                self._disk.append(name=file_name(self._segment), data=record, size_before=begin)
        except OSError:
            self._advance_segment()
            raise
        self._must_replace_file = False
        self._size = begin + len(record)
        return StoredBlock(self._segment, begin, self._size, trail_block.unpack_header(body))

    def _advance_segment(self) -> None:
        self._segment = (self._segment + 1) % SEGMENT_COUNT
        self._size = 0
        self._must_replace_file = True

    def read(self, block: StoredBlock) -> list[dict[str, typing.Any]]:
        """Returns the trails of a block; an empty list if the block has been overwritten meanwhile.

        Raises:
            OSError: The segment file could not be read.
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
