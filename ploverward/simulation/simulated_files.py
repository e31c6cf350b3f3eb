"""A simulated folder with the calls of `os` that the register's disk uses, with faults and losses of power.

It owns the files of one machine (docs/register.md 3). After a loss of power a file has what its last sync covered; each
write after that is there, missing or torn. A name that was made, renamed or removed is kept or lost by itself until
the folder was synced; a new file survives through its own sync. After a failed sync, what it did not write is dropped,
and a later sync does not write it either.
"""

import dataclasses
import errno
import os
import random
import typing

FOLDER = "/disk"
TORN, MISSING, KEPT = "torn", "missing", "kept"

# The shares of a second outcome are high on purpose: a history of a minute has to meet each of them.
SHORT_WRITE_SHARE = 0.2  # of the writes
FULL_DISK_WRITE_SHARE = 0.5  # of the writes to a full disk: these still write a part
FULL_DISK_MIN_BYTES = 8  # a shorter write to a full disk fails
EMPTY_LOSS_SHARE = 0.3  # of the losses of power: these keep nothing that was not synced
KEPT_NAME_SHARE = 0.5  # of the names that a loss of power may keep


class PowerLost(BaseException):  # noqa: N818  # not an error of the product: nothing of it may catch this
    """The process ends in the middle of a call."""


class Change(typing.NamedTuple):
    """A change of a file's content."""

    offset: int
    data: bytes | None  # None: the file gets this length


class Inode:
    """One file.

    Attributes:
        data: what reads see.
        synced: what is on the disk for sure.
        pending: the changes in between.
    """

    def __init__(self) -> None:
        self.data = bytearray()
        self.synced = bytearray()
        self.pending: list[Change] = []


class NameChange(typing.NamedTuple):
    """A change of a name that a loss of power may undo."""

    name: str
    inode: Inode | None  # None: the name was removed
    is_safe_with_file: bool  # whether the file's own sync makes it safe


@dataclasses.dataclass(slots=True)
class Handle:
    """An open file."""

    inode: Inode | None  # None: the folder
    offset: int = 0


def apply(data: bytearray, change: Change) -> None:
    """Makes a change of a file's content; a gap before it is filled with zeros."""
    offset, written = change
    if written is None:
        del data[offset:]
        data.extend(bytes(offset - len(data)))
        return
    data.extend(bytes(max(0, offset - len(data))))
    data[offset : offset + len(written)] = written


class Files:
    """Stands in for `os`. Its methods have the arguments and errors of the functions there.

    Args:
        chance: decides what a loss of power keeps.

    Attributes:
        faults: those in force, of: "refuse" (every call that changes something), "full", "sync", "rename", "folder"
            (its sync).
        calls_left: the process ends in the call after so many; None: it does not.
    """

    def __init__(self, *, chance: random.Random) -> None:
        self._chance = chance
        self._names: dict[str, Inode] = {}
        self._durable: dict[str, Inode | None] = {}  # None: removed
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
        """As `os.open`."""
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
        """As `os.close`."""
        del self._handles[handle]

    def read(self, handle: int, size: int) -> bytes:
        """As `os.read`."""
        opened = self._handles[handle]
        data = bytes(self._inode(handle).data[opened.offset : opened.offset + size])
        opened.offset += len(data)
        return data

    def lseek(self, handle: int, offset: int, _whence: int) -> None:
        """As `os.lseek`, from the beginning of the file."""
        self._handles[handle].offset = offset

    def ftruncate(self, handle: int, size: int) -> None:
        """As `os.ftruncate`."""
        self._count_call()
        inode = self._inode(handle)
        self._fail_on("refuse", "refused")
        change = Change(size, None)
        inode.pending.append(change)
        apply(inode.data, change)

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """As `os.write`: may write less than it is given; a full disk writes a part first."""
        self._count_call()
        inode, opened = self._inode(handle), self._handles[handle]
        self._fail_on("refuse", "refused")
        is_full = "full" in self.faults
        if is_full and (len(data) < FULL_DISK_MIN_BYTES or self._chance.random() < FULL_DISK_WRITE_SHARE):
            raise OSError(errno.ENOSPC, "full")
        is_short = is_full or self._chance.random() < SHORT_WRITE_SHARE
        written = bytes(data[: max(1, len(data) // 2)]) if is_short else bytes(data)
        change = Change(opened.offset, written)
        inode.pending.append(change)
        apply(inode.data, change)
        opened.offset += len(written)
        return len(written)

    def fsync(self, handle: int) -> None:
        """As `os.fsync`, of a file or of the folder."""
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
        """As `os.rename`."""
        self._count_call()
        self._fail_on("rename", "rename refused")
        inode = self._names.pop(old)
        self._names[new] = inode
        self._pending_names += [
            NameChange(new, inode, is_safe_with_file=False),
            NameChange(old, None, is_safe_with_file=False),
        ]

    def unlink(self, path: str) -> None:
        """As `os.unlink`."""
        self._count_call()
        if path not in self._names:
            raise FileNotFoundError(errno.ENOENT, path)
        self._fail_on("refuse", "refused")
        del self._names[path]
        self._pending_names.append(NameChange(path, None, is_safe_with_file=False))

    # Losses.
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
        """Keeps any part of what was not synced; at some losses nothing of it."""
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
        """Files stay as they were."""
        self._handles = {}
        self.calls_left = None

    def wipe(self) -> None:
        """Another, empty disk is put in."""
        self._names, self._durable, self._pending_names = {}, {}, []
        self.end_process()

    def durable_bytes(self, path: str) -> bytes:
        """What a loss of power that keeps nothing unsynced would leave of this file."""
        inode = self._durable.get(path)
        return bytes(inode.synced) if inode is not None else b""

    def size(self) -> int:
        """Bytes of all files."""
        return sum(len(inode.data) for inode in self._names.values())
