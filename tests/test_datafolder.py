"""Data folders that are opened again after a failure of their disk."""

import asyncio
import errno
import os

import harness

from pollenseam import journal


async def test_a_daemon_founds_its_quorum_once_its_disk_has_room(
    tmp_path, monkeypatch
):
    """Guards against a daemon that ends as its disk is full at its start."""
    save_identity = journal.Journal.save_identity
    failures = [OSError(errno.ENOSPC, "no space")] * 2
    exits = []

    def save(self, identity):
        if identity.members is not None and failures:
            raise failures.pop()
        save_identity(self, identity)

    monkeypatch.setattr(journal.Journal, "save_identity", save)
    monkeypatch.setattr(os, "_exit", exits.append)
    async with asyncio.timeout(20):
        async with harness.running(tmp_path):
            assert not failures
    assert not exits


async def test_a_daemon_serves_once_its_settings_are_fresh(
    tmp_path, monkeypatch
):
    """Guards against callers sent to a VM that accepts no key yet.

    Its replica has caught up with the log, but nobody has told it so.
    """
    bench = harness.Bench(tmp_path)
    local_vm = bench.daemon.vm
    real_is_fresh = type(local_vm).is_fresh
    monkeypatch.setattr(type(local_vm), "is_fresh", lambda _: False)
    start = asyncio.create_task(bench.daemon.start())
    await local_vm.settings_fetched.wait()
    now = local_vm.now
    await bench.until(lambda: local_vm.lease_table.is_complete(now()))
    await asyncio.sleep(0.1)
    assert not start.done()
    monkeypatch.setattr(type(local_vm), "is_fresh", real_is_fresh)
    async with asyncio.timeout(1.0):
        await start
    await bench.close()
