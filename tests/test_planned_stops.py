"""Planned stops of the programs: no request that was read may be cut off."""

import asyncio
import pathlib
import signal

import machines
import pytest

# Longer than the time for which a stopping VM still accepts connections.
FREEZE_SECONDS = 2.6


@pytest.fixture
async def cluster(tmp_path):
    async with machines.running_cluster(tmp_path) as running:
        for number in range(6):
            await running.add_server(f"i-{number}")
        async with running.sending_heartbeats():
            await running.wait_until(lambda: is_served(running))
            yield running


async def is_served(cluster):
    return (await cluster.request())[0] == 200


async def open_connections(cluster, count):
    """Returns connections on which a request has been answered."""
    connections = []
    for _ in range(count):
        connection = await machines.RawConnection.open(cluster)
        assert b"200 OK" in await connection.exchange()
        connections.append(connection)
    return connections


def is_frozen(process):
    """Returns whether a process is stopped by SIGSTOP."""
    status = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    return status.rpartition(")")[2].split()[0] == "T"


async def freeze(process):
    """Stops a process with SIGSTOP; returns once it is stopped."""
    process.send_signal(signal.SIGSTOP)
    while not is_frozen(process):
        await asyncio.sleep(0.01)


async def begin_stop(cluster):
    """Sends SIGTERM to the entry VM; returns once it has taken notice."""
    entry = cluster.entry_vms[0]
    entry.process.send_signal(signal.SIGTERM)
    while "event=stopping" not in entry.read_log():
        await asyncio.sleep(0.01)


async def test_requests_at_the_close_of_idle_connections_are_answered(cluster):
    """Guards against requests that a stopping VM has and that get no answer.

    They arrive while the VM is held up, at the moment at which it closes the
    connections that have been idle.
    """
    connections = await open_connections(cluster, 12)
    process = cluster.entry_vms[0].process
    await begin_stop(cluster)
    await freeze(process)
    answers = [asyncio.create_task(c.exchange()) for c in connections]
    await asyncio.sleep(FREEZE_SECONDS)
    process.send_signal(signal.SIGCONT)
    for answer in await asyncio.gather(*answers):
        assert answer.startswith((b"HTTP/1.1 200", b"HTTP/1.1 503"))
        assert b"connection: close" in answer.lower()
    assert await process.wait() == 0
