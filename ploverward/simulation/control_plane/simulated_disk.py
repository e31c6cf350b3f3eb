"""A simulated disk: what reads see, what a loss of power leaves, writes under way, and faulty disks (docs/simulate.md).

`Disk` owns the content of a machine's data folder. It keeps apart what reads see (`files`) and what is sure to be there
after a loss of power (`durable`). Between them a name may have either content, or a torn one.
"""

from __future__ import annotations

import errno
from typing import NamedTuple

from ploverward.simulation.control_plane import simulated_clock

SPEEDS_S = ((0.0005, 0.004), (0.002, 0.03), (0.02, 0.15), (0.15, 0.35))  # how long a sync takes; a run has one of them
SLOW_S = (0.05, 0.4)  # how long a sync of a slow disk takes
LATE_LOSS_CHANCE = 0.5  # that what a failed sync may have dropped is missing after a later one


class Change(NamedTuple):
    """One change of a name.

    Attributes:
        name: Of the file.
        before: What reads saw before; None: no such file.
        after: What reads see afterwards; None: no such file.
        is_rename: Whether the content came there by a rename, which is never torn.
    """

    name: str
    before: bytes | None
    after: bytes | None
    is_rename: bool


class Disk:
    """The twin of ploverward.control_plane.consensus.disk.Disk.

    A write under way when its process is killed may have got to any stage.

    Attributes:
        files: What reads see, by name.
        durable: What is sure to be there after a loss of power, by name.
        fault: How it is faulty: "", "slow", "stall", "refuse", "refuse_late" or "full".
        lost_at: When its content was lost, by the simulated time in seconds.
        stalled_until: When accesses under way end at the earliest, by the simulated time in seconds.
    """

    def __init__(self, *, clock: simulated_clock.Clock, speed_s: tuple[float, float] = SPEEDS_S[0]) -> None:
        """Makes an empty disk; `speed_s` bounds how long a sync takes."""
        self.files: dict[str, bytes] = {}
        self.durable: dict[str, bytes] = {}
        self.fault = ""
        self.stalled_until = 0.0
        self.lost_at: list[float] = []
        self._clock = clock
        self._speed_s = speed_s
        self._batch: list[Change] = []  # of the work that runs now
        self._batch_duration_s = 0.0
        self._unsynced_batches: list[list[Change]] = []
        self._renamed: set[str] = set()  # names whose content differs from what was synced by a rename alone
        self._dropped: dict[str, tuple[int, int]] = {}  # (from, to) of what a failed sync may have dropped for good

    def read(self, *, name: str) -> bytes | None:
        """Returns the content of a file, or None."""
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes data behind the first `size_before` bytes of a file, which is cut there, and syncs it.

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
        """Writes a file under a new name, and renames it to `name`.

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
        """Makes what reads see of a name durable.

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
        """Ends the accesses of work on a thread; returns how long they take in seconds, from now on."""
        batch, self._batch = self._batch, []
        took_s, self._batch_duration_s = self._batch_duration_s, 0.0
        if took_s and self.stalled_until > self._clock.time:
            took_s += self.stalled_until - self._clock.time
        if batch:
            self._unsynced_batches.append(batch)
            self._clock.later(delay=took_s, callback=lambda: self._sync(batch))
        return took_s

    def finish_now(self) -> None:
        """Ends accesses outside the pool, as at a start: they block the process, whose time is not modelled."""
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
        """After a failed sync a later one may succeed without having written the pages of the first."""
        dropped = self._dropped.get(name)
        if dropped is None or self._clock.chance.random() < LATE_LOSS_CHANCE:
            return content
        begin, end = dropped
        zeros = b"\0" * (min(end, len(content)) - begin)
        return (content[:begin] + zeros + content[end:])[: len(content)]

    def kill(self) -> None:
        """The process died: writes under way got to some stage; what the system holds in memory stays."""
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
        """Each name that differs from what was synced is kept, lost or torn by itself."""
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
        """Notes that the content is lost, or gone with the machine."""
        self.lost_at.append(self._clock.time)

    def empty(self) -> None:
        """The disk loses its content."""
        self.record_loss()
        self._unsynced_batches = []
        self._dropped = {}
        self.files = {}
        self.durable = {}
