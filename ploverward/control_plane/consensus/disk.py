"""Files of one folder, written so that a loss of power leaves a file that can be read (docs/register.md 3)."""

import contextlib
import os
import types

FILE_MODE = 0o644
READ_BYTES = 1 << 20  # of one read call


class Disk:
    """The real disk.

    Args:
        folder: path of the folder.
        system: `os`, or a simulation of it in tests.
    """

    def __init__(self, *, folder: str, system: types.ModuleType = os) -> None:
        self.folder = folder
        self._system = system

    def _path(self, name: str) -> str:
        return os.path.join(self.folder, name)

    def read(self, *, name: str) -> bytes | None:
        """The bytes of the file; None where there is none.

        Raises:
            OSError: the disk refused.
        """
        system = self._system
        try:
            handle = system.open(self._path(name), os.O_RDONLY)
        except FileNotFoundError:
            return None
        blocks = []
        try:
            while block := system.read(handle, READ_BYTES):
                blocks.append(block)
        finally:
            system.close(handle)
        return b"".join(blocks)

    def append(self, *, name: str, data: bytes, size_before: int) -> None:
        """Writes after the first `size_before` bytes and syncs; truncates what a failed write left after them.

        Raises:
            OSError: the disk refused; what is in the file from `size_before` on is unknown.
        """
        handle = self._system.open(self._path(name), os.O_WRONLY)
        try:
            self._system.ftruncate(handle, size_before)
            self._system.lseek(handle, size_before, os.SEEK_SET)
            self._write(handle, data)
        finally:
            self._system.close(handle)

    def replace(self, *, name: str, new_name: str, data: bytes) -> None:
        """Replaces a file by one with this data; at any moment the old or the new file is there, complete.

        Raises:
            OSError: the disk refused; either file may be there after a loss of power.
        """
        self._remove(new_name)
        handle = self._system.open(self._path(new_name), os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        try:
            self._write(handle, data)
        finally:
            self._system.close(handle)
        self._system.rename(self._path(new_name), self._path(name))
        self._sync_folder()

    def _remove(self, name: str) -> None:
        # Never overwritten: after a loss of power the name may refer to the very file that is to be replaced.
        with contextlib.suppress(FileNotFoundError):
            self._system.unlink(self._path(name))

    def _write(self, handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[self._system.write(handle, view) :]
        self._system.fsync(handle)

    def _sync_folder(self) -> None:
        handle = self._system.open(self.folder, os.O_RDONLY)
        try:
            self._system.fsync(handle)
        finally:
            self._system.close(handle)
