"""Signals that come at any moment of the start of platform/program.py."""

import asyncio
import contextlib
import io
import os
import signal
import subprocess
import sys
import time

import machines
import program
import pytest
import settingsfile

from pollenseam import events

# Time in which a signal that ends a process does so.
END_SECONDS = 0.5
START_SECONDS = 20.0
SIGNAL_INTERVAL_SECONDS = 0.01


@contextlib.contextmanager
def running(**environment):
    """Runs the program of an entry VM; yields the process."""
    process = subprocess.Popen(
        [
            sys.executable,
            machines.ROOT / "platform/program.py",
            "entry",
            "7106",
        ],
        stderr=subprocess.DEVNULL,
        env={**os.environ, **environment},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def wait_until_opened(path):
    """Waits until the process reads a named pipe; returns the write end."""
    deadline = time.monotonic() + START_SECONDS
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < deadline
            time.sleep(SIGNAL_INTERVAL_SECONDS)


def survives_hangup(process):
    process.send_signal(signal.SIGHUP)
    try:
        process.wait(END_SECONDS)
    except subprocess.TimeoutExpired:
        return True
    return False


def test_a_hangup_during_the_imports_does_not_end_the_process(tmp_path):
    """A stand-in of a library makes its import wait."""
    gate = tmp_path / "gate"
    os.mkfifo(gate)
    (tmp_path / "aiohttp.py").write_text(f"open({str(gate)!r}).read()\n")
    with running(PYTHONPATH=str(tmp_path)) as process:
        write_end = wait_until_opened(gate)
        assert survives_hangup(process)
        os.close(write_end)


def test_a_hangup_before_the_settings_are_read_does_not_end_the_process(
    tmp_path,
):
    settings = tmp_path / "settings"
    os.mkfifo(settings)
    with running(POLLENSEAM_SETTINGS=str(settings)) as process:
        write_end = wait_until_opened(settings)
        assert survives_hangup(process)
        os.close(write_end)


def ignores_or_handles_hangup(process_id):
    with open(f"/proc/{process_id}/status") as status:
        masks = [
            int(line.split()[1], 16)
            for line in status
            if line.startswith(("SigIgn", "SigCgt"))
        ]
    return any(mask & 1 << (signal.SIGHUP - 1) for mask in masks)


@pytest.mark.parametrize("role", ["control", "entry"])
async def test_hangups_at_any_moment_of_the_start_do_not_end_the_process(
    tmp_path, role
):
    cluster = machines.Cluster(tmp_path)
    try:
        await cluster.start()
        machine = {"control": cluster.control_vms, "entry": cluster.entry_vms}[
            role
        ][0]
        await machine.kill()
        await machine.start()
        process = machine.process
        deadline = time.monotonic() + START_SECONDS
        while not ignores_or_handles_hangup(process.pid):
            assert time.monotonic() < deadline
            await asyncio.sleep(0)
        while not has_started(machine):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
            assert process.returncode is None
            assert time.monotonic() < deadline
    finally:
        await cluster.stop()


def has_started(machine):
    data = (machine.folder / "log").read_bytes()
    return b"event=started " in data[machine.log_start :]


async def test_a_change_of_the_settings_during_the_start_is_applied(
    tmp_path, monkeypatch
):
    """Guards against a change that no later reading shows as one."""
    path = tmp_path / "settings"
    path.write_text("seeds=127.0.0.2:1")
    monkeypatch.setenv(settingsfile.PATH_VARIABLE, str(path))
    log = events.open_log("e1", stream=io.StringIO())
    applied = asyncio.Queue()
    watching = asyncio.create_task(
        program._watch_settings(
            log, {"seeds": "127.0.0.1:1"}, applied.put_nowait
        )
    )
    async with asyncio.timeout(START_SECONDS):
        assert (await applied.get()).text("seeds") == "127.0.0.2:1"
    watching.cancel()
