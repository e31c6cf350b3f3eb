"""The file of a node's tallies: a snapshot of the folded adds, then the adds of the logs (docs/tallies.md 4).

Each record of the file is a frame as nodes send it to each other, with a length and a CRC-32 (`checksummed_records`).

Invariant: once `TallyStorage.write` returns, all records that were passed to it so far are on the disk. So the first
write of a process and each write after a failed one replace the file: the content that was read at the start may never
have been synced, and after a failed sync a later one may succeed without having written the pages that were dropped.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Sequence

from ploverward.common import errors
from ploverward.control_plane.consensus import acceptor_storage
from ploverward.control_plane.consensus import checksummed_records
from ploverward.control_plane.tallies import tally_state
from ploverward.transport import frames
from ploverward.transport import messages

_log = logging.getLogger(__name__)

FILE_NAME = "tallies.log"
NEW_NAME = "tallies.new"  # the replacement of the file, until it is renamed

Record = messages.TallySnapshot | messages.TallyAdds


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LoadedTallies:
    """The tallies that a node's disk holds when the node starts.

    Attributes:
        state: The tallies.
        is_complete: Whether `state` is all that this node ever wrote, except for a torn tail. False if the file is
            missing or damaged.
    """

    state: tally_state.TallyState
    is_complete: bool


class TallyStorage:
    """Loads and writes the tallies of one node.

    `load` is called at the start. `write` runs on a thread, one call at a time.

    Args:
        disk: The disk that holds the file.

    Attributes:
        written_adds: Number of adds in the file, including those that have been folded since they were written.
        needs_rewrite: Whether the next write has to replace the file.
    """

    def __init__(self, *, disk: acceptor_storage.Disk) -> None:
        self._disk = disk
        self._size = 0  # bytes of the file
        self.written_adds = 0
        self.needs_rewrite = True

    def load(self) -> LoadedTallies:
        """Returns the readable content of the file; the other nodes send what is missing from it."""
        state = tally_state.TallyState()
        try:
            data = self._disk.read(name=FILE_NAME)
            if data is None:
                return LoadedTallies(state=state, is_complete=False)
            checksummed_records.read(data, on_body=lambda body: _apply(state, body))
        except (errors.StorageError, OSError) as error:
            _log.error("tallies_unreadable", extra={"fault": str(error)})
            return LoadedTallies(state=state, is_complete=False)
        return LoadedTallies(state=state, is_complete=True)

    def write(self, *, records: Sequence[Record], is_image: bool) -> None:
        """Appends records to the file or replaces the file by them; once it returns, they are on the disk.

        Args:
            records: The records to write.
            is_image: Whether the records are the whole state and replace the file.

        Raises:
            OSError: The write failed; the next one has to be an image.
        """
        data = b"".join(checksummed_records.pack(frames.pack(record)) for record in records)
        adds = sum(len(record.adds) for record in records if isinstance(record, messages.TallyAdds))
        self.needs_rewrite = True  # until the write has succeeded
        if is_image:
            self._disk.replace(name=FILE_NAME, new_name=NEW_NAME, data=data)
            self._size, self.written_adds = len(data), adds
        else:
            self._disk.append(name=FILE_NAME, data=data, size_before=self._size)
            self._size += len(data)
            self.written_adds += adds
        self.needs_rewrite = False


def _apply(state: tally_state.TallyState, body: bytes) -> bool:
    """Applies a record to the state; returns False if the body is no valid record or does not follow the state."""
    try:
        record = frames.unpack(body)
        if isinstance(record, messages.TallySnapshot):
            state.install(record)
        elif isinstance(record, messages.TallyAdds):
            state.merge(log=record.log, first=record.first, adds=record.adds)
        else:
            return False
    except (errors.FrameError, errors.TallyMergeError):
        return False
    return True
