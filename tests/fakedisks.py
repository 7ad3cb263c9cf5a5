"""Disks that refuse operations, fail part of the way and forget at power loss.

The files are real ones in a folder. `FaultyOs` stands in for the module `os` in
`pollenseam.files`; the disk that an operation belongs to is found by its path.
"""

import errno
import os
import pathlib
import random
from typing import Any

WRITE_ERRORS = (errno.ENOSPC, errno.EIO, errno.EDQUOT)
# Names of the operations that may fail.
OPERATIONS = (
    "mkdir",
    "create",
    "open",
    "read",
    "write",
    "sync",
    "sync-folder",
    "rename",
    "truncate",
    "unlink",
)


class File:
    """One file of a disk.

    Attributes:
        name: Current name.
        synced: Content as of the last sync that succeeded.
        lost_bytes: Bytes to write again before a sync covers the file: after
            a failed sync the kernel drops what it could not write.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.synced = b""
        self.lost_bytes = 0


class Disk:
    """A folder on a disk with faults.

    Attributes:
        folder: The folder.
        failing: Names of the operations that fail now.
        free_bytes: Bytes that still fit, or None: the write that exceeds them
            is cut short.
        random: Source of the errors, and of what a loss of power leaves.
        open_files: File of each open descriptor; None for the folder.
        refusals: Number of operations that failed.
        operations_left: Operations until the process that uses the disk dies,
            or None: none has an effect from then on.
        files: Files by name.
        durable_files: Files by the name that a loss of power leaves.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        self.folder = folder
        self.failing: frozenset[str] = frozenset()
        self.free_bytes: int | None = None
        self.random = random.Random(seed)
        self.open_files: dict[int, File | None] = {}
        self.refusals = 0
        self.operations_left: int | None = None
        self.files: dict[str, File] = {}
        self.durable_files: dict[str, File] = {}

    def check(self, operation: str) -> None:
        """Raises OSError if the operation fails now."""
        if self.operations_left is not None:
            self.operations_left = max(0, self.operations_left - 1)
            if self.operations_left == 0:
                raise OSError(errno.EIO, "the process is dead")
        if operation in self.failing:
            self.refuse(self.random.choice(WRITE_ERRORS))

    def refuse(self, number: int) -> None:
        self.refusals += 1
        raise OSError(number, os.strerror(number))

    def take_room(self, size: int) -> int:
        """Returns how many bytes of a write fit; raises OSError if none."""
        self.check("write")
        if self.free_bytes is None:
            return size
        fitting = min(size, self.free_bytes)
        if fitting == 0:
            self.refuse(errno.ENOSPC)
        self.free_bytes -= fitting
        return fitting

    def heal(self) -> None:
        """Gives the disk room again."""
        self.failing = frozenset()
        self.free_bytes = None
        self.operations_left = None

    def wipe(self) -> None:
        """Loses all files; no process may use them."""
        assert not self.open_files
        for path in self.folder.iterdir():
            path.unlink()
        self.files.clear()
        self.durable_files.clear()

    def lose_power(self) -> None:
        """Leaves what was synced, and any part of what was not."""
        for descriptor in self.open_files:
            os.close(descriptor)
        self.open_files.clear()
        contents = {file: file.synced for file in self.durable_files.values()}
        contents |= {
            file: self._surviving(file) for file in self.files.values()
        }
        kept: dict[str, bytes] = {}
        for name in sorted(self.files.keys() | self.durable_files.keys()):
            names = self.random.choice((self.files, self.durable_files))
            if name in names:
                kept[name] = contents[names[name]]
        for path in self.folder.iterdir():
            path.unlink()
        self.files.clear()
        for name, content in kept.items():
            (self.folder / name).write_bytes(content)
            self.files[name] = File(name)
            self.files[name].synced = content
        self.durable_files = dict(self.files)

    def _surviving(self, file: File) -> bytes:
        content = (self.folder / file.name).read_bytes()
        if file.lost_bytes or not content.startswith(file.synced):
            return file.synced
        return content[: self.random.randint(len(file.synced), len(content))]

    # Operations, as in the module `os`.

    def open(self, path: str, flags: int, mode: int) -> int:
        name = os.path.basename(path)
        is_folder = path == str(self.folder)
        if flags & os.O_CREAT and name not in self.files:
            self.check("create")
        self.check("open")
        descriptor = os.open(path, flags, mode)
        file = None if is_folder else self.files.setdefault(name, File(name))
        self.open_files[descriptor] = file
        return descriptor

    def write(self, descriptor: int, data: Any) -> int:
        size = self.take_room(len(data))
        count = os.write(descriptor, bytes(data[:size]))
        file = self.open_files[descriptor]
        assert file is not None
        position = os.lseek(descriptor, 0, os.SEEK_CUR)
        if position == count:
            # Written again from the start.
            file.lost_bytes = max(0, file.lost_bytes - count)
        return count

    def sync(self, descriptor: int) -> None:
        file = self.open_files[descriptor]
        if file is None:
            self.check("sync-folder")
            self.durable_files = dict(self.files)
            return
        path = self.folder / file.name
        try:
            self.check("sync")
        except OSError:
            file.lost_bytes = path.stat().st_size
            raise
        if not file.lost_bytes:
            file.synced = path.read_bytes()
            self.durable_files.setdefault(file.name, file)

    def replace(self, source: str, target: str) -> None:
        self.check("rename")
        os.replace(source, target)
        file = self.files.pop(os.path.basename(source))
        file.name = os.path.basename(target)
        self.files[file.name] = file

    def unlink(self, path: str) -> None:
        self.check("unlink")
        os.unlink(path)
        del self.files[os.path.basename(path)]


class FaultyOs:
    """Stands in for the module `os`, with the operations of disks that fail.

    Attributes:
        disks: All disks.
    """

    def __init__(self, disks: list[Disk]) -> None:
        self.disks = disks

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)

    def _disk_of(self, path: Any) -> Disk:
        wanted = pathlib.Path(path)
        return next(d for d in self.disks if wanted.is_relative_to(d.folder))

    def _disk_with(self, descriptor: int) -> Disk:
        return next(d for d in self.disks if descriptor in d.open_files)

    def open(self, path: Any, flags: int, mode: int = 0o777) -> int:
        return self._disk_of(path).open(os.fspath(path), flags, mode)

    def close(self, descriptor: int) -> None:
        del self._disk_with(descriptor).open_files[descriptor]
        os.close(descriptor)

    def write(self, descriptor: int, data: Any) -> int:
        return self._disk_with(descriptor).write(descriptor, data)

    def read(self, descriptor: int, size: int) -> bytes:
        self._disk_with(descriptor).check("read")
        return os.read(descriptor, size)

    def fsync(self, descriptor: int) -> None:
        self._disk_with(descriptor).sync(descriptor)

    fdatasync = fsync

    def replace(self, source: Any, target: Any) -> None:
        disk = self._disk_of(source)
        disk.replace(os.fspath(source), os.fspath(target))

    def truncate(self, path: Any, size: int) -> None:
        self._disk_of(path).check("truncate")
        os.truncate(path, size)

    def unlink(self, path: Any) -> None:
        self._disk_of(path).unlink(os.fspath(path))

    def mkdir(self, path: Any, mode: int = 0o777) -> None:
        self._disk_of(path).check("mkdir")
        os.mkdir(path, mode)
