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
