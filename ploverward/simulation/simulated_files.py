"""A simulated folder with the calls of `os` that the disk of the register uses, with disk faults and power losses.

It owns the files of one machine (docs/register.md 3). After a power loss a file has the content of its last sync; each
later write is kept, missing or torn. Each created, renamed or removed name is kept or lost independently until the
folder is synced; a new file also survives through its own sync. A failed sync drops the data that it did not write, and
a later sync does not write it either.
"""

import dataclasses
import errno
import os
import random
import typing

FOLDER = "/disk"
TORN, MISSING, KEPT = "torn", "missing", "kept"

# The shares of rare outcomes are high so that a history of one minute contains each of them.
SHORT_WRITE_SHARE = 0.2  # share of the writes that are short
FULL_DISK_FAILURE_SHARE = 0.5  # share of the writes to a full disk that fail; the others write a part
FULL_DISK_MIN_BYTES = 8  # a shorter write to a full disk fails
EMPTY_LOSS_SHARE = 0.3  # share of the power losses that keep no data that was not synced
KEPT_NAME_SHARE = 0.5  # share of the unsynced name changes that a power loss keeps


class PowerLost(BaseException):  # noqa: N818  # not an Exception, so that the product cannot catch it
    """The process ends during a call."""


class Change(typing.NamedTuple):
    """A change of a file's content."""

    offset: int
    data: bytes | None  # None: the file is truncated or extended to `offset`


class Inode:
    """A file.

    Attributes:
        data: Content that reads return.
        synced: Content that is durable.
        pending: Changes of the content that are not yet synced.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = bytearray()
        self.pending: list[Change] = []


class NameChange(typing.NamedTuple):
    """A change of a name that a power loss may undo."""

    name: str
    inode: Inode | None  # None: the name was removed
    is_safe_with_file: bool  # whether a sync of the file makes the change durable


@dataclasses.dataclass(slots=True)
class Handle:
    """An open file."""

    inode: Inode | None  # None: the folder
    offset: int = 0


def apply(data: bytearray, change: Change) -> None:
    """Applies a change to the content of a file; a gap before it is filled with zeros."""
    offset, written = change
    if written is None:
        del data[offset:]
        data.extend(bytes(offset - len(data)))
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(written)] = written


class Files:
    """A replacement for `os`, whose methods have the arguments and errors of the functions there.

    Args:
        chance: Random generator that decides on short writes and on the data that a power loss keeps.

    Attributes:
        faults: Active faults: "refuse" (all calls that change or sync anything), "full" (writes), "sync" (syncs of
            files), "rename", "folder" (syncs of the folder).
        calls_left: Number of further calls before the process ends in a call; None if it does not end.
    """

    def __init__(self, *, chance: random.Random) -> None:
        self._chance = chance
        self._names: dict[str, Inode] = {}
        self._durable: dict[str, Inode | None] = {}  # None: the name was removed
        self._pending_names: list[NameChange] = []
        self._handles: dict[int, Handle] = {}
        self._next_handle = 3
        self.faults: set[str] = set()
        self.calls_left: int | None = None

    def _count_call(self) -> None:
        if self.calls_left is not None:
            self.calls_left -= 1
            if self.calls_left < 0:
                raise PowerLost

    def _fail_on(self, kind: str, text: str) -> None:
        if kind in self.faults or "refuse" in self.faults:
            raise OSError(errno.EIO, text)

    def _inode(self, handle: int) -> Inode:
        inode = self._handles[handle].inode
        if inode is None:
            raise IsADirectoryError(errno.EISDIR, FOLDER)
        return inode

    def open(self, path: str, flags: int, _mode: int = 0) -> int:
        """Opens a file or the folder, like `os.open`."""
        self._count_call()
        if path == FOLDER:
            return self._new_handle(None)
        inode = self._names.get(path)
        if inode is not None and flags & os.O_EXCL:
            raise FileExistsError(errno.EEXIST, path)
        if inode is None:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(errno.ENOENT, path)
            self._fail_on("refuse", "refused")
            inode = self._names[path] = Inode()
            self._pending_names.append(NameChange(path, inode, is_safe_with_file=True))
        return self._new_handle(inode)

    def _new_handle(self, inode: Inode | None) -> int:
        self._next_handle += 1
        self._handles[self._next_handle] = Handle(inode)
        return self._next_handle

    def close(self, handle: int) -> None:
        """Closes a handle, like `os.close`."""
        del self._handles[handle]

    def read(self, handle: int, size: int) -> bytes:
        """Reads from a file, like `os.read`."""
        opened = self._handles[handle]
        data = bytes(self._inode(handle).data[opened.offset : opened.offset + size])
        opened.offset += len(data)
        return data

    def lseek(self, handle: int, offset: int, _whence: int) -> None:
        """Sets the offset of a handle from the beginning of the file, like `os.lseek`."""
        self._handles[handle].offset = offset

    def ftruncate(self, handle: int, size: int) -> None:
        """Changes the length of a file, like `os.ftruncate`."""
        self._count_call()
        inode = self._inode(handle)
        self._fail_on("refuse", "refused")
        change = Change(size, None)
        inode.pending.append(change)
        apply(inode.data, change)

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Writes to a file, like `os.write`: it may write only a part of the data, also when the disk is full."""
        self._count_call()
        inode, opened = self._inode(handle), self._handles[handle]
        self._fail_on("refuse", "refused")
        is_full = "full" in self.faults
        if is_full and (len(data) < FULL_DISK_MIN_BYTES or self._chance.random() < FULL_DISK_FAILURE_SHARE):
            raise OSError(errno.ENOSPC, "full")
        is_short = is_full or self._chance.random() < SHORT_WRITE_SHARE
        written = bytes(data[: max(1, len(data) // 2)]) if is_short else bytes(data)
        change = Change(opened.offset, written)
        inode.pending.append(change)
        apply(inode.data, change)
        opened.offset += len(written)
        return len(written)

    def fsync(self, handle: int) -> None:
        """Syncs a file or the folder, like `os.fsync`."""
        self._count_call()
        inode = self._handles[handle].inode
        if inode is None:
            self._sync_folder()
            return
        if "sync" in self.faults or "refuse" in self.faults:
            inode.synced = self._after_loss(inode)
            inode.pending = []
            raise OSError(errno.EIO, "sync refused")
        for change in inode.pending:
            apply(inode.synced, change)
        inode.pending = []
        for row in self._pending_names:
            if row.inode is inode and row.is_safe_with_file:
                self._durable[row.name] = inode

    def _sync_folder(self) -> None:
        self._fail_on("folder", "folder sync refused")
        self._durable = dict(self._names)
        self._pending_names = []

    def rename(self, old: str, new: str) -> None:
        """Renames a file, like `os.rename`."""
        self._count_call()
        self._fail_on("rename", "rename refused")
        inode = self._names.pop(old)
        self._names[new] = inode
        self._pending_names += [
            NameChange(new, inode, is_safe_with_file=False),
            NameChange(old, None, is_safe_with_file=False),
        ]

    def unlink(self, path: str) -> None:
        """Removes a file, like `os.unlink`."""
        self._count_call()
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, path)
        self._fail_on("refuse", "refused")
        del self._names[path]
        self._pending_names.append(NameChange(path, None, is_safe_with_file=False))

    # Power losses and stops.
    def _after_loss(self, inode: Inode, *, keeps_none: bool = False) -> bytearray:
        data = bytearray(inode.synced)
        for change in inode.pending:
            outcome = MISSING if keeps_none else self._chance.choice((KEPT, MISSING, TORN))
            if outcome == MISSING:
                continue
            if outcome == TORN and change.data is not None:
                apply(data, change._replace(data=change.data[: self._chance.randrange(len(change.data) + 1)]))
            else:
                apply(data, change)
        return data

    def lose_power(self) -> None:
        """Simulates a power loss, which keeps a random part of the data that was not synced, or none of it."""
        keeps_none = self._chance.random() < EMPTY_LOSS_SHARE
        for row in self._pending_names:
            if not keeps_none and self._chance.random() < KEPT_NAME_SHARE:
                self._durable[row.name] = row.inode
        self._pending_names = []
        self._names = {name: inode for name, inode in self._durable.items() if inode is not None}
        self._durable = dict(self._names)
        for inode in dict.fromkeys(self._names.values()):  # in order, so that a seed gives one history
            inode.data = self._after_loss(inode, keeps_none=keeps_none)
            inode.synced = bytearray(inode.data)
            inode.pending = []
        self.end_process()

    def end_process(self) -> None:
        """Ends the process: handles are closed, files stay as they are."""
        self._handles = {}
        self.calls_left = None

    def wipe(self) -> None:
        """Replaces the disk by an empty one."""
        self._names, self._durable, self._pending_names = {}, {}, []
        self.end_process()

    def durable_bytes(self, path: str) -> bytes:
        """Returns the content of a file that would survive a power loss that keeps no unsynced data."""
        inode = self._durable.get(path)
        return bytes(inode.synced) if inode is not None else b""

    def size(self) -> int:
        """Returns the total size of all files, in bytes."""
        return sum(len(inode.data) for inode in self._names.values())
