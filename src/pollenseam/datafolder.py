"""Keeps the replica of a data folder running, also after a disk error."""

import asyncio
import pathlib
from collections.abc import Awaitable
from collections.abc import Callable

from pollenseam import errors
from pollenseam import events
from pollenseam import journal
from pollenseam import replicarunner

# Delay before a data folder is opened again.
REOPEN_SECONDS = 0.3

CreateRunner = Callable[
    [journal.Journal, journal.Recovered], replicarunner.ReplicaRunner
]
RunRunner = Callable[[replicarunner.ReplicaRunner], Awaitable[None]]


class Supervisor:
    """Runs the replica of a data folder for as long as the process runs.

    A replica stops when its disk refuses a write. Its data folder is then
    opened again, at intervals of REOPEN_SECONDS, until the disk takes all of
    the log.

    Attributes:
        folder: The data folder.
        vm: Name of the VM.
        create_runner: Returns a runner for an opened data folder.
        runner: The current runner; one that failed while the disk refuses
            writes.
        log: Event log.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        vm: str,
        create_runner: CreateRunner,
        log: events.EventLog,
    ) -> None:
        self.folder = folder
        self.vm = vm
        self.create_runner = create_runner
        self.log = log
        self.runner = create_runner(*_read(folder, vm))

    async def run(self, run_runner: RunRunner) -> None:
        """Runs the replica until cancelled.

        Args:
            run_runner: Runs a runner until it has failed, or raises OSError.
        """
        try:
            await _make_durable(self.runner.journal)
        except OSError as error:
            self.runner.fail(str(error))
        while True:
            if not self.runner.failure_reason:
                await self._run_until_failure(run_runner)
            self.runner = await self._reopen()

    async def _run_until_failure(self, run_runner: RunRunner) -> None:
        try:
            await run_runner(self.runner)
        except OSError as error:
            self.runner.fail(str(error))
            self.runner.journal.close()

    async def _reopen(self) -> replicarunner.ReplicaRunner:
        while True:
            await asyncio.sleep(REOPEN_SECONDS)
            try:
                opened = await asyncio.to_thread(_read, self.folder, self.vm)
                await _make_durable(opened[0])
            except (OSError, errors.DamagedError) as error:
                self.log.emit("disk-refuses", reason=str(error))
                continue
            runner = self.create_runner(*opened)
            self.log.emit("replica-restarted", replica=runner.replica.id)
            return runner


def _read(
    folder: pathlib.Path, vm: str
) -> tuple[journal.Journal, journal.Recovered]:
    storage = journal.open_journal(folder, vm)
    try:
        return storage, storage.recover()
    except BaseException:
        storage.close()
        raise


async def _make_durable(storage: journal.Journal) -> None:
    """Puts on the disk what was read from an opened data folder.

    It may be in the kernel's cache only: its process may have ended before the
    sync, or the sync may have failed. The journal is closed on an error.

    Raises:
        OSError: The disk refuses it.
    """
    try:
        await asyncio.to_thread(storage.make_durable)
    except BaseException:
        storage.close()
        raise
