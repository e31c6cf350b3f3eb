"""A simulated disk: what reads see, what a loss of power leaves, writes under way, and disks in trouble."""

import errno

SPEEDS_S = ((0.0005, 0.004), (0.002, 0.03), (0.02, 0.15), (0.15, 0.35))  # how long a sync takes, for each day
SLOW_S = (0.05, 0.4)


class Disk:
    """Has the methods of ploverward.control_plane.consensus.disk.Disk.

    `files` is what reads see; `durable` is what is sure to be there after a loss of power. Between them a name may have
    either content, or a torn one. A write under way when its process is killed may have got to any stage.
    """

    def __init__(self, *, clock, speed_s: tuple = SPEEDS_S[0]):
        self._clock = clock
        self._speed_s = speed_s
        self.files = {}
        self.durable = {}
        self.fault = ""  # "", slow, stall, refuse, refuse_late, full
        self.stalled_until = 0.0
        self._batch = []  # changes of the work that runs now: (name, content before, content after, is a rename)
        self._took_s = 0.0
        self._unsynced_batches = []  # batches that are not yet synced
        self._renamed = set()  # names whose content differs from what was synced by a rename alone
        self._dropped = {}  # name: (from, to) of what a failed sync may have dropped for good

    def read(self, *, name: str):
        return self.files.get(name)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        before = self.files.get(name)
        kept = (before or b"")[:size_before]
        kept += b"\0" * (size_before - len(kept))
        self._wait()
        if self.fault == "refuse":
            raise OSError(errno.EIO, "refused")
        if self.fault == "full":
            self.files[name] = kept + data[: self._clock.chance.randrange(len(data) + 1)]
            raise OSError(errno.ENOSPC, "full")
        self.files[name] = kept + data
        if self.fault == "refuse_late":
            self._dropped[name] = (size_before, len(self.files[name]))
            raise OSError(errno.EIO, "the sync failed")
        self._batch.append((name, before, kept + data, False))

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        self._dropped.pop(new_name, None)
        self.append(name=new_name, data=data, size_before=0)
        self._dropped.pop(name, None)
        before = self.files.get(name)
        self.files[name] = data
        self._renamed.add(name)
        self.files.pop(new_name, None)
        self._batch.append((new_name, data, None, True))
        self._batch.append((name, before, data, True))

    def sync(self, *, name: str) -> None:
        """Makes what reads see of a name durable."""
        self._wait()
        if self.fault.startswith("refuse"):
            raise OSError(errno.EIO, "the sync failed")
        self._batch.append((name, self.files.get(name), self.files.get(name), False))

    def _wait(self) -> None:
        span = SLOW_S if self.fault == "slow" else self._speed_s
        self._took_s += self._clock.chance.uniform(*span)

    def finish_batch(self) -> float:
        """The work on the thread is over but for the time that it takes: how long that is."""
        batch, self._batch = self._batch, []
        took_s, self._took_s = self._took_s, 0.0
        if took_s and self.stalled_until > self._clock.time:
            took_s += self.stalled_until - self._clock.time
        if batch:
            self._unsynced_batches.append(batch)
            self._clock.later(delay=took_s, callback=lambda: self._sync(batch))
        return took_s

    def finish_now(self) -> None:
        """Work outside the pool, as at a start: it blocks the process, whose time is not modelled."""
        batch, self._batch = self._batch, []
        self._took_s = 0.0
        self._make_durable(batch)

    def _sync(self, batch) -> None:
        if batch in self._unsynced_batches:
            self._unsynced_batches.remove(batch)
            self._make_durable(batch)

    def _make_durable(self, batch) -> None:
        for name, _before, after, _is_rename in batch:
            self._renamed.discard(name)
            if after is None:
                self.durable.pop(name, None)
            else:
                self.durable[name] = self._without_dropped(name, after)

    def _without_dropped(self, name: str, content: bytes) -> bytes:
        """After a failed sync a later one may tell of success without having written the pages of the first."""
        span = self._dropped.get(name)
        if span is None or self._clock.chance.random() < 0.5:
            return content
        return (content[: span[0]] + b"\0" * (min(span[1], len(content)) - span[0]) + content[span[1] :])[
            : len(content)
        ]

    def kill(self) -> None:
        """The process died: writes under way got to some stage; what the system holds in memory stays."""
        batches, self._unsynced_batches = self._unsynced_batches, []
        for batch in batches:
            done = self._clock.chance.randrange(len(batch) + 1)
            for index in reversed(range(done, len(batch))):
                name, before, after, is_rename = batch[index]
                self._renamed.discard(name)
                content = before
                if index == done and not is_rename and after is not None:
                    content = self._torn_write(before or b"", after)
                self._put(name, content)

    def _put(self, name: str, content) -> None:
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
            seen, sure = self.files.get(name), self.durable.get(name)
            if seen == sure:
                continue
            choices = [seen, sure]
            if seen is not None and name not in self._renamed:
                choices.append(self._torn_write(sure or b"", seen))
            self._put(name, self._clock.chance.choice(choices))
        self.durable = dict(self.files)
        self._renamed.clear()

    def empty(self) -> None:
        self._unsynced_batches = []
        self._dropped = {}
        self.files = {}
        self.durable = {}
