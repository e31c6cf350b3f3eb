"""The entries of one partition at one store (docs/batch.md 3).

Each entry has a position, counted from 1, and the epoch of the primary that added it. Two logs with the same epoch at
the same position are the same up to there: an epoch belongs to one process, and a store takes entries only behind an
entry that both have. So where logs part is found by epochs alone, and an end that was never committed can be cut off.

What a job left behind is dropped once the job is forgotten: its entries become empty, and empty ones at the front are
taken away. `base` is the position before the first entry that is left; all up to there was committed.
"""

from __future__ import annotations

import typing
from collections.abc import Iterable
from collections.abc import Sequence

from ploverward.transport import batch_messages

EMPTY = b""  # an entry that changes nothing: it begins an epoch, or its job was forgotten


class LoggedEntry(typing.NamedTuple):
    """One entry.

    Attributes:
        epoch: Of the primary that added it.
        data: Its stored form.
    """

    epoch: int
    data: bytes


class PartitionLog:
    """The entries of a partition at one store.

    Attributes:
        base: The position before the first entry.
        base_epoch: The epoch of the entry that was there.
        durable: The position of the last entry that is synced here, and all before it.
        live_bytes: Of all entries.
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
        """Returns the epoch of an entry that is here, or of the base."""
        return self.base_epoch if position == self.base else self._entries[position - self.base - 1].epoch

    def data_at(self, position: int) -> bytes:
        """Returns an entry that is here."""
        return self._entries[position - self.base - 1].data

    def append(self, entry: LoggedEntry) -> int:
        """Adds an entry and returns its position."""
        self._entries.append(entry)
        self.live_bytes += len(entry.data)
        return self.last

    def mark_durable(self, *, position: int, epoch: int) -> None:
        """An entry was synced. One that was cut off meanwhile does not count."""
        if self.base < position <= self.last and self.epoch_at(position) == epoch:
            self.durable = max(self.durable, position)

    def after(self, position: int) -> Sequence[LoggedEntry]:
        """Returns the entries behind a position that is here."""
        return self._entries[position - self.base :]

    def truncate_after(self, position: int) -> None:
        """Cuts off all entries behind a position that is here."""
        kept = position - self.base
        self.live_bytes -= sum(len(entry.data) for entry in self._entries[kept:])
        del self._entries[kept:]
        self.durable = min(self.durable, position)

    def reset(self, *, base: int, base_epoch: int) -> None:
        """Drops everything: the log goes on behind a base that another store has."""
        self._entries.clear()
        self.live_bytes = 0
        self.base, self.base_epoch = base, base_epoch
        self.durable = base

    # What both have.
    def runs(self) -> tuple[batch_messages.EpochRun, ...]:
        """Returns the epochs of all entries in order, with the position of the last entry of each."""
        runs: list[batch_messages.EpochRun] = []
        for position, entry in enumerate(self._entries, self.base + 1):
            if runs and runs[-1].epoch == entry.epoch:
                runs[-1] = batch_messages.EpochRun(entry.epoch, position)
            else:
                runs.append(batch_messages.EpochRun(entry.epoch, position))
        return tuple(runs)

    def last_common_position(self, other: batch_messages.LogState) -> int | None:
        """Returns up to where another store's log is the same; None where it ends before this log's base."""
        other_last = other.runs[-1].last if other.runs else other.base
        position = min(self.last, other_last)
        while position > max(self.base, other.base):
            if self.epoch_at(position) == _epoch_at(other, position):
                return position
            position -= 1
        if other.base >= self.base:
            return min(other.base, self.last)  # up to its base all was committed, so this log has the same
        is_base_same = other_last >= self.base and _epoch_at(other, self.base) == self.base_epoch
        return self.base if is_base_same else None

    # Forgetting.
    def forget(self, positions: Iterable[int]) -> None:
        """Empties committed entries, and takes away the empty ones at the front."""
        for position in positions:
            if self.base < position <= self.last:
                index = position - self.base - 1
                self.live_bytes -= len(self._entries[index].data)
                self._entries[index] = self._entries[index]._replace(data=EMPTY)

    def trim(self, *, committed: int) -> None:
        """Takes away empty entries at the front, up to a position that is committed and synced here."""
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
