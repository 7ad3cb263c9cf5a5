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
    async with asyncio.timeout(machines.START_TIMEOUT_SECONDS):
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


async def send_head_and_half_the_body(cluster):
    """Returns a connection on which the second half of a body is missing."""
    [connection] = await open_connections(cluster, 1)
    head = connection.head(
        "POST", "/b/1", "Content-Length: 6", deadline_ms=4500
    )
    connection.writer.write(head + b"abc")
    return connection


async def test_bodies_that_arrive_during_a_stop(cluster):
    """Guards against a close while the body of a request is arriving.

    What arrives in time is served; the rest is refused, and has not run.
    """
    await cluster.patch(2, timeout_s=5.0)
    in_time = await send_head_and_half_the_body(cluster)
    too_late = await send_head_and_half_the_body(cluster)
    entry = cluster.entry_vms[0]
    await begin_stop(cluster)
    while "event=connections-closed" not in entry.read_log():
        await asyncio.sleep(0.02)
    in_time.writer.write(b"def")
    assert (await in_time.read_answer()).endswith(b"done abcdef")
    answer = await too_late.read_answer()
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"connection: close" in answer.lower()
    too_late.writer.close()
    assert await entry.process.wait() == 0


@pytest.mark.parametrize("disturbance", ["term", "hup", "patch"])
async def test_a_stop_beside_other_events(cluster, disturbance):
    """Requests on kept connections are answered until the VM closes them."""
    connections = await open_connections(cluster, 8)
    process = cluster.entry_vms[0].process
    await begin_stop(cluster)
    patching = None
    if disturbance == "term":
        process.send_signal(signal.SIGTERM)
    elif disturbance == "hup":
        process.send_signal(signal.SIGHUP)
    else:
        patching = asyncio.create_task(cluster.patch(2, timeout_s=1.0))
    for answer in await asyncio.gather(*[c.exchange() for c in connections]):
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in answer.lower()
    for connection in connections:
        assert await connection.reader.read() == b""
    assert await process.wait() == 0
    if patching is not None:
        assert (await patching)[0] == 200


async def test_sigterm_while_the_program_starts(cluster):
    entry = cluster.entry_vms[0]
    await entry.kill()
    await entry.start()
    for _ in range(3):
        if entry.process.returncode is None:
            entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
    assert await entry.process.wait() in (0, -signal.SIGTERM)


async def test_changes_at_the_stop_of_the_leader_are_answered(tmp_path):
    """Guards against orders that a stopping control VM has and that it drops.

    They arrive on kept connections while the VM is held up at SIGTERM.
    """
    async with machines.running_cluster(tmp_path, entry_count=0) as cluster:
        leader = await find_leader(cluster)
        connections = []
        for version in range(2, 8):
            connection = await machines.ControlConnection.open(leader)
            status, _ = await connection.patch(version)
            assert status == 200
            connections.append(connection)
        await freeze(leader.process)
        leader.process.send_signal(signal.SIGTERM)
        answers = [
            asyncio.create_task(connection.patch(version))
            for version, connection in enumerate(connections, 8)
        ]
        await asyncio.sleep(0.1)
        leader.process.send_signal(signal.SIGCONT)
        for answer in answers:
            assert (await answer)[0] in (200, 503)
        assert await leader.process.wait() == 0
        status, _ = await cluster.patch(20)
        assert status == 200


async def find_leader(cluster):
    """Returns the control VM that leads."""
    while True:
        for machine in cluster.control_vms:
            url = f"http://{machine.ip}:7106/"
            async with cluster.session.get(url) as response:
                if "pollenseam_is_leader 1" in await response.text():
                    return machine
        await asyncio.sleep(0.05)
