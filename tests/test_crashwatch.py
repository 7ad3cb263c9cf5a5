"""Evidence that an upstream ended while it had requests."""

import asyncio
import io
import time

import pytest

from pollenseam import crashwatch
from pollenseam import events


class Recorder:
    """A CrashWatch and what it reported."""

    def __init__(self):
        self.crashed = []
        self.is_leaving = False
        log = events.open_log("e1", stream=io.StringIO())
        self.watch = crashwatch.CrashWatch(
            log, time.monotonic, self.record, lambda upstream: self.is_leaving
        )

    def record(self, run):
        self.crashed.append((run.fingerprint, run.upstream))

    async def wait_for_probes(self):
        async with asyncio.timeout(10):
            while any(w.is_probed for w in self.watch.watched.values()):
                await asyncio.sleep(0.005)


def record(address, started_ms=1):
    return crashwatch.UpstreamStart("i1", started_ms, "s1", address)


@pytest.fixture
async def server():
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    yield server
    server.close()


def address_of(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


async def test_requests_of_an_upstream_that_refuses_connections_are_reported(
    server,
):
    recorder = Recorder()
    address = address_of(server)
    server.close()
    await server.wait_closed()
    for fingerprint in (b"a", b"b"):
        recorder.watch.record_break(fingerprint, record(address))
    await recorder.wait_for_probes()
    assert recorder.crashed == [(b"a", "i1"), (b"b", "i1")]
    recorder.watch.record_break(b"c", record(address))
    assert recorder.crashed[2:] == [(b"c", "i1")]


async def test_a_reset_of_a_connection_alone_is_no_evidence(server):
    """Guards against suspicion when connections are reset on the way."""
    recorder = Recorder()
    recorder.watch.record_break(b"a", record(address_of(server)))
    await recorder.wait_for_probes()
    recorder.watch.record_upstreams({"i1": record(address_of(server))})
    assert recorder.crashed == []


async def test_a_later_start_is_evidence_for_a_restart_that_was_too_quick(
    server,
):
    recorder = Recorder()
    address = address_of(server)
    recorder.watch.record_break(b"a", record(address))
    await recorder.wait_for_probes()
    recorder.watch.record_upstreams({"i1": record(address, started_ms=2)})
    assert recorder.crashed == [(b"a", "i1")]


@pytest.mark.parametrize("is_leaving_at_the_break", [True, False])
async def test_the_end_of_an_upstream_that_is_leaving_is_no_crash(
    server, is_leaving_at_the_break
):
    """Guards against requests suspected because of a planned stop."""
    recorder = Recorder()
    address = address_of(server)
    server.close()
    await server.wait_closed()
    recorder.is_leaving = is_leaving_at_the_break
    recorder.watch.record_break(b"a", record(address))
    recorder.is_leaving = True
    await recorder.wait_for_probes()
    assert recorder.crashed == []
