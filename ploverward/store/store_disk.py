"""The store's one log file: entries of all its partitions, written in groups (docs/batch.md 3).

While one write is under way the next one gathers, so that one sync serves many commits. A record is a partition's
number, the entry's position and the entry, with a length and a checksum (`checksummed_records`).
"""

from __future__ import annotations

import logging
import struct
import typing
from collections.abc import Callable

from ploverward.common import errors
from ploverward.common import failure_spell
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import checksummed_records
from ploverward.transport import interfaces

_log = logging.getLogger(__name__)

FILE_NAME = "jobs.log"
NEW_NAME = "jobs.new"
RETRY_S = 0.2  # from a failed write to the next attempt
_RECORD = struct.Struct(">IQ")  # partition, position


class StoredEntry(typing.NamedTuple):
    """An entry and where it belongs."""

    partition: int
    position: int
    data: bytes


OnDurable = Callable[[StoredEntry], object]


class StoreDisk:
    """Reads the log at the start, and appends to it.

    Args:
        loop: The event loop; all methods run on it.
        disk: Where the file is.
        on_durable: Called with each entry once it is synced, in the order in which they were added.
    """

    def __init__(self, *, loop: interfaces.Loop, disk: acceptor_storage.Disk, on_durable: OnDurable) -> None:
        self._loop = loop
        self._disk = disk
        self._on_durable = on_durable
        self._size = 0
        self._is_new = True
        self._is_writing = False
        self._waiting: list[StoredEntry] = []
        self._spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="jobs_write_failed", recovered_event="jobs_write_recovered"
        )

    def load(self) -> list[StoredEntry]:
        """Returns what the file has. A torn tail is cut off by the next write."""
        found: list[StoredEntry] = []

        def on_body(body: bytes) -> bool:
            if len(body) < _RECORD.size:
                return False
            partition, position = _RECORD.unpack_from(body)
            found.append(StoredEntry(partition, position, body[_RECORD.size :]))
            return True

        try:
            data = self._disk.read(name=FILE_NAME)
            if data is not None:
                self._size = checksummed_records.read(data, on_body=on_body)
                self._is_new = False
        except (errors.StorageError, OSError) as error:
            _log.error("jobs_unreadable", extra={"fault": str(error)})
        return found

    def add(self, entry: StoredEntry) -> None:
        """Writes an entry, now or after the write that is under way."""
        self._waiting.append(entry)
        self._write()

    def _write(self) -> None:
        if self._is_writing or not self._waiting:
            return
        self._is_writing = True
        group, self._waiting = self._waiting, []
        data = b"".join(
            checksummed_records.pack(_RECORD.pack(entry.partition, entry.position) + entry.data) for entry in group
        )
        self._loop.offload(work=lambda: self._append(data), done=lambda outcome: self._handle_written(outcome, group))

    def _append(self, data: bytes) -> None:
        if self._is_new:
            self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data)
        else:
            self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
        self._is_new = False
        self._size += len(data)

    def _handle_written(self, outcome: interfaces.Outcome, group: list[StoredEntry]) -> None:
        self._is_writing = False
        error = outcome.exception()
        if error is not None:
            self._spell.note_failure(error)
            self._waiting = group + self._waiting
            self._loop.after(delay=RETRY_S, callback=self._write)
            return
        self._spell.note_success()
        for entry in group:
            self._on_durable(entry)
        self._write()
