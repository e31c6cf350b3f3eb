"""Durable reads and writes of files in one folder; a power loss leaves a readable file (docs/register.md 3)."""

import contextlib
import os
import types

FILE_MODE = 0o644
READ_BYTES = 1 << 20  # at most, in one read call


class Disk:
    """The files of one folder on a real disk.

    Args:
        folder: Path of the folder.
        system: `os`, or a simulation of it in tests.
    """

    def __init__(self, *, folder: str, system: types.ModuleType = os) -> None:
        self.folder = folder
        self._system = system

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def read(self, *, name: str) -> bytes | None:
        """Returns the bytes of the file, or None if it does not exist.

        Raises:
            OSError: The file cannot be read.
        """
        system = self._system
        try:
            descriptor = system.open(self._path(name), os.O_RDONLY)
        except FileNotFoundError:
            return None
        blocks = []
        try:
            while block := system.read(descriptor, READ_BYTES):
                blocks.append(block)
        finally:
            system.close(descriptor)
        return b"".join(blocks)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes `data` after the first `size_before` bytes and syncs the file.

        Bytes that a failed write left after `size_before` are truncated first.

        Raises:
            OSError: The write failed; the content of the file from `size_before` on is unknown.
        """
        descriptor = self._system.open(self._path(name), os.O_WRONLY)
        try:
            self._system.ftruncate(descriptor, size_before)
            self._system.lseek(descriptor, size_before, os.SEEK_SET)
            self._write(descriptor, data)
        finally:
            self._system.close(descriptor)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces a file atomically by one with this data, written as `new_name` first, and syncs file and folder.

        At any time either the old or the new file exists completely.

        Raises:
            OSError: The write failed; after a power loss the old or the new file may exist.
        """
        self._remove(new_name)
        descriptor = self._system.open(self._path(new_name), os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        try:
            self._write(descriptor, data)
        finally:
            self._system.close(descriptor)
        self._system.rename(self._path(new_name), self._path(name))
        self._sync_folder()

    def _remove(self, name: str) -> None:
        # The file is removed, never overwritten: after a power loss during a rename its name may refer to the same file
        # as the name that is to be replaced.
        with contextlib.suppress(FileNotFoundError):
            self._system.unlink(self._path(name))

    def _write(self, descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._system.write(descriptor, view) :]
        self._system.fsync(descriptor)

    def _sync_folder(self) -> None:
        descriptor = self._system.open(self.folder, os.O_RDONLY)
        try:
            self._system.fsync(descriptor)
        finally:
            self._system.close(descriptor)
