"""A control VM whose disk refuses at the start waits for it."""

import asyncio
import io
import pathlib

from pollenseam import controlvm
from pollenseam import events
from pollenseam import journal
from pollenseam import leases
from pollenseam import peers


def settings_in(folder: pathlib.Path) -> controlvm.Settings:
    return controlvm.Settings(
        "c1",
        "r1",
        "d1",
        "127.0.0.1:1",
        [],
        folder,
        True,
        1.5,
        leases.Tolerance(5.0, 0.1, 20.0),
    )


async def test_it_opens_once_the_disk_takes_bytes_again(tmp_path, monkeypatch):
    refusals = [OSError(28, "No space left on device")] * 3
    opened = journal.open_folder

    def refuse(folder, vm):
        if refusals:
            raise refusals.pop()
        return opened(folder, vm)

    monkeypatch.setattr(journal, "open_folder", refuse)
    monkeypatch.setattr(controlvm, "REOPEN_SECONDS", 0.001)
    log = events.open_log("c1", stream=io.StringIO())
    caller = peers.Peers(log.clock)
    async with asyncio.timeout(10):
        own = await controlvm.open_vm(settings_in(tmp_path), log, caller)
    assert not refusals
    assert own.control.replica.id.startswith("c1.")
