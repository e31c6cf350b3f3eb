"""A simulated disk with page cache, power losses, torn writes and faults (docs/simulate.md).

`Disk` holds the content of a machine's data folder twice: the content that reads return (`files`), and the content that
is guaranteed to survive a loss of power (`durable`). Where the two differ, a file may have either content after the
loss, or a torn one.
"""

from __future__ import annotations

import errno
from typing import NamedTuple

from ploverward.simulation.control_plane import simulated_clock

# Bounds of the duration of a sync; each run uses one pair.
SPEEDS_S = ((0.0005, 0.004), (0.002, 0.03), (0.02, 0.15), (0.15, 0.35))
SLOW_S = (0.05, 0.4)  # bounds of the duration of a sync on a disk with the fault "slow"
LATE_LOSS_CHANCE = 0.5  # chance that data of a failed sync is missing even after a later successful one


class Change(NamedTuple):
    """One change of a file.

    Attributes:
        name: Name of the file.
        before: Content that reads returned before the change; None if the file did not exist.
        after: Content that reads return after the change; None if the file does not exist any more.
        is_rename: Whether the change is a rename, which is atomic and never leaves a torn file.
    """

    name: str
    before: bytes | None
    after: bytes | None
    is_rename: bool


class Disk:
    """The simulated counterpart of ploverward.control_plane.consensus.disk.Disk.

    A write that is in progress when its process is killed may have reached any stage.

    Attributes:
        files: The content that reads return, by file name.
        durable: The content that is guaranteed to survive a loss of power, by file name.
        fault: The current fault: "", "slow", "stall", "refuse", "refuse_late" or "full".
        lost_at: Simulated times in seconds at which the content was lost.
        stalled_until: Simulated time in seconds before which no access in progress ends.
    """

    def __init__(self, *, clock: simulated_clock.Clock, speed_s: tuple[float, float] = SPEEDS_S[0]) -> None:
        """Creates an empty disk; `speed_s` is the shortest and the longest duration of a sync."""
        self.files: dict[str, bytes] = {}
        self.durable: dict[str, bytes] = {}
        self.fault = ""
        self.stalled_until = 0.0
        self.lost_at: list[float] = []
        self._clock = clock
        self._speed_s = speed_s
        self._batch: list[Change] = []  # changes of the work that runs now
        self._batch_duration_s = 0.0
        self._unsynced_batches: list[list[Change]] = []
        self._renamed: set[str] = set()  # files whose content differs from the durable one only by a rename
        self._dropped: dict[str, tuple[int, int]] = {}  # (start, end) of data that a failed sync may never have written

    def read(self, *, name: str) -> bytes | None:
        """Returns the content of a file, or None if it does not exist."""
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Truncates a file to `size_before` bytes, appends `data` and syncs the file.

        Raises:
            OSError: The disk is faulty.
        """
        before = self.files.get(name)
        kept = (before or b"")[:size_before]
        kept += b"\0" * (size_before - len(kept))
        self._add_access_time()
        if self.fault == "refuse":
            raise OSError(errno.EIO, "refused")
        if self.fault == "full":
            self.files[name] = kept + data[: self._clock.chance.randrange(len(data) + 1)]
            raise OSError(errno.ENOSPC, "full")
        self.files[name] = kept + data
        if self.fault == "refuse_late":
            self._dropped[name] = (size_before, len(self.files[name]))
            raise OSError(errno.EIO, "the sync failed")
        self._batch.append(Change(name, before, kept + data, is_rename=False))

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces a file atomically: writes `new_name`, syncs it and renames it to `name`.

        Raises:
            OSError: The disk is faulty.
        """
        self._dropped.pop(new_name, None)
        self.append(name=new_name, data=data, size_before=0)
        self._dropped.pop(name, None)
        before = self.files.get(name)
        self.files[name] = data
        self._renamed.add(name)
        self.files.pop(new_name, None)
        self._batch.append(Change(new_name, data, None, is_rename=True))
        self._batch.append(Change(name, before, data, is_rename=True))

    def sync(self, *, name: str) -> None:
        """Makes the content of a file that reads return durable.

        Raises:
            OSError: The disk is faulty.
        """
        self._add_access_time()
        if self.fault.startswith("refuse"):
            raise OSError(errno.EIO, "the sync failed")
        self._batch.append(Change(name, self.files.get(name), self.files.get(name), is_rename=False))

    def _add_access_time(self) -> None:
        span = SLOW_S if self.fault == "slow" else self._speed_s
        self._batch_duration_s += self._clock.chance.uniform(*span)

    def finish_batch(self) -> float:
        """Ends the accesses of one piece of work on a thread; returns in how many seconds from now they end."""
        batch, self._batch = self._batch, []
        took_s, self._batch_duration_s = self._batch_duration_s, 0.0
        if took_s and self.stalled_until > self._clock.time:
            took_s += self.stalled_until - self._clock.time
        if batch:
            self._unsynced_batches.append(batch)
            self._clock.later(delay=took_s, callback=lambda: self._sync(batch))
        return took_s

    def finish_now(self) -> None:
        """Completes accesses that were made outside the thread pool, such as those of a node's start.

        They block the process, and the time that they take is not modelled.
        """
        batch, self._batch = self._batch, []
        self._batch_duration_s = 0.0
        self._make_durable(batch)

    def _sync(self, batch: list[Change]) -> None:
        if batch in self._unsynced_batches:
            self._unsynced_batches.remove(batch)
            self._make_durable(batch)

    def _make_durable(self, batch: list[Change]) -> None:
        for change in batch:
            self._renamed.discard(change.name)
            if change.after is None:
                self.durable.pop(change.name, None)
            else:
                self.durable[change.name] = self._without_dropped(change.name, change.after)

    def _without_dropped(self, name: str, content: bytes) -> bytes:
        """Returns `content` as a sync writes it, at times with zeros in place of the data of an earlier failed sync.

        After a failed sync a later one may succeed without having written the pages of the first.
        """
        dropped = self._dropped.get(name)
        if dropped is None or self._clock.chance.random() < LATE_LOSS_CHANCE:
            return content
        begin, end = dropped
        zeros = b"\0" * (min(end, len(content)) - begin)
        return (content[:begin] + zeros + content[end:])[: len(content)]

    def kill(self) -> None:
        """Handles the death of the process: each write in progress has reached a random stage.

        The content that the operating system holds in memory stays.
        """
        batches, self._unsynced_batches = self._unsynced_batches, []
        for batch in batches:
            done = self._clock.chance.randrange(len(batch) + 1)
            for index in reversed(range(done, len(batch))):
                change = batch[index]
                self._renamed.discard(change.name)
                content = change.before
                if index == done and not change.is_rename and change.after is not None:
                    content = self._torn_write(change.before or b"", change.after)
                self._set_content(change.name, content)

    def _set_content(self, name: str, content: bytes | None) -> None:
        if content is None:
            self.files.pop(name, None)
        else:
            self.files[name] = content

    def _torn_write(self, before: bytes, after: bytes) -> bytes:
        start = 0
        while start < min(len(before), len(after)) and before[start] == after[start]:
            start += 1
        return after[: self._clock.chance.randint(start, len(after))]

    def lose_power(self) -> None:
        """Handles a loss of power: each file that differs from its durable content is kept, lost or torn by itself."""
        self.kill()
        for name in sorted(set(self.files) | set(self.durable)):
            seen, synced = self.files.get(name), self.durable.get(name)
            if seen == synced:
                continue
            choices = [seen, synced]
            if seen is not None and name not in self._renamed:
                choices.append(self._torn_write(synced or b"", seen))
            self._set_content(name, self._clock.chance.choice(choices))
        self.durable = dict(self.files)
        self._renamed.clear()

    def record_loss(self) -> None:
        """Records that the content is lost, with or without the machine."""
        self.lost_at.append(self._clock.time)

    def empty(self) -> None:
        """Deletes the whole content of the disk and records the loss."""
        self.record_loss()
        self._unsynced_batches = []
        self._dropped = {}
        self.files = {}
        self.durable = {}
