"""The store's single log file, which holds the entries of all its partitions (docs/batch.md 3).

Entries that arrive while a write is in progress are grouped into the next write, so one sync serves many commits. The
first write of a process, and each write after a failed one, replaces the file with the entries in memory: entries that
were read at startup may never have been synced. A write also replaces the file if it has become much larger than the
entries in memory.

A record consists of a length, a checksum (`checksummed_records`), a number and a body. The number identifies the kind
of record: below `_BASE` it is a partition, followed by a position and an entry, as the first version wrote them. With
the `_ENTRY` flag there is also an epoch. With `_BASE` the body is the position and epoch after which the partition's
log begins. `_IDENTITY` marks the identity of the disk. The file is append-only between replacements: an entry at a
position that already exists replaces all entries from that position on.
"""

from __future__ import annotations

import logging
import struct
import typing
import uuid
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import MutableMapping

from ploverward.common import errors
from ploverward.common import failure_spell
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import checksummed_records
from ploverward.store import partition_log
from ploverward.transport import interfaces

_log = logging.getLogger(__name__)

FILE_NAME = "jobs.log"
NEW_NAME = "jobs.new"
RETRY_S = 0.2  # between a failed write and the next attempt
MIN_REWRITE_BYTES = 16 * 1024 * 1024  # a smaller file is not rewritten to reclaim space
REWRITE_FACTOR = 2  # a file larger than this multiple of its live entries is rewritten
FULL_SHARE = 0.8  # share of `limit_bytes`; no new jobs are accepted once the file could grow beyond it
_BASE, _ENTRY, _IDENTITY = 0x40000000, 0x80000000, 0xC0000000
_FIRST_VERSION = struct.Struct(">IQ")  # partition, position
_RECORD = struct.Struct(">IQQ")  # partition with kind flags, position, epoch
_NUMBER = struct.Struct(">I")

Logs = MutableMapping[int, partition_log.PartitionLog]


class StoredEntry(typing.NamedTuple):
    """An entry with its partition and its position in that partition's log."""

    partition: int
    position: int
    entry: partition_log.LoggedEntry


class StoreDisk:
    """Loads the partition logs at startup and writes new entries to the log file.

    Args:
        loop: The event loop; all methods run on it.
        disk: The folder that contains the file.
        logs: Logs by partition; a missing one is created on access.
        limit_bytes: Upper bound of the size of the file, from the disk and memory limits; 0 if unknown.
        on_durable: Called with the number of a partition after entries of its log were synced.
        unique_id: Generates the identity of a disk that has none.

    Attributes:
        identity: Identity of the disk; an emptied disk gets a new one.
        is_ready: Whether the identity and the loaded entries are synced.
    """

    def __init__(
        self,
        *,
        loop: interfaces.Loop,
        disk: acceptor_storage.Disk,
        logs: Logs,
        limit_bytes: float,
        on_durable: Callable[[int], object],
        unique_id: Callable[[], str] = lambda: uuid.uuid4().hex[:12],
    ) -> None:
        self._loop = loop
        self._disk = disk
        self._logs = logs
        self._limit_bytes = limit_bytes
        self._on_durable = on_durable
        self.identity = ""
        self.is_ready = False
        self._file_size = 0
        self._is_stale = True  # the file may differ from the entries in memory: the next write replaces it
        self._is_writing = False
        self._on_ready: Callable[[], object] = lambda: None
        self._unwritten: list[StoredEntry] = []
        self._failure_spell = failure_spell.FailureSpell(
            now=loop.now, failed_event="jobs_write_failed", recovered_event="jobs_write_recovered"
        )
        self._load()
        if not self.identity:
            self.identity = unique_id()

    @property
    def is_full(self) -> bool:
        """Whether the store should not accept further jobs."""
        return bool(self._limit_bytes) and self._live_bytes() > self._limit_bytes * FULL_SHARE / REWRITE_FACTOR

    def _live_bytes(self) -> int:
        return sum(log.live_bytes for log in self._logs.values())

    def start(self, *, on_ready: Callable[[], object]) -> None:
        """Rewrites the loaded entries to be certain that they are synced, then calls `on_ready`."""
        self._on_ready = on_ready
        self._write()

    def add(self, entry: StoredEntry) -> None:
        """Writes an entry that was appended to its log, immediately or after the write in progress."""
        self._unwritten.append(entry)
        self._write()

    def rewrite(self) -> None:
        """Replaces the file with the next write. Called after a log was reset."""
        self._is_stale = True
        self._write()

    # Loading.
    def _load(self) -> None:
        try:
            data = self._disk.read(name=FILE_NAME)
            if data is not None:
                checksummed_records.read(data, on_body=self._load_record)
        except (errors.StorageError, OSError) as error:
            _log.error("jobs_unreadable", extra={"fault": str(error)})
            self.identity = ""  # an unreadable disk is treated as an empty one
            self._logs.clear()

    def _load_record(self, body: bytes) -> bool:
        if len(body) < _FIRST_VERSION.size:
            return False
        (number,) = _NUMBER.unpack_from(body)
        if number == _IDENTITY:
            self.identity = body[_NUMBER.size :].decode()
            return True
        if number < _BASE:
            partition, position = _FIRST_VERSION.unpack_from(body)
            return self._load_entry(partition, position, partition_log.LoggedEntry(0, body[_FIRST_VERSION.size :]))
        if len(body) < _RECORD.size:
            return False
        number, position, epoch = _RECORD.unpack_from(body)
        if number & _ENTRY:
            entry = partition_log.LoggedEntry(epoch, body[_RECORD.size :])
            return self._load_entry(number & ~_ENTRY, position, entry)
        self._logs[number & ~_BASE].reset(base=position, base_epoch=epoch)
        return True

    def _load_entry(self, partition: int, position: int, entry: partition_log.LoggedEntry) -> bool:
        log = self._logs[partition]
        if not log.base < position <= log.last + 1:
            return False
        log.truncate_after(position - 1)
        log.append(entry)
        return True

    # Writing.
    def _write(self) -> None:
        if self._is_writing or not (self._unwritten or self._is_stale):
            return
        self._is_writing = True
        group, self._unwritten = self._unwritten, []
        if self._is_stale or self._file_size > max(MIN_REWRITE_BYTES, REWRITE_FACTOR * self._live_bytes()):
            self._is_stale = False
            self._replace(list(self._all_entries()))
        else:
            self._append(group)

    def _all_entries(self) -> Iterator[StoredEntry]:
        for number, log in self._logs.items():
            for position, entry in enumerate(log.after(log.base), log.base + 1):
                yield StoredEntry(number, position, entry)

    def _file_records(self, entries: list[StoredEntry]) -> Iterator[bytes]:
        yield checksummed_records.pack(_NUMBER.pack(_IDENTITY) + self.identity.encode())
        for number, log in self._logs.items():
            if log.base:
                yield checksummed_records.pack(_RECORD.pack(number | _BASE, log.base, log.base_epoch))
        yield from map(_pack, entries)

    def _replace(self, group: list[StoredEntry]) -> None:
        data = b"".join(self._file_records(group))
        self._loop.offload(
            work=lambda: self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data),
            done=lambda outcome: self._handle_written(outcome, group, size=len(data)),
        )

    def _append(self, group: list[StoredEntry]) -> None:
        data = b"".join(map(_pack, group))
        size = self._file_size
        self._loop.offload(
            work=lambda: self._disk.append(name=FILE_NAME, data=data, size_before=size),
            done=lambda outcome: self._handle_written(outcome, group, size=size + len(data)),
        )

    def _handle_written(self, outcome: interfaces.Outcome, group: list[StoredEntry], *, size: int) -> None:
        self._is_writing = False
        error = outcome.exception()
        if error is not None:
            self._is_stale = True
            self._failure_spell.note_failure(error)
            self._loop.after(delay=RETRY_S, callback=self._write)
            return
        self._file_size = size
        self._failure_spell.note_success()
        if not self.is_ready:
            self.is_ready = True
            self._on_ready()
        for entry in group:
            self._logs[entry.partition].mark_durable(position=entry.position, epoch=entry.entry.epoch)
        for number in {entry.partition for entry in group}:
            self._on_durable(number)
        self._write()


def _pack(stored: StoredEntry) -> bytes:
    head = _RECORD.pack(stored.partition | _ENTRY, stored.position, stored.entry.epoch)
    return checksummed_records.pack(head + stored.entry.data)
