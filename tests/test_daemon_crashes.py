"""Requests that crash the upstreams of a daemon that run them."""

import asyncio
import contextlib

import harness
import pytest
import scripted

UPSTREAM_COUNT = 14


class CrashingUpstream(scripted.ScriptedUpstream):
    """Ends as soon as it has received a request."""

    def __init__(self):
        super().__init__([])
        self.crashes = 0

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.crashes += 1
            self.close()
        writer.transport.abort()


@pytest.fixture
async def bench(tmp_path):
    async with harness.running(tmp_path) as found:
        yield found


async def test_a_daemon_sends_a_request_that_crashed_upstreams_no_more(bench):
    """Guards against a request that crashes upstream after upstream.

    The daemon used to know only what happened in one request.
    """
    upstreams = [CrashingUpstream() for _ in range(UPSTREAM_COUNT)]
    for number, upstream in enumerate(upstreams):
        await upstream.listen()
        bench.announce(f"u{number}", upstream.address, "r1")
    kinds = []
    for _ in range(12):
        async with bench.request(path="/deadly") as response:
            kinds.append((await response.json())["kind"])
        await asyncio.sleep(0.3)
    assert sum(upstream.crashes for upstream in upstreams) <= 6
    assert kinds[-1] == "crashes-upstreams"
    for upstream in upstreams:
        upstream.close()


async def test_a_request_that_ends_well_is_no_suspect(bench):
    upstream = CrashingUpstream()
    await upstream.listen()
    bench.announce("u0", upstream.address, "r1")
    async with bench.request(path="/proper") as response:
        assert response.status in (502, 503)
    await bench.add_upstream("u1")
    watchlist = bench.daemon.vm.fleet_view.watchlist
    await bench.until(lambda: not watchlist.is_empty)
    async with bench.request(path="/proper") as response:
        assert response.status == 200
    await bench.until(lambda: watchlist.is_empty)
