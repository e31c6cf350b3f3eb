"""The log of one partition at one store (docs/batch.md 3).

Each entry has a position, counted from 1, and the epoch of the primary that appended it. Two logs with the same epoch
at the same position are identical up to that position: an epoch belongs to one process, and a store appends entries
only after an entry that it shares with the primary. The point where two logs diverge can therefore be found from epochs
alone, and an uncommitted tail can be truncated.

Once a job is forgotten, its entries are emptied, and leading empty entries are removed. `base` is the position before
the first remaining entry; everything up to `base` was committed.
"""

from __future__ import annotations

import typing
from collections.abc import Iterable
from collections.abc import Sequence

from ploverward.transport import batch_messages

EMPTY = b""  # data of an entry without effect: the first entry of an epoch, or one whose job was forgotten


class LoggedEntry(typing.NamedTuple):
    """One entry of a partition's log.

    Attributes:
        epoch: Epoch of the primary that appended the entry.
        data: Stored form of the entry (`job_entries`).
    """

    epoch: int
    data: bytes


class PartitionLog:
    """The log of a partition at one store.

    Attributes:
        base: Position before the first entry.
        base_epoch: Epoch of the removed entry at `base`.
        durable: Position up to which all entries are synced to this store's disk.
        live_bytes: Total size of the data of all entries.
    """

    def __init__(self) -> None:
        self.base = 0
        self.base_epoch = 0
        self.durable = 0
        self.live_bytes = 0
        self._entries: list[LoggedEntry] = []

    @property
    def last(self) -> int:
        """The position of the last entry."""
        return self.base + len(self._entries)

    @property
    def last_epoch(self) -> int:
        """The epoch of the last entry."""
        return self.epoch_at(self.last)

    def epoch_at(self, position: int) -> int:
        """Returns the epoch of the entry at a position from `base` to `last`."""
        return self.base_epoch if position == self.base else self._entries[position - self.base - 1].epoch

    def data_at(self, position: int) -> bytes:
        """Returns the data of the entry at a position after `base`, up to `last`."""
        return self._entries[position - self.base - 1].data

    def append(self, entry: LoggedEntry) -> int:
        """Appends an entry and returns its position."""
        self._entries.append(entry)
        self.live_bytes += len(entry.data)
        return self.last

    def mark_durable(self, *, position: int, epoch: int) -> None:
        """Records that an entry was synced; has no effect if the entry has been truncated in the meantime."""
        if self.base < position <= self.last and self.epoch_at(position) == epoch:
            self.durable = max(self.durable, position)

    def after(self, position: int) -> Sequence[LoggedEntry]:
        """Returns the entries after a position from `base` to `last`."""
        return self._entries[position - self.base :]

    def truncate_after(self, position: int) -> None:
        """Removes all entries after a position from `base` to `last`."""
        kept = position - self.base
        self.live_bytes -= sum(len(entry.data) for entry in self._entries[kept:])
        del self._entries[kept:]
        self.durable = min(self.durable, position)

    def reset(self, *, base: int, base_epoch: int) -> None:
        """Drops all entries; the log continues after the base of another store's log."""
        self._entries.clear()
        self.live_bytes = 0
        self.base, self.base_epoch = base, base_epoch
        self.durable = base

    # Comparison with another log.
    def runs(self) -> tuple[batch_messages.EpochRun, ...]:
        """Returns the epochs of all entries in order, each with the position of its last entry."""
        runs: list[batch_messages.EpochRun] = []
        for position, entry in enumerate(self._entries, self.base + 1):
            if runs and runs[-1].epoch == entry.epoch:
                runs[-1] = batch_messages.EpochRun(entry.epoch, position)
            else:
                runs.append(batch_messages.EpochRun(entry.epoch, position))
        return tuple(runs)

    def last_common_position(self, other: batch_messages.LogState) -> int | None:
        """Returns the last position up to which another store's log is identical to this one.

        None if the other log ends before this log's base, or has a different entry there.
        """
        other_last = other.runs[-1].last if other.runs else other.base
        position = min(self.last, other_last)
        while position > max(self.base, other.base):
            if self.epoch_at(position) == _epoch_at(other, position):
                return position
            position -= 1
        if other.base >= self.base:
            return min(other.base, self.last)  # entries up to the other base were committed, so this log has them
        has_same_base_entry = other_last >= self.base and _epoch_at(other, self.base) == self.base_epoch
        return self.base if has_same_base_entry else None

    # Removal of forgotten entries.
    def forget(self, positions: Iterable[int]) -> None:
        """Empties the committed entries at these positions; `trim` removes the leading ones."""
        for position in positions:
            if self.base < position <= self.last:
                index = position - self.base - 1
                self.live_bytes -= len(self._entries[index].data)
                self._entries[index] = self._entries[index]._replace(data=EMPTY)

    def trim(self, *, committed: int) -> None:
        """Removes leading empty entries that are both committed and synced to this store's disk."""
        limit = min(committed, self.durable) - self.base
        count = 0
        while count < limit and not self._entries[count].data:
            count += 1
        if count:
            self.base_epoch = self._entries[count - 1].epoch
            self.base += count
            del self._entries[:count]


def _epoch_at(state: batch_messages.LogState, position: int) -> int:
    if position == state.base:
        return state.base_epoch
    return next(run.epoch for run in state.runs if position <= run.last)
