"""A simulated folder with the calls of `os` that the register's disk uses, with faults and losses of power.

What is known of a file after a loss of power is what its last sync covered; each write after that is there, missing or
torn. A name that was made, renamed or removed is kept or lost by itself until the folder was synced; a new file survives
through its own sync. After a failed sync, what it did not write is dropped, and a later sync does not write it either.
"""

import errno
import os

FOLDER = "/disk"
TORN, MISSING, KEPT = "torn", "missing", "kept"


class PowerLost(BaseException):
    """The process ends in the middle of a call."""


class Inode:
    """One file: what reads see, what is on the disk for sure, and the writes in between."""

    def __init__(self):
        self.data = bytearray()
        self.synced = bytearray()
        self.pending = []  # (offset, bytes), or (size, None) for a change of length


def apply(data: bytearray, offset: int, written) -> None:
    if written is None:
        del data[offset:]
        data.extend(bytes(offset - len(data)))
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(written)] = written


class Files:
    """Stands in for `os`. `faults` holds: "refuse", "full", "sync", "rename", "folder"."""

    def __init__(self, *, chance):
        self._chance = chance
        self._names = {}
        self._durable = {}
        self._pending_names = []  # (name, inode or None, whether the file's own sync makes it safe)
        self._handles = {}  # number: [inode or None for the folder, position]
        self._next_handle = 3
        self.faults = set()
        self.calls_left = None  # the process ends in the call after so many

    def _count_call(self) -> None:
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerLost

    def open(self, path: str, flags: int, _mode: int = 0) -> int:
        self._count_call()
        if path == FOLDER:
            return self._new_handle(None)
        inode = self._names.get(path)
        if inode is not None and flags & os.O_EXCL:
            raise FileExistsError(errno.EEXIST, path)
        if inode is None:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(errno.ENOENT, path)
            if "refuse" in self.faults:
                raise OSError(errno.EIO, "refused")
            inode = self._names[path] = Inode()
            self._pending_names.append((path, inode, True))
        return self._new_handle(inode)

    def _new_handle(self, inode) -> int:
        self._next_handle += 1
        self._handles[self._next_handle] = [inode, 0]
        return self._next_handle

    def close(self, handle: int) -> None:
        del self._handles[handle]

    def read(self, handle: int, size: int) -> bytes:
        inode, offset = self._handles[handle]
        part = bytes(inode.data[offset : offset + size])
        self._handles[handle][1] += len(part)
        return part

    def lseek(self, handle: int, offset: int, _whence: int) -> None:
        self._handles[handle][1] = offset

    def ftruncate(self, handle: int, size: int) -> None:
        self._count_call()
        inode = self._handles[handle][0]
        if "refuse" in self.faults:
            raise OSError(errno.EIO, "refused")
        inode.pending.append((size, None))
        apply(inode.data, size, None)

    def write(self, handle: int, data) -> int:
        """May write less than it is given; a full disk takes a part first."""
        self._count_call()
        inode, offset = self._handles[handle]
        if "refuse" in self.faults:
            raise OSError(errno.EIO, "refused")
        if "full" in self.faults and (len(data) < 8 or self._chance.random() < 0.5):
            raise OSError(errno.ENOSPC, "full")
        is_short = "full" in self.faults or self._chance.random() < 0.2
        part = bytes(data[: max(1, len(data) // 2)]) if is_short else bytes(data)
        inode.pending.append((offset, part))
        apply(inode.data, offset, part)
        self._handles[handle][1] += len(part)
        return len(part)

    def fsync(self, handle: int) -> None:
        self._count_call()
        inode = self._handles[handle][0]
        if inode is None:
            self._sync_folder()
            return
        if "sync" in self.faults or "refuse" in self.faults:
            inode.synced = self._after_loss(inode)
            inode.pending = []
            raise OSError(errno.EIO, "sync refused")
        for change in inode.pending:
            apply(inode.synced, *change)
        inode.pending = []
        for name, made, is_own in self._pending_names:
            if made is inode and is_own:
                self._durable[name] = inode

    def _sync_folder(self) -> None:
        if "folder" in self.faults or "refuse" in self.faults:
            raise OSError(errno.EIO, "folder sync refused")
        self._durable = dict(self._names)
        self._pending_names = []

    def rename(self, old: str, new: str) -> None:
        self._count_call()
        if "rename" in self.faults or "refuse" in self.faults:
            raise OSError(errno.EIO, "rename refused")
        inode = self._names.pop(old)
        self._names[new] = inode
        self._pending_names += [(new, inode, False), (old, None, False)]

    def unlink(self, path: str) -> None:
        self._count_call()
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, path)
        if "refuse" in self.faults:
            raise OSError(errno.EIO, "refused")
        del self._names[path]
        self._pending_names.append((path, None, False))

    # Losses.
    def _after_loss(self, inode, *, keeps_none=False) -> bytearray:
        data = bytearray(inode.synced)
        for offset, written in inode.pending:
            outcome = MISSING if keeps_none else self._chance.choice((KEPT, MISSING, TORN))
            if outcome == TORN and written is not None:
                written = written[: self._chance.randrange(len(written) + 1)]
            if outcome != MISSING:
                apply(data, offset, written)
        return data

    def lose_power(self) -> None:
        """Keeps any part of what was not synced; at some losses nothing of it."""
        keeps_none = self._chance.random() < 0.3
        for name, inode, _is_own in self._pending_names:
            if not keeps_none and self._chance.random() < 0.5:
                self._durable[name] = inode
        self._pending_names = []
        self._names = {name: inode for name, inode in self._durable.items() if inode is not None}
        self._durable = dict(self._names)
        for inode in dict.fromkeys(self._names.values()):  # in order, so that a seed gives one history
            inode.data = self._after_loss(inode, keeps_none=keeps_none)
            inode.synced = bytearray(inode.data)
            inode.pending = []
        self.end_process()

    def end_process(self) -> None:
        """Files stay as they were."""
        self._handles = {}
        self.calls_left = None

    def wipe(self) -> None:
        self._names, self._durable, self._pending_names = {}, {}, []
        self.end_process()

    def durable_bytes(self, path: str) -> bytes:
        """What a loss of power that keeps nothing unsynced would leave of this file."""
        inode = self._durable.get(path)
        return bytes(inode.synced) if inode is not None else b""

    def size(self) -> int:
        return sum(len(inode.data) for inode in self._names.values())
