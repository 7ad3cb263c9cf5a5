"""Operations on the files of a data folder; all may raise OSError.

A write, sync or rename that fails leaves it unknown which part took place.
"""

import os
import pathlib

FOLDER_MODE = 0o700
FILE_MODE = 0o600
READ_BYTES = 4 * 1024 * 1024
# Suffix of a file that is being written, before it gets its name.
NEW_SUFFIX = ".new"


def create_folder(folder: pathlib.Path) -> None:
    """Creates a folder, and those that contain it, unless it exists."""
    if folder.is_dir():
        return
    if not folder.parent.is_dir():
        create_folder(folder.parent)
    os.mkdir(folder, FOLDER_MODE)


def open_to_append(path: pathlib.Path) -> int:
    """Opens a file, created if missing; returns its descriptor."""
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, FILE_MODE)


def close(file: int) -> None:
    """Closes a descriptor."""
    os.close(file)


def size(file: int) -> int:
    """Returns the size in bytes of an open file."""
    return os.fstat(file).st_size


def read(path: pathlib.Path) -> bytes:
    """Returns the content of a file."""
    file = os.open(path, os.O_RDONLY)
    try:
        parts: list[bytes] = []
        while part := os.read(file, READ_BYTES):
            parts.append(part)
        return b"".join(parts)
    finally:
        os.close(file)


def write(file: int, data: bytes) -> None:
    """Writes all of `data`."""
    view = memoryview(data)
    while view:
        view = view[os.write(file, view) :]


def sync_data(file: int) -> None:
    """Syncs the content of an open file."""
    os.fdatasync(file)


def replace(path: pathlib.Path, data: bytes) -> None:
    """Replaces a file by one with other content, and syncs both names."""
    temporary = path.with_suffix(NEW_SUFFIX)
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        write(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    os.replace(temporary, path)
    sync(path.parent)


def rewrite(path: pathlib.Path) -> None:
    """Writes the content of a file again, in place, and syncs it."""
    data = read(path)
    file = os.open(path, os.O_WRONLY)
    try:
        write(file, data)
        os.fsync(file)
    finally:
        os.close(file)


def truncate(path: pathlib.Path, size: int) -> None:
    """Cuts a file off at `size` bytes, and syncs it."""
    os.truncate(path, size)
    sync(path)


def remove(path: pathlib.Path) -> None:
    """Removes a file."""
    os.unlink(path)


def sync(path: pathlib.Path) -> None:
    """Syncs a file, or the names in a folder."""
    file = os.open(path, os.O_RDONLY)
    try:
        os.fsync(file)
    finally:
        os.close(file)
