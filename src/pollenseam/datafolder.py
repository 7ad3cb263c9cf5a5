"""Opens the replica in a data folder, again after a failure of its disk."""

import asyncio
import pathlib
from collections.abc import Callable

from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import replicarunner

# Delay before a data folder is opened again.
REOPEN_SECONDS = 0.3

Opened = tuple[journal.Journal, journal.Recovered]


def read(folder: pathlib.Path, vm: str) -> Opened:
    """Opens a data folder; returns its journal and what that contains.

    Args:
        folder: The data folder.
        vm: Name of the VM, which begins a new replica id.

    Raises:
        DamagedError: A file in the folder is damaged.
        OSError: The folder cannot be read or written.
    """
    storage = journal.open_journal(folder, vm)
    try:
        return storage, storage.recover()
    except BaseException:
        storage.close()
        raise


def read_again(folder: pathlib.Path, vm: str) -> Opened:
    """Opens a data folder after a failed write or sync, as `read` does.

    Data read back from the kernel's cache may not be on the disk, so all of it
    is written again.
    """
    storage, recovered = read(folder, vm)
    try:
        storage.rewrite_segments()
    except BaseException:
        storage.close()
        raise
    return storage, recovered


async def reopen(
    folder: pathlib.Path,
    vm: str,
    open_runner: Callable[[Opened], replicarunner.ReplicaRunner],
    log: events.EventLog,
) -> replicarunner.ReplicaRunner:
    """Opens a data folder after a disk error; retries until it succeeds.

    Args:
        folder: The data folder.
        vm: Name of the VM.
        open_runner: Returns a runner for the opened folder.
        log: Event log.
    """
    while True:
        await asyncio.sleep(REOPEN_SECONDS)
        try:
            opened = await asyncio.to_thread(read_again, folder, vm)
        except (OSError, errors.DamagedError) as error:
            log.emit("disk-refuses", reason=str(error))
            continue
        runner = open_runner(opened)
        log.emit("replica-restarted", replica=runner.replica.id)
        return runner
